"""Tracks the results that producers hold, and releases them.

A result uses its producer's result memory until the producer confirms its
release or drops it after the retention time.
"""

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

# Seconds for which releases at one producer are collected into one call.
RELEASE_DELAY_SECONDS = 0.005
# Longest such time while a producer is paused; the retention ends about then.
MAX_RELEASE_DELAY_SECONDS = 5.0
# Seconds after which a release call to a producer times out.
RELEASE_TIMEOUT_SECONDS = 1.0
# Seconds after which an idle connection to a target is not reused.
MAX_IDLE_SECONDS = 3.0


class StoredResult(NamedTuple):
    """A result that uses result memory at its producer.

    :param target: producer of the result.
    :param size_bytes: result memory that the result uses.
    :param expires_at: monotonic time at which the producer drops the result.
    """

    target: Target
    size_bytes: int
    expires_at: float


class StoredResults:
    """Results of one service that their producers still hold.

    Result memory counts as free only after the producer has confirmed a
    release or has dropped the expired result.
    """

    def __init__(
        self,
        members: Members,
        sender: Sender,
        wire: Wire,
        tasks: TaskGroup,
        on_release: Callable[[StoredResult], None],
    ) -> None:
        """Build an empty set of results.

        :param on_release: called for each result that was released or expired.
        """
        self._members = members
        self._sender = sender
        self._wire = wire
        self._tasks = tasks
        self._on_release = on_release
        self._stored: dict[str, StoredResult] = {}
        self._unknown_results: deque[StoredResult] = deque()
        self._pending_releases: dict[str, list[str]] = {}

    def __len__(self) -> int:
        """Return the number of results."""
        return len(self._stored) + len(self._unknown_results)

    def add(self, handle: str, stored: StoredResult) -> None:
        """Add a result under its handle."""
        self._stored[handle] = stored

    def add_unknown(self, stored: StoredResult) -> None:
        """Add results of unknown handles, for example after a lost answer."""
        self._unknown_results.append(stored)

    def find_producers(self, handles: tuple[str, ...]) -> tuple[Target, ...]:
        """Return the producers of the results with the given handles."""
        found = (self._stored.get(handle) for handle in handles)
        return tuple(stored.target for stored in found if stored)

    def release(self, handles: tuple[str, ...]) -> None:
        """Release results; one call per producer collects several."""
        for handle in handles:
            producer = self._wire.find_producer(handle)
            collected = self._pending_releases.setdefault(producer, [])
            collected.append(handle)
            if len(collected) == 1:
                self._tasks.start(self._send_release(producer))

    def drop_expired(self) -> None:
        """Remove expired results, which their producers have dropped."""
        now = time.monotonic()
        expired = [
            handle
            for handle, stored in self._stored.items()
            if stored.expires_at < now
        ]
        self._remove(expired)
        while (
            self._unknown_results and self._unknown_results[0].expires_at < now
        ):
            self._on_release(self._unknown_results.popleft())

    async def _send_release(self, producer: str) -> None:
        await asyncio.sleep(self._find_release_delay(producer))
        handles = tuple(self._pending_releases.pop(producer))
        target = self._members.find_target_by_url(producer)
        if target is None:
            return
        head, body = self._wire.make_release(handles, target)
        try:
            async with self._sender.send(
                target,
                head,
                body,
                MAX_IDLE_SECONDS,
                names_limit=False,
            ) as attempt:
                await attempt.read_head(RELEASE_TIMEOUT_SECONDS)
                await attempt.read_complete(RELEASE_TIMEOUT_SECONDS)
        except TargetError as error:
            # The producer drops the results when their retention ends.
            get_logger().info(
                'release_failed',
                target=target.name,
                reason=str(error),
            )
            return
        self._remove(handles)

    def _find_release_delay(self, producer: str) -> float:
        """Return the seconds for which releases at a producer are collected."""
        target = self._members.find_target_by_url(producer)
        wait = self._sender.notices.find_wait((target,)) if target else 0
        return max(RELEASE_DELAY_SECONDS, min(wait, MAX_RELEASE_DELAY_SECONDS))

    def _remove(self, handles: tuple[str, ...] | list[str]) -> None:
        for handle in handles:
            stored = self._stored.pop(handle, None)
            if stored:
                self._on_release(stored)
