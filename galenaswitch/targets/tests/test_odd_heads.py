"""Answers that are cut off, as the client of targets sees them."""

import orjson
import pytest

from galenaswitch.errors import TargetBrokenError, TargetError
from galenaswitch.membership.lists import Target
from galenaswitch.targets.client import TargetClient
from galenaswitch.targets.messages import StageCall, encode_call

CALL = StageCall('r', 's', 'a', 'm', '1', '/x', {}, 1500)
OUTPUT = orjson.dumps({**encode_call(CALL), 'output': {'text': 'fine'}})
ANSWER = (
    b'HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n'
    b'Content-Length: %d\r\n\r\n%b'
) % (len(OUTPUT), OUTPUT)
HEAD_LENGTH = ANSWER.index(b'\r\n\r\n') + 4
INTERIM = b'HTTP/1.1 100 Continue\r\n\r\n'


@pytest.fixture
async def client():
    """Return a client that is closed after the test."""
    opened = TargetClient()
    yield opened
    await opened.close()


def make_target(server):
    """Return the target that a scripted server stands for."""
    return Target('t', 't/1', 'z', 'p', f'http://{server.address}')


async def test_whole_answer_is_returned(client, scripted):
    server = await scripted([INTERIM + ANSWER])
    output = await client.call(make_target(server), CALL, repeatable=True)
    assert output == {'text': 'fine'}


# Guards against an answer that is made of a head or a body that is cut off.
@pytest.mark.parametrize('repeatable', [False, True])
@pytest.mark.parametrize('interim', [b'', INTERIM])
@pytest.mark.parametrize(
    'length',
    [1, 12, 17, 20, 40, HEAD_LENGTH - 2, HEAD_LENGTH - 1, HEAD_LENGTH, -1],
)
async def test_answer_that_is_cut_off_is_no_answer(
    client, scripted, length, interim, repeatable
):
    server = await scripted([interim + ANSWER[:length]])
    with pytest.raises(TargetError):
        await client.call(make_target(server), CALL, repeatable)


@pytest.mark.parametrize('interim', [b'', INTERIM])
@pytest.mark.parametrize('length', [12, 17, 40, HEAD_LENGTH - 2, HEAD_LENGTH])
async def test_stream_that_is_cut_off_has_no_end(
    client, scripted, length, interim
):
    server = await scripted([interim + ANSWER[:length]])
    with pytest.raises(TargetError):
        async for _ in client.stream(make_target(server), CALL, 1.0):
            pass


# Guards against bytes that are no response and count as an answer or a refusal.
@pytest.mark.parametrize('status', [b'000', b'099', b'600', b'999'])
async def test_status_that_does_not_exist_is_a_failure(
    client, scripted, status
):
    server = await scripted([ANSWER.replace(b'200', status)])
    with pytest.raises(TargetBrokenError):
        await client.call(make_target(server), CALL, repeatable=True)
    with pytest.raises(TargetBrokenError):
        async for _ in client.stream(make_target(server), CALL, 1.0):
            pass


# Guards against an answer without a length that counts as complete, though it
# was cut off by an orderly close.
@pytest.mark.parametrize('length', [1, 2, -1])
async def test_answer_without_a_length_is_no_part(client, scripted, length):
    head = b'HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\r\n'
    server = await scripted([head + OUTPUT[:length]])
    with pytest.raises(TargetBrokenError):
        await client.call(make_target(server), CALL, repeatable=True)
