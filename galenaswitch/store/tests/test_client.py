"""Answers of a store that are no answers."""

import aiohttp
import pytest

from galenaswitch.errors import StoreUnavailableError
from galenaswitch.store.client import StoreClient

BODY = b'{"version":3,"body":{}}'
LENGTH = len(BODY)


@pytest.fixture
async def open_client():
    """Return a function that opens a client of a store at an address."""
    async with aiohttp.ClientSession() as session:
        yield lambda address: StoreClient(session, f'http://{address}', 1)


def make_answer(status=b'200', length=LENGTH):
    """Return an answer with an object, with its length if that isn't 0."""
    framing = b'Content-Length: %d\r\n' % length if length else b''
    head = b'HTTP/1.1 %b Any\r\nContent-Type: application/json\r\n' % status
    return head + framing + b'\r\n' + BODY


async def test_object_is_read(open_client, scripted):
    store = await scripted([make_answer()])
    found = await open_client(store.address).read('k', 'n')
    assert found.version == 3


# Guards against bytes that are no response and count as what the store says.
@pytest.mark.parametrize('status', [b'000', b'099', b'600', b'999'])
async def test_status_that_does_not_exist_is_no_answer(
    open_client, scripted, status
):
    store = await scripted([make_answer(status)])
    with pytest.raises(StoreUnavailableError):
        await open_client(store.address).read('k', 'n')


# Guards against an error that nobody handles, as an answer is cut off.
@pytest.mark.parametrize('length', [0, 99])
async def test_answer_that_is_cut_off_is_no_answer(
    open_client, scripted, length
):
    store = await scripted([make_answer(length=length)[:-3]])
    with pytest.raises(StoreUnavailableError):
        await open_client(store.address).read('k', 'n')
