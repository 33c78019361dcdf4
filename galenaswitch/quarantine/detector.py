"""Detects crashes of targets from the requests that they break.

A broken connection alone is no crash: a target may reset one request and go on,
or close an idle connection as a request is sent. A target that broke a request
has crashed if it no longer accepts connections.
"""

import asyncio
import time
from collections.abc import Awaitable, Callable

from galenaswitch.membership.lists import Target
from galenaswitch.operations.logs import get_logger
from galenaswitch.operations.process import TaskGroup
from galenaswitch.quarantine.messages import (
    CrashReport,
    ImplicatedPart,
    limit_parts,
)

# Most requests that the log line of a crash names.
MAX_LOGGED_REQUESTS = 64


class BrokenTarget:
    """Target that broke requests; it may have crashed.

    :ivar check: task that finds out whether the target has crashed.
    :ivar broken_at: monotonic time in seconds.
    :ivar parts: implicated parts of the broken requests by id.
    :ivar requests: ids of the broken requests.
    """

    def __init__(self, check: asyncio.Task[bool], now: float) -> None:
        """Build the record of a target that ``check`` examines."""
        self.check = check
        self.broken_at = now
        self.parts: dict[str, ImplicatedPart] = {}
        self.requests: list[str] = []


class CrashDetector:
    """Examines the targets that broke requests of this VM."""

    def __init__(
        self,
        tasks: TaskGroup,
        is_listening: Callable[[str], Awaitable[bool]],
        report: Callable[[CrashReport], None],
    ) -> None:
        """Build a detector.

        :param is_listening: tells whether a target at an address accepts
            connections.
        :param report: receives the parts that each crash implicates.
        """
        self._tasks = tasks
        self._is_listening = is_listening
        self._report = report
        self._broken: dict[str, BrokenTarget] = {}

    async def examine(
        self, target: Target, ident: str, parts: tuple[ImplicatedPart, ...]
    ) -> bool:
        """Report the parts of a broken request if its target has crashed.

        Several requests that one target broke are examined and reported
        together.

        :param ident: id of the caller's attempt.
        :returns: whether the target has crashed.
        """
        broken = self._broken.get(target.incarnation)
        if broken is None:
            check = self._tasks.start(self._check_target(target))
            broken = BrokenTarget(check, time.monotonic())
            self._broken[target.incarnation] = broken
        broken.requests.append(ident)
        for part in parts:
            known = broken.parts.get(part.ident, part)
            broken.parts[part.ident] = known.merge(part)
        return await asyncio.shield(broken.check)

    async def _check_target(self, target: Target) -> bool:
        try:
            is_listening = await self._is_listening(target.url)
        finally:
            broken = self._broken.pop(target.incarnation)
        if is_listening:
            return False
        parts = limit_parts(broken.parts.values())
        get_logger().warning(
            'target_crashed',
            target=target.name,
            incarnation=target.incarnation,
            requests=broken.requests[:MAX_LOGGED_REQUESTS],
            parts=tuple(part.ident for part in parts),
        )
        self._report(
            CrashReport(
                target.incarnation,
                parts,
                time.monotonic() - broken.broken_at,
            ),
        )
        return True
