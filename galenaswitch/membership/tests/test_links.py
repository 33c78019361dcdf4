import asyncio
from collections import Counter
from typing import NamedTuple

import msgpack
import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from galenaswitch.errors import PeerError, PeerRejectedError
from galenaswitch.membership.frames import (
    MAX_FRAME_BYTES,
    Frame,
    Vocabulary,
    encode_frame,
    unpack_frame,
)
from galenaswitch.membership.links import Identity, LinkService, dial, listen
from galenaswitch.operations.process import TaskGroup


class EchoRequest(NamedTuple):
    text: str
    size: int = 0


async def echo(link, message):
    return EchoRequest(message.text.upper())


def make_service(secret='a-shared-secret-of-all', node='server'):
    return LinkService(
        Identity(node, 'zone', 'control', node),
        secret,
        Vocabulary(EchoRequest),
        {EchoRequest: echo},
        '',
        Counter(),
    )


@pytest.fixture
async def server():
    tasks = TaskGroup()
    listener = await listen('127.0.0.1', 0, make_service(), tasks)
    yield listener.sockets[0].getsockname()[1]
    listener.close()
    await tasks.stop()


@pytest.fixture
async def connect(server):
    tasks = TaskGroup()

    async def connect(**options):
        link = await dial(
            '127.0.0.1',
            server,
            make_service(node='client', **options),
        )
        tasks.start(link.serve())
        return link

    yield connect
    await tasks.stop()


async def test_request_gets_its_reply(connect):
    link = await connect()
    assert await link.request(EchoRequest('hi'), 2) == EchoRequest('HI')


async def test_wrong_secret_is_rejected(connect):
    with pytest.raises(PeerRejectedError):
        await connect(secret='another-secret-of-others')


@pytest.mark.parametrize(
    'payload',
    [
        b'GET / HTTP/1.1\r\n\r\n',
        msgpack.packb([1, 2]),
        b'\xc6\xff\xff\xff\xff',
        b'\xdd\xff\xff\xff\xff',
        encode_frame(1, 0, EchoRequest('no handshake')),
    ],
)
async def test_invalid_handshake_closes_only_its_own_connection(
    connect, server, payload
):
    reader, writer = await asyncio.open_connection('127.0.0.1', server)
    writer.write(payload)
    writer.write_eof()
    async with asyncio.timeout(5):
        while await reader.read(1000):
            continue
    writer.close()
    link = await connect()
    assert await link.request(EchoRequest('hi'), 2) == EchoRequest('HI')


async def test_oversized_frame_closes_the_link(connect):
    link = await connect()
    with pytest.raises(PeerError):
        await link.request(EchoRequest('x' * (MAX_FRAME_BYTES + 1)), 5)


@given(st.recursive(st.none() | st.integers() | st.text(), st.lists))
@settings(suppress_health_check=[HealthCheck.too_slow])
def test_any_value_is_unpacked_or_rejected(parts):
    try:
        frame = unpack_frame(parts)
    except PeerRejectedError:
        return
    assert isinstance(frame, Frame)


@given(st.lists(st.none() | st.integers() | st.text()))
def test_any_fields_are_decoded_or_rejected(fields):
    vocabulary = Vocabulary(EchoRequest)
    try:
        message = vocabulary.decode(Frame(1, 0, 'EchoRequest', fields))
    except PeerRejectedError:
        return
    assert isinstance(message, EchoRequest)


def test_unknown_fields_are_ignored_and_unknown_types_dropped():
    vocabulary = Vocabulary(EchoRequest)
    newer = Frame(1, 0, 'EchoRequest', ['hi', 3, 'red'])
    assert vocabulary.decode(newer) == EchoRequest('hi', 3)
    assert vocabulary.decode(Frame(1, 0, 'Unknown', [])) is None


def test_frame_of_another_protocol_is_rejected_by_name():
    with pytest.raises(PeerRejectedError, match='protocol 1, not 2'):
        unpack_frame([1, 1, 0, 'EchoRequest', {'text': 'hi'}])


def test_fields_missing_from_an_older_sender_get_their_default():
    vocabulary = Vocabulary(EchoRequest)
    older = Frame(1, 0, 'EchoRequest', ['hi'])
    assert vocabulary.decode(older) == EchoRequest('hi', 0)


# Guards against an odd address of one VM that ends the links to all others.
@pytest.mark.parametrize('address', ['a' * 300, 'a..b', '\x00', 'é' * 70, ''])
async def test_address_that_is_none_raises_a_peer_error(address):
    with pytest.raises(PeerError):
        await dial(address, 1, make_service())
