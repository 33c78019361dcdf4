"""Errors of the target that continues a stream that broke off."""

import pytest

from galenaswitch.gateway.events import EventBuffer
from galenaswitch.gateway.routes import CallKind
from galenaswitch.platform.tests.test_streams import event, stream
from galenaswitch.refusals import RefusedError
from standins.scripted import find_header

BEGUN = stream([event(1)], end=b'')
ECHO = b'X-Attempt-Id: a1\r\nX-Server-Seal: s\r\n'
ERROR_TEXT = b'HTTP/1.1 500 Oops\r\n\r\nit failed\n\n'


def plain(status, body, headers=b''):
    """Return an answer with a length."""
    return b'HTTP/1.1 %b\r\n%b%bContent-Length: %d\r\n\r\n%b' % (
        status,
        ECHO,
        headers,
        len(body),
        body,
    )


def unframed(body):
    """Return a success whose body ends with the connection."""
    return b'HTTP/1.1 200 OK\r\n%b\r\n%b' % (ECHO, body)


@pytest.fixture
def continue_with(run_stream, make_route, scripted, writer):
    """Return a function that continues a begun stream with given bytes."""

    async def run(rest):
        targets = [await scripted([b'']) for _ in range(2)]

        def serve(target):
            async def answer(reader, stream_writer):
                head = await target.read_request(reader)
                is_rest = find_header(head, 'Last-Event-Id')
                stream_writer.write(rest if is_rest else BEGUN)
                await stream_writer.drain()

            return answer

        for target in targets:
            target._script = serve(target)
        try:
            await run_stream(
                make_route(CallKind.stream, resumable=True), *targets
            )
        except RefusedError as error:
            return error
        return None

    return run


# Guards against the bytes of an error in the middle of a caller's stream, and
# against a stream that ends as complete by an error.
@pytest.mark.parametrize(
    'rest',
    [
        plain(b'500 Oops', b'it failed\n\n'),
        plain(b'503 Busy', b'id: 2\ndata: t2\n\n'),
        plain(b'409 Conflict', b'gone', b'X-Not-Executed: 1\r\n'),
        plain(b'204 No Content', b''),
        plain(b'202 Accepted', b'id: 2\ndata: t2\n\n'),
        plain(b'200 OK', b'{"error": 1}\n\n', b'Content-Type: text/json\r\n'),
        plain(b'200 OK', b'it failed\n\n'),
        plain(b'200 OK', ERROR_TEXT),
        unframed(b'it failed\n\n'),
        unframed(ERROR_TEXT),
        stream([b'it failed\n\n']),
        stream([ERROR_TEXT]),
        stream([b'id: 1\ndata: again\n\n']),
        b'HTTP/1.1 100 Continue\r\n\r\n' + plain(b'500 Oops', b'failed\n\n'),
        ERROR_TEXT,
        b'it failed\n\n',
        plain(b'200 OK', b'', b'Content-Type: text/html\r\n'),
        plain(b'200 OK', b''),
        unframed(b''),
    ],
)
async def test_error_in_place_of_the_rest_does_not_reach_the_caller(
    continue_with, writer, rest
):
    assert await continue_with(rest)
    assert writer.body == event(1)
    assert not writer.finished


# Guards against an error behind the first events of the second target.
@pytest.mark.parametrize(
    'rest',
    [
        unframed(event(2) + ERROR_TEXT),
        unframed(event(2) + b'it failed\n\n'),
        stream([event(2), ERROR_TEXT]),
        stream([event(2), event(2)]),
        stream([event(2)], end=b'') + ERROR_TEXT,
        plain(b'200 OK', event(2) + b'oops\n\n'),
    ],
)
async def test_error_behind_the_rest_does_not_reach_the_caller(
    continue_with, writer, rest
):
    assert await continue_with(rest)
    assert writer.body == event(1) + event(2)
    assert not writer.finished


@pytest.mark.parametrize(
    'rest',
    [
        stream([event(2), event(3)]),
        unframed(event(2) + event(3)),
        stream([b': alive\n\n', event(2), event(3)]),
        stream([b'x-weight-versions: 2\nid: 2\ndata: t2\n\n', event(3)]),
        plain(
            b'200 OK',
            event(2) + event(3),
            b'Content-Type: text/event-stream; charset=utf-8\r\n',
        ),
        b'HTTP/1.1 100 Continue\r\n\r\n' + stream([event(2), event(3)]),
    ],
)
async def test_sound_rest_is_forwarded(continue_with, writer, rest):
    assert await continue_with(rest) is None
    assert writer.body.startswith(event(1))
    assert writer.body.endswith(event(3))
    assert writer.finished


# Guards against comments that stand for the rest of a stream.
async def test_comments_alone_do_not_end_a_stream(continue_with, writer):
    assert await continue_with(unframed(b': alive\n\n'))
    assert not writer.finished


# Guards against a stream that is cut off although it broke behind its last
# event.
async def test_rest_without_an_event_ends_an_event_stream(
    continue_with, writer
):
    head = b'HTTP/1.1 200 OK\r\n%bContent-Type: text/event-stream\r\n' % ECHO
    rest = head + b'Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n'
    assert await continue_with(rest) is None
    assert writer.body == event(1)
    assert writer.finished


# Guards against an id that is too long to be read as a number.
@pytest.mark.parametrize('last_id', ['9' * 5000, '', 'x', '-1'])
def test_id_of_any_length_is_compared(last_id):
    buffer = EventBuffer(last_id)
    assert buffer.feed(event(1)) == event(1)
    assert buffer.feed(b'id: %b\n\n' % (b'8' * 5000))
    assert not buffer.is_broken
