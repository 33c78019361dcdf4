import asyncio

import pytest

from galenaswitch.callers import answers
from galenaswitch.callers.answers import SMALL_BACKLOG_BYTES, StreamingSink
from galenaswitch.refusals import Reason, RefusedError
from galenaswitch.targets.messages import Token


class Caller:
    """A caller that has some bytes unread and reads when told to."""

    def __init__(self, unread):
        self.unread = unread
        self.reads = asyncio.Event()
        self.texts = []

    def get_write_buffer_size(self):
        return self.unread

    async def send(self, text):
        if self.unread >= SMALL_BACKLOG_BYTES:
            await self.reads.wait()
        self.texts.append(text)


async def test_caller_that_does_not_read_is_given_up(monkeypatch):
    monkeypatch.setattr(answers, 'SLOW_CALLER_TIMEOUT_SECONDS', 0.05)
    caller = Caller(SMALL_BACKLOG_BYTES)
    with pytest.raises(RefusedError) as refused:
        await StreamingSink(caller, caller).send([Token(0, 'a')])
    assert refused.value.reason is Reason.deadline
    assert not caller.texts


async def test_caller_that_reads_late_gets_every_token():
    caller = Caller(SMALL_BACKLOG_BYTES)
    sink = StreamingSink(caller, caller)
    sending = asyncio.create_task(sink.send([Token(0, 'a'), Token(1, '"')]))
    caller.reads.set()
    await sending
    assert caller.texts == [
        'event: token\ndata: {"index":0,"text":"a"}\n\n'
        'event: token\ndata: {"index":1,"text":"\\""}\n\n',
    ]
