import asyncio

import pytest

from galenaswitch.callers import answers
from galenaswitch.callers.answers import SMALL_BACKLOG_BYTES, StreamingSink
from galenaswitch.refusals import Reason, RefusedError
from galenaswitch.targets.messages import Token


class SlowCaller:
    """Fake connection to a caller that has not read ``unread_bytes`` yet.

    When these are many, sending waits until the event ``reads`` is set.
    """

    def __init__(self, unread_bytes):
        self.unread_bytes = unread_bytes
        self.reads = asyncio.Event()
        self.texts = []

    def get_write_buffer_size(self):
        return self.unread_bytes

    async def send(self, text):
        if self.unread_bytes >= SMALL_BACKLOG_BYTES:
            await self.reads.wait()
        self.texts.append(text)


async def test_caller_that_stops_reading_is_refused(monkeypatch):
    monkeypatch.setattr(answers, 'SLOW_CALLER_TIMEOUT_SECONDS', 0.05)
    caller = SlowCaller(SMALL_BACKLOG_BYTES)
    with pytest.raises(RefusedError) as refused:
        await StreamingSink(caller, caller).send([Token(0, 'a')])
    assert refused.value.reason is Reason.deadline
    assert not caller.texts


async def test_slow_caller_that_reads_again_gets_every_token():
    caller = SlowCaller(SMALL_BACKLOG_BYTES)
    sink = StreamingSink(caller, caller)
    sending = asyncio.create_task(sink.send([Token(0, 'a'), Token(1, '"')]))
    caller.reads.set()
    await sending
    assert caller.texts == [
        'event: token\ndata: {"index":0,"text":"a"}\n\n'
        'event: token\ndata: {"index":1,"text":"\\""}\n\n',
    ]
