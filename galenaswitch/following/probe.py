"""Cheap call that tells whether the store answers this VM."""

import asyncio
import random
from collections.abc import Callable
from typing import Any

from galenaswitch.errors import StoreError
from galenaswitch.operations.logs import get_logger
from galenaswitch.operations.process import TaskGroup
from galenaswitch.operations.timeouts import Timeout
from galenaswitch.store.registry import Registry

# Kind with few objects.
PROBE_KIND = 'galena-versions'
PROBE_SECONDS = 1.0
PROBE_TIMEOUT_SECONDS = 0.8
# Share by which the pauses between two probes vary.
PROBE_SPREAD = 0.5


class StoreProbe:
    """Probes the store by a stale listing, which costs a tenth of a call.

    A VM begins to follow the store only after an answer, so that an outage
    doesn't let all VMs call it at full price. One that follows it finds by
    probes that its watches are dead.

    :ivar is_answered: whether the store answered the last probe.
    """

    def __init__(
        self,
        store: Registry,
        tasks: TaskGroup,
        report: Callable[[bool], None],
    ) -> None:
        """Build a probe that has had no answer.

        :param report: called after each probe, with whether the one before was
            answered.
        """
        self.is_answered = False
        self._store = store
        self._tasks = tasks
        self._report = report
        self._due_at = 0.0
        self._running: asyncio.Task[Any] | None = None

    def start_if_due(self, now: float) -> None:
        """Start a probe unless the last one was a short time ago.

        :param now: monotonic time in seconds.
        """
        if now < self._due_at or self._running:
            return
        self._due_at = now + PROBE_SECONDS * random.uniform(
            1 - PROBE_SPREAD, 1 + PROBE_SPREAD
        )
        self._running = self._tasks.start(self._run())

    async def _run(self) -> None:
        was_answered = self.is_answered
        try:
            async with Timeout(PROBE_TIMEOUT_SECONDS):
                await self._store.list_kind(PROBE_KIND, stale=True)
        except (StoreError, TimeoutError) as error:
            self.is_answered = False
            get_logger().info('store_silent', reason=repr(error))
        else:
            self.is_answered = True
        finally:
            self._running = None
        self._report(was_answered)
