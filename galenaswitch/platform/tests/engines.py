"""Scripted engines that pause, break and record how long they work."""

import asyncio
import contextlib
import time

from galenaswitch.platform.tests.test_streams import event, stream
from standins.scripted import find_header

# Step after which an engine resets its connection.
RESET = 'reset'
# Step that lasts until the connection is closed.
FOREVER = 60.0
BEGUN = stream([event(1)], end=b'')
END = b'0\r\n\r\n'
REST = stream([event(2), event(3)])
EMPTY_REST = (
    BEGUN.partition(b'\r\n\r\n')[0]
    + b'\r\nContent-Type: text/event-stream\r\n\r\n'
    + END
)
WHOLE = event(1) + event(2) + event(3)


def chunk(part):
    """Return one chunk of an answer that has begun."""
    return b'%x\r\n%b\r\n' % (len(part), part)


LATER = chunk(event(2)) + chunk(event(3)) + END
LATER_HALF = chunk(event(2).removeprefix(b'id: ')) + chunk(event(3)) + END


def pause(seconds, position='middle'):
    """Return the script of an engine that is silent once and goes on."""
    return {
        'head': [seconds, BEGUN, LATER],
        'middle': [BEGUN, seconds, LATER],
        'event': [BEGUN, chunk(b'id: '), seconds, LATER_HALF],
        'end': [BEGUN, LATER.removesuffix(END), seconds, END],
    }[position]


class Work:
    """Work of one engine on one request."""

    def __init__(self, target, last_event):
        """Begin work that goes on after the event ``last_event``."""
        self.target = target
        self.last_event = last_event
        self.began = time.monotonic()
        self.ended = None


class Engines:
    """Engines of which the one that gets the n-th request has the n-th script.

    A script is a list of steps: bytes to send, seconds to be silent, an
    event to wait for, or :data:`RESET`. The last script is repeated.

    :ivar works: what the engines did, in the order of the requests.
    :ivar on_first: called with the other engines at the first request.
    """

    def __init__(self, targets, scripts):
        """Let ``targets`` follow ``scripts``."""
        self.targets = targets
        self.works = []
        self.on_first = None
        self._scripts = scripts
        for target in targets:
            target._script = self._make_script(target)

    def find_overlap(self):
        """Return the longest time in seconds for which two engines worked."""
        now = time.monotonic()
        spans = sorted((one.began, one.ended or now) for one in self.works)
        overlaps = [
            min(end, later_end) - later_began
            for number, (_, end) in enumerate(spans)
            for later_began, later_end in spans[number + 1 :]
        ]
        return max(overlaps, default=0)

    async def wait_idle(self, seconds):
        """Wait until no engine works."""
        async with asyncio.timeout(seconds):
            while any(one.ended is None for one in self.works):
                await asyncio.sleep(0.005)

    def _make_script(self, target):
        async def serve(reader, writer):
            head = await target.read_request(reader)
            work = Work(target, find_header(head, 'Last-Event-Id'))
            self.works.append(work)
            number = min(len(self.works), len(self._scripts)) - 1
            if len(self.works) == 1 and self.on_first:
                others = [one for one in self.targets if one is not target]
                await self.on_first(others)
            acting = asyncio.create_task(act(self._scripts[number], writer))
            closing = asyncio.create_task(reader.read())
            await asyncio.wait(
                {acting, closing}, return_when=asyncio.FIRST_COMPLETED
            )
            work.ended = time.monotonic()
            acting.cancel()
            closing.cancel()
            with contextlib.suppress(ConnectionError, asyncio.CancelledError):
                await closing

        return serve


async def act(steps, writer):
    """Take the steps of a script."""
    for step in steps:
        if step == RESET:
            writer.transport.abort()
        elif isinstance(step, asyncio.Event):
            await step.wait()
        elif isinstance(step, float):
            await asyncio.sleep(step)
        else:
            writer.write(step)
            await writer.drain()


async def serve_by_name(target, reader, writer):
    """Answer a request whose id names a silence and its position."""
    head = await target.read_request(reader)
    ident = find_header(head, 'X-Attempt-Id')
    silence, position = ident.split('-')
    steps = {
        '': pause(float(silence), position),
        '1': [REST],
        '3': [EMPTY_REST],
    }[find_header(head, 'Last-Event-Id')]
    named = [
        step.replace(b'a1', ident.encode()) if isinstance(step, bytes) else step
        for step in steps
    ]
    await act(named, writer)
