"""Answers of targets whose heads are cut off or broken, on each path."""

import pytest

from galenaswitch.gateway.routes import CallKind
from galenaswitch.platform.tests.test_streams import event, stream
from galenaswitch.refusals import RefusedError

STATUS = b'HTTP/1.1 200 OK\r\n'
SEALED = STATUS + b'X-Attempt-Id: a1\r\nX-Server-Seal: s\r\n'
INTERIM = b'HTTP/1.1 100 Continue\r\n\r\n'
CUT_HEADS = {
    'status line': b'HTTP/1.1 200 O',
    'after the status line': STATUS,
    'name': STATUS + b'X-Att',
    'before the length': SEALED,
    'name of the length': SEALED + b'Content-Len',
    'length': SEALED + b'Content-Length: 4',
    'end of the length': SEALED + b'Content-Length: 4\r\n',
    'end of the head': SEALED + b'Content-Length: 4\r\n\r',
    'interim response': INTERIM + b'H',
    'behind an interim response': INTERIM + SEALED,
    'coding': SEALED + b'Transfer-Encoding: chunked\r\n',
    'lengths that differ': SEALED
    + b'Content-Length: 4\r\nContent-Length: 0\r\n\r\nfine',
    'negative length': SEALED + b'Content-Length: -1\r\n\r\nfine',
    'unknown coding': SEALED
    + b'Transfer-Encoding: gzip, chunked\r\n\r\n4\r\nfine\r\n0\r\n\r\n',
}
cut_heads = pytest.mark.parametrize(
    'cut', [pytest.param(one, id=name) for name, one in CUT_HEADS.items()]
)


@pytest.fixture
def start_pair(scripted):
    """Return a function that starts two targets that share their answers."""

    async def start(*answers):
        left = list(answers)
        targets = [await scripted([b'']) for _ in range(2)]

        def serve_next(target):
            async def serve(reader, stream_writer):
                await target.read_request(reader)
                stream_writer.write(left.pop(0))
                await stream_writer.drain()

            return serve

        for target in targets:
            target._script = serve_next(target)
        return targets

    return start


# Guards against an empty answer that looks whole, made of a head cut off.
@cut_heads
async def test_plain_answer_with_a_cut_head_is_no_answer(
    cut, make_plain_runner, scripted, make_route, make_caller_request, writer
):
    target = await scripted([cut])
    request = make_caller_request(make_route(CallKind.once))
    with pytest.raises(RefusedError):
        await make_plain_runner(target).run(request, writer)
    assert not writer.started


@cut_heads
async def test_plain_request_is_repeated_after_a_cut_head(
    cut,
    make_plain_runner,
    start_pair,
    make_route,
    make_caller_request,
    writer,
    make_answer,
):
    targets = await start_pair(cut, make_answer())
    request = make_caller_request(make_route(CallKind.repeatable))
    await make_plain_runner(*targets).run(request, writer)
    assert (writer.head.status, writer.body) == (200, b'fine')
    assert writer.finished


@cut_heads
async def test_plain_answer_with_a_cut_head_on_a_kept_connection(
    cut,
    make_plain_runner,
    scripted,
    make_route,
    make_caller_request,
    writer,
    make_answer,
):
    target = await scripted([make_answer(), cut])
    runner = make_plain_runner(target)
    request = make_caller_request(make_route(CallKind.once))
    await runner.run(request, writer)
    writer.__init__()
    with pytest.raises(RefusedError):
        await runner.run(request, writer)
    assert not writer.started


@cut_heads
async def test_stream_with_a_cut_head_is_no_stream(
    cut, run_stream, scripted, make_route, writer
):
    target = await scripted([cut])
    with pytest.raises(RefusedError):
        await run_stream(make_route(CallKind.stream), target)
    assert not writer.finished
    assert not writer.body


# Guards against a stream that ends as whole where it was resumed.
@cut_heads
async def test_resumed_stream_with_a_cut_head_is_not_complete(
    cut, run_stream, start_pair, make_route, writer
):
    targets = await start_pair(stream([event(1)], end=b''), cut)
    with pytest.raises(RefusedError):
        await run_stream(make_route(CallKind.stream, resumable=True), *targets)
    assert sum(len(target.requests) for target in targets) == 2
    assert writer.body == event(1)
    assert not writer.finished
