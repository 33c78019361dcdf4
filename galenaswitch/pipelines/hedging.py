"""First success of an attempt and its hedges."""

import asyncio
from collections.abc import Callable, Iterable
from typing import TypeVar

Outcome = TypeVar('Outcome')


async def find_first_success(
    first: asyncio.Task[Outcome],
    delays: Iterable[float],
    hedge: Callable[[], set[asyncio.Task[Outcome]]],
) -> Outcome:
    """Return the first successful result of an attempt and its hedges.

    A failure ends no other attempt. At the end, all that are left are
    cancelled.

    :param delays: seconds before each hedge in which no attempt ends.
    :param hedge: starts another attempt, or none if there can't be one.
    :raises GalenaError: the last failure, when all attempts have failed.
    """
    tasks = {first}
    waiting = {first}
    times = iter(delays)
    delay = next(times, None)
    try:
        while True:
            done, waiting = await asyncio.wait(
                waiting,
                timeout=delay,
                return_when=asyncio.FIRST_COMPLETED,
            )
            succeeded = [task for task in done if not task.exception()]
            if succeeded or not waiting:
                return (succeeded or list(done))[0].result()
            if not done:
                hedges = hedge()
                tasks |= hedges
                waiting |= hedges
                delay = next(times, None)
    finally:
        await _end(tasks)


async def _end(tasks: Iterable[asyncio.Task[Outcome]]) -> None:
    """Cancel the attempts that are left, and retrieve all exceptions.

    Asyncio logs an exception that nobody has retrieved.
    """
    left = {task for task in tasks if not task.done()}
    for task in left:
        task.cancel()
    if left:
        await asyncio.wait(left)
    for task in tasks:
        if not task.cancelled():
            task.exception()
