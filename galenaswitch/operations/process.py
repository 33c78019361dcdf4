"""Life of a process: event loop, signals, background tasks."""

import asyncio
import contextlib
import signal
import sys
from collections.abc import Awaitable, Callable, Coroutine
from functools import partial
from pathlib import Path
from typing import Any, TypeVar

import uvloop

from galenaswitch.errors import DutyError, GalenaError, SettingsError
from galenaswitch.operations.logs import get_logger
from galenaswitch.operations.settings import load_settings

Shape = TypeVar('Shape')
EXIT_USAGE = 2
EXIT_FAILED = 1


async def wait_for_stop() -> None:
    """Return when SIGTERM or SIGINT arrives."""
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopped.set)
    await stopped.wait()


class TaskGroup:
    """Background tasks of one process, all cancelled at its end."""

    def __init__(self) -> None:
        """Start with no task."""
        self._tasks: set[asyncio.Task[Any]] = set()
        self.failed = asyncio.Event()

    def start_critical(self, job: Coroutine[Any, Any, Any]) -> None:
        """Run what the process can't do without; sets ``failed`` at an error.

        A process that lost a duty must end and be started again rather than
        live on with old state.
        """
        self.start(job).add_done_callback(self._check_critical)

    def start(self, job: Coroutine[Any, Any, Any]) -> asyncio.Task[Any]:
        """Run ``job`` in the background and log its failure."""
        task = asyncio.create_task(job)
        self._tasks.add(task)
        task.add_done_callback(self._forget)
        return task

    async def wait_for_failure(self) -> None:
        """Return when a duty has failed."""
        await self.failed.wait()

    async def stop(self) -> None:
        """Cancel all tasks and wait for their end."""
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def _check_critical(self, task: asyncio.Task[Any]) -> None:
        if not task.cancelled() and task.exception():
            self.failed.set()

    def _forget(self, task: asyncio.Task[Any]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception():
            get_logger().error('task_failed', exc_info=task.exception())


async def run_every(
    seconds: float,
    job: Callable[[], Awaitable[Any]],
    event: str,
) -> None:
    """Run a job again and again until cancelled.

    :param seconds: pause between the end of a run and the next one.
    :param job: the job; its own errors are logged and don't end the cycle.
    :param event: name of the log event for a failed run.
    """
    while True:
        try:
            await job()
        except GalenaError as error:
            get_logger().warning(event, reason=str(error))
        await asyncio.sleep(seconds)


def run_program(
    path: Path,
    shape: type[Shape],
    program: Callable[[Shape], Coroutine[Any, Any, None]],
) -> None:
    """Load settings and run a program until it ends.

    The exit code is 2 with one sentence on standard error when the
    settings are wrong or a port can't be opened.
    """
    run_loop(path, partial(load_settings, shape=shape), program)


def run_loop(
    path: Path,
    load: Callable[[Path], Shape],
    program: Callable[[Shape], Coroutine[Any, Any, None]],
) -> None:
    """Run a program on settings of any format until it ends.

    :param load: reads the file; raises ``SettingsError``.
    """
    try:
        uvloop.run(program(load(path)))
    except SettingsError as error:
        sys.exit(_complain(f'{path}: {error}'))
    except OSError as error:
        sys.exit(_complain(f'cannot start: {error}'))
    except DutyError as error:
        _complain(str(error))
        sys.exit(EXIT_FAILED)


def _complain(sentence: str) -> int:
    with contextlib.suppress(BrokenPipeError):
        sys.stderr.write(f'{sentence}\n')
    return EXIT_USAGE
