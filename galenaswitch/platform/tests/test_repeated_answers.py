"""Batches at a target that writes an earlier answer once more."""

import asyncio
import json

import pytest

from galenaswitch.gateway.batcher import Batcher
from galenaswitch.gateway.calls import WorkItem
from galenaswitch.gateway.messages import PiecesQuestion
from galenaswitch.gateway.questions import BatchedService
from galenaswitch.limits.retries import RetryBudgets
from galenaswitch.membership.lists import MemberList, Members, Target
from galenaswitch.operations.process import TaskGroup
from galenaswitch.pipelines import target_states
from galenaswitch.platform.headers import PlatformWire
from galenaswitch.platform.tests.test_batcher import (
    BATCHES,
    BUSY,
    FREE_MEMORY,
    NO_MEMORY,
    answer,
)
from standins.scripted import ScriptedTarget

RELEASED = answer(b'')
# Batch of a connection in whose place an earlier answer is written.
REPEATED_BATCH = 2


class Repeater(ScriptedTarget):
    """Producer that writes an earlier answer before that to a batch.

    The answer to the batch itself follows when the next request has come.

    :ivar earlier: the earlier answer, empty for that to the first batch.
    """

    def __init__(self, earlier):
        """Build a producer that repeats ``earlier``."""
        super().__init__(self.serve)
        self.earlier = earlier
        self.made_count = 0

    async def serve(self, reader, writer):
        """Answer all requests of a connection."""
        batches = []
        due = []
        while True:
            head = await self.read_request(reader)
            if 'stage-run' not in head:
                due.append(FREE_MEMORY if 'report' in head else RELEASED)
            else:
                batches.append(self.make(self.bodies[-1]))
                due.append(batches[-1])
            if len(batches) == REPEATED_BATCH and due[-1] is batches[-1]:
                due.insert(0, self.earlier or batches[0])
            writer.write(due.pop(0))

    def make(self, body):
        """Return the answer to a batch; handles name its requests."""
        outcomes = []
        for item in json.loads(body)['items']:
            self.made_count += 1
            handle = f'{self.address}/{item["id"]}-{self.made_count}'
            outcomes.append({'handle': handle})
        return answer(json.dumps({'items': outcomes}).encode())


@pytest.fixture
async def make_results(sender, containment, monkeypatch):
    """Return a function that makes results for one request after the other.

    :returns: the reply to each request.
    """
    monkeypatch.setattr(target_states, 'FAILURE_PAUSE_SECONDS', 0.01)
    tasks = TaskGroup()
    started = []

    async def run(earlier, idents):
        target = Repeater(earlier)
        await target.start()
        started.append(target)
        members = Members()
        member = Target('m', 'm/1', 'z', 'intake', target.address)
        members.accept(MemberList(1, (), (member,)))
        batcher = Batcher(
            BatchedService('intake', lambda _: BATCHES),
            members,
            sender,
            PlatformWire(),
            RetryBudgets(0, 10, 10),
            tasks,
            lambda held: None,
            containment,
        )
        replies = {}
        for ident in idents:
            item = WorkItem(ident, 0, 0, 'k', ())
            query = PiecesQuestion('intake', ident, (item,), 10, '', 1.0, 3.0)
            replies[ident] = await batcher.make_results(query)
            await asyncio.sleep(0.02)
        return replies

    yield run
    await tasks.stop()
    for target in started:
        await target.stop()


# Guards against results of one request that another one reads.
@pytest.mark.parametrize(
    'earlier', [b'', BUSY, NO_MEMORY, FREE_MEMORY, RELEASED]
)
async def test_batch_gets_no_results_of_another_batch(make_results, earlier):
    replies = await make_results(earlier, ('r0', 'r1', 'r2', 'r3'))
    for ident, reply in replies.items():
        assert reply.handles
        assert all(f'/{ident}-' in handle for handle in reply.handles)
