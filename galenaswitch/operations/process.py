"""Lifecycle of a process: event loop, stop signals, background tasks."""

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
from galenaswitch.operations.logs import describe_error, get_logger
from galenaswitch.operations.settings import load_settings

Shape = TypeVar('Shape')
# Pause before a lasting task that has failed runs again.
RESTART_SECONDS = 0.5
# Most characters of the description of a task in a log line.
MAX_JOB_LENGTH = 100
EXIT_USAGE = 2
EXIT_FAILED = 1


async def wait_for_stop() -> None:
    """Wait until the process receives SIGTERM or SIGINT."""
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopped.set)
    await stopped.wait()


def is_cancelled() -> bool:
    """Tell whether the current task itself was cancelled.

    A task also gets a ``CancelledError`` when another one that it waits for
    was cancelled.
    """
    task = asyncio.current_task()
    return task is not None and task.cancelling() > 0


class TaskGroup:
    """Background tasks of one process, which it cancels when it stops."""

    def __init__(self) -> None:
        """Build a group for the tasks of one process."""
        self._tasks: set[asyncio.Task[Any]] = set()
        self.failed = asyncio.Event()

    def start_critical(self, job: Coroutine[Any, Any, Any]) -> None:
        """Start a background task whose failure must stop the process.

        An error in the task sets ``failed``. A process without this task
        would keep running on outdated state, so it must be restarted.
        """
        self.start(job).add_done_callback(self._check_critical)

    def start(self, job: Coroutine[Any, Any, Any]) -> asyncio.Task[Any]:
        """Start a background task and log the error if it fails."""
        task = asyncio.create_task(job)
        self._tasks.add(task)
        task.add_done_callback(self._handle_task_end)
        return task

    def start_lasting(
        self, job: Callable[[], Coroutine[Any, Any, Any]]
    ) -> asyncio.Task[Any]:
        """Start a background task that runs again after an unexpected error.

        It suits tasks that read what others write: an input that they can't
        handle would end a critical task again after each restart.
        """
        return self.start(_run_lasting(job))

    async def wait_for_failure(self) -> None:
        """Wait until a critical background task has failed."""
        await self.failed.wait()

    async def stop(self) -> None:
        """Cancel all background tasks and wait until they have ended."""
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def _check_critical(self, task: asyncio.Task[Any]) -> None:
        if not task.cancelled() and task.exception():
            self.failed.set()

    def _handle_task_end(self, task: asyncio.Task[Any]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception():
            get_logger().error('task_failed', exc_info=task.exception())


async def _run_lasting(job: Callable[[], Coroutine[Any, Any, Any]]) -> None:
    while True:
        try:
            await job()
        except Exception as error:
            get_logger().error(
                'task_restarts',
                task=getattr(job, '__qualname__', str(job)[:MAX_JOB_LENGTH]),
                **describe_error(error),
            )
        else:
            return
        await asyncio.sleep(RESTART_SECONDS)


async def run_every(
    seconds: float,
    job: Callable[[], Awaitable[Any]],
    event: str,
) -> None:
    """Run a job periodically until cancelled.

    :param seconds: pause between the end of a run and the start of the next.
    :param job: function to call; a ``GalenaError`` that it raises is logged
        and does not end the loop.
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
    """Load an INI settings file and run a program until it ends.

    The process exits with code 2 and one line on standard error when the
    settings are invalid or a port can't be opened.
    """
    run_loop(path, partial(load_settings, shape=shape), program)


def run_loop(
    path: Path,
    load: Callable[[Path], Shape],
    program: Callable[[Shape], Coroutine[Any, Any, None]],
) -> None:
    """Run a program with settings of any file format until it ends.

    :param path: path of the settings file.
    :param load: reads the file; raises ``SettingsError`` if it is invalid.
    :param program: runs with the loaded settings; a ``DutyError`` from it
        gives exit code 1.
    """
    try:
        uvloop.run(program(load(path)))
    except SettingsError as error:
        sys.exit(_print_error(f'{path}: {error}'))
    except OSError as error:
        sys.exit(_print_error(f'cannot start: {error}'))
    except DutyError as error:
        _print_error(str(error))
        sys.exit(EXIT_FAILED)


def _print_error(message: str) -> int:
    with contextlib.suppress(BrokenPipeError):
        sys.stderr.write(f'{message}\n')
    return EXIT_USAGE
