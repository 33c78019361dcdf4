"""Several ways to open a connection, of which the first to succeed wins."""

import asyncio
from collections.abc import Callable, Coroutine, Sequence
from typing import Any

from galenaswitch.connections.outbound import TargetConnection

Opener = Callable[[], Coroutine[Any, Any, TargetConnection]]
_Task = asyncio.Task[TargetConnection]


async def race(
    openers: Sequence[Opener], head_start_seconds: float
) -> TargetConnection:
    """Return the first connection that is opened.

    The next opener starts when all before have failed, or after a head start.
    Connections that lose are closed.

    :raises OSError: when all fail, the error of the last opener.
    """
    tasks: list[_Task] = []
    winner: _Task | None = None
    try:
        for opener in openers:
            tasks.append(asyncio.create_task(opener()))
            is_last = len(tasks) == len(openers)
            winner = await _wait_for_first(
                tasks, None if is_last else head_start_seconds
            )
            if winner:
                return winner.result()
    finally:
        for task in tasks:
            if task is not winner:
                task.add_done_callback(_close)
                task.cancel()
    return tasks[-1].result()


async def _wait_for_first(
    tasks: Sequence[_Task], seconds: float | None
) -> _Task | None:
    """Return the first task that succeeds in time, ``None`` if none does."""
    pending = {task for task in tasks if not task.done()}
    loop = asyncio.get_running_loop()
    ends_at = None if seconds is None else loop.time() + seconds
    while pending:
        left = None if ends_at is None else ends_at - loop.time()
        done, pending = await asyncio.wait(
            pending, timeout=left, return_when=asyncio.FIRST_COMPLETED
        )
        for task in done:
            if not task.cancelled() and not task.exception():
                return task
        if not done:
            return None
    return None


def _close(task: _Task) -> None:
    """Close a connection that was opened though another one had won."""
    if not task.cancelled() and not task.exception():
        task.result().close()
