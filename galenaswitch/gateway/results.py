"""Results of work items that take room at their producers."""

import asyncio
import time
from collections import deque
from collections.abc import Callable
from typing import NamedTuple

from galenaswitch.errors import TargetError
from galenaswitch.gateway.calls import Wire
from galenaswitch.gateway.sending import Sender
from galenaswitch.membership.lists import Members, Target
from galenaswitch.operations.logs import get_logger
from galenaswitch.operations.process import TaskGroup

# Seconds in which released results are collected for one call.
RELEASE_DELAY_SECONDS = 0.005
# Seconds in which a call that gives results up is answered.
RELEASE_TIMEOUT_SECONDS = 1.0
# Seconds that a connection to a target may have been idle.
MAX_IDLE_SECONDS = 3.0


class StoredResult(NamedTuple):
    """A result that takes room at its producer.

    :param size: its bytes.
    :param until: monotonic time at which the producer drops it by itself.
    """

    target: Target
    size_bytes: int
    expires_at: float


class StoredResults:
    """Results of one service that their producers still hold.

    Room counts as free only once the producer has confirmed a release, or has
    dropped the result by itself.
    """

    def __init__(
        self,
        members: Members,
        sender: Sender,
        wire: Wire,
        tasks: TaskGroup,
        on_release: Callable[[StoredResult], None],
    ) -> None:
        """Call ``free_room`` for each result that is gone."""
        self._members = members
        self._sender = sender
        self._wire = wire
        self._tasks = tasks
        self._on_release = on_release
        self._stored: dict[str, StoredResult] = {}
        self._unknown: deque[StoredResult] = deque()
        self._pending_releases: dict[str, list[str]] = {}

    def __len__(self) -> int:
        """Count the results."""
        return len(self._stored) + len(self._unknown)

    def add(self, handle: str, stored: StoredResult) -> None:
        """Note a result."""
        self._stored[handle] = stored

    def add_unknown(self, stored: StoredResult) -> None:
        """Note what a call may have made whose answer was lost."""
        self._unknown.append(stored)

    def find_producers(self, handles: tuple[str, ...]) -> tuple[Target, ...]:
        """Return the targets that made some results."""
        found = (self._stored.get(handle) for handle in handles)
        return tuple(stored.target for stored in found if stored)

    def release(self, handles: tuple[str, ...]) -> None:
        """Give results up; calls collect them for a short time."""
        for handle in handles:
            producer = self._wire.find_producer(handle)
            collected = self._pending_releases.setdefault(producer, [])
            collected.append(handle)
            if len(collected) == 1:
                self._tasks.start(self._send_release(producer))

    def drop_expired(self) -> None:
        """Forget what the producers have dropped by themselves."""
        now = time.monotonic()
        expired = [
            handle
            for handle, stored in self._stored.items()
            if stored.expires_at < now
        ]
        self._remove(expired)
        while self._unknown and self._unknown[0].expires_at < now:
            self._on_release(self._unknown.popleft())

    async def _send_release(self, producer: str) -> None:
        await asyncio.sleep(RELEASE_DELAY_SECONDS)
        handles = tuple(self._pending_releases.pop(producer))
        target = self._members.find_address(producer)
        if target is None:
            return
        head, body = self._wire.make_release(handles, target)
        try:
            async with self._sender.send(
                producer,
                head,
                body,
                MAX_IDLE_SECONDS,
            ) as attempt:
                await attempt.read_head(RELEASE_TIMEOUT_SECONDS)
                await attempt.read_complete(RELEASE_TIMEOUT_SECONDS)
        except TargetError as error:
            # The producer drops results by itself some seconds later.
            get_logger().info(
                'release_failed',
                target=target.name,
                reason=str(error),
            )
            return
        self._remove(handles)

    def _remove(self, handles: tuple[str, ...] | list[str]) -> None:
        for handle in handles:
            stored = self._stored.pop(handle, None)
            if stored:
                self._on_release(stored)
