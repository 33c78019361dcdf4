"""Targets that write a refusal once more where the next answer is due."""

import asyncio

import pytest

from galenaswitch.gateway.routes import CallKind
from galenaswitch.membership.lists import MemberList, Target
from galenaswitch.platform.tests.test_streams import event, stream
from standins.scripted import ScriptedTarget, find_header

UNAVAILABLE = (
    b'HTTP/1.1 503 Service Unavailable\r\nX-Attempt-Id: %b\r\n'
    b'X-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n'
)
MISDIRECTED = (
    b'HTTP/1.1 421 Misdirected Request\r\nX-Attempt-Id: %b\r\n'
    b'Content-Length: 0\r\n\r\n'
)
REFUSALS = pytest.mark.parametrize(
    'refusal',
    [UNAVAILABLE, MISDIRECTED],
    ids=['unavailable', 'misdirected'],
)
# Most requests that reach a target in one test.
MAX_REQUESTS = 6


class Copier(ScriptedTarget):
    """Target that refuses each request once, and then runs it.

    It writes the refusal again when the next request comes on that connection,
    before the answer to that request. It has a new name after each request.

    :ivar runs: ids of the requests that it ran, in their order.
    """

    def __init__(self, listed, refusal, answer):
        """Build a target that answers with ``answer`` what it runs.

        :param listed: members among which the target has its names.
        :param refusal: refusal of a request, without the request's id.
        """
        super().__init__(self.serve)
        self.runs = []
        self._listed = listed
        self._refusal = refusal
        self._answer = answer
        self._refused = set()

    def rename(self):
        """Give the target a new name at its address."""
        revision = self._listed.member_list.revision + 1
        name = f't{revision}'
        target = Target(name, f'{name}/1', 'z', 'desk', self.address)
        self._listed.accept(MemberList(revision, (), (target,)))

    async def serve(self, reader, writer):
        """Answer all requests of a connection."""
        copy = b''
        while len(self.requests) < MAX_REQUESTS:
            head = await self.read_request(reader)
            ident = find_header(head, 'X-Attempt-Id')
            self.rename()
            if ident in self._refused:
                self.runs.append(ident)
                due = self._answer.replace(b'a1', ident.encode())
            else:
                self._refused.add(ident)
                due = self._refusal % ident.encode()
            writer.write(copy)
            await asyncio.sleep(0.02 if copy else 0)
            writer.write(due)
            copy = due if ident not in self.runs else b''


@pytest.fixture
async def start_copier(listed):
    """Return a function that starts a listed target that copies refusals."""
    started = []

    async def start(refusal, answer):
        copier = Copier(listed, refusal, answer)
        await copier.start()
        copier.rename()
        started.append(copier)
        return copier

    yield start
    for copier in started:
        await copier.stop()


# Guards against a copied refusal of the request that is under way again.
@REFUSALS
async def test_request_back_at_the_address_of_its_refusal_runs_once(
    make_plain_runner,
    members,
    start_copier,
    make_route,
    make_caller_request,
    writer,
    make_answer,
    refusal,
):
    runner = make_plain_runner()
    copier = await start_copier(refusal, make_answer())
    request = make_caller_request(make_route(CallKind.once))
    await runner.run(request, writer)
    assert copier.runs == ['a1']
    assert (writer.head.status, writer.body) == (200, b'fine')


# Guards against a copied refusal of the stream that is under way again.
@REFUSALS
async def test_stream_back_at_the_address_of_its_refusal_runs_once(
    run_stream, listed, start_copier, make_route, writer, refusal
):
    copier = await start_copier(refusal, stream([event(1), event(2)]))
    await run_stream(make_route(CallKind.stream), copier)
    assert copier.runs == ['a1']
    assert writer.body == event(1) + event(2)
    assert writer.finished
