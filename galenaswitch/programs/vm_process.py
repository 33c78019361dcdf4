"""Life of the edge process of one VM, from its command line to its stop."""

import asyncio
import signal
import sys
from functools import partial
from pathlib import Path

from galenaswitch.operations.logs import configure_logs, get_logger
from galenaswitch.operations.process import TaskGroup, run_loop, wait_for_stop
from galenaswitch.operations.sink import open_sink
from galenaswitch.platform.settings import (
    VmSettings,
    find_settings_path,
    load_vm_settings,
)
from galenaswitch.programs.vm import Edge


async def run_edge(path: Path, settings: VmSettings) -> None:
    """Run the edge process until SIGTERM, then drain and stop it.

    :param path: settings file, which SIGHUP and a timer reload.
    """
    sink = open_sink()
    configure_logs('galena-edge', settings.node, sink)
    tasks = TaskGroup()
    tasks.start(sink.keep_flushing())
    edge = Edge(settings, path, tasks)
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGHUP, edge.reload)
    await edge.listen()
    edge.start()
    get_logger().info('started', zone=settings.zone)
    await wait_for_stop()
    get_logger().info('stopping', connections=len(edge.callers.connections))
    await edge.stop()
    get_logger().info('stopped', connections=len(edge.callers.connections))
    await tasks.stop()
    sink.flush()


def serve(*, settings: Path | None = None) -> None:
    """Run the edge process of a VM on the platform.

    :param settings: path of the platform's settings file
    """
    path = settings or find_settings_path()
    run_loop(path, load_vm_settings, partial(run_edge, path))


def run_command_line() -> None:
    """Parse the command line of ``galena-edge`` and run the process.

    The platform starts it without arguments; the parser, with all that it
    needs to print its help, is imported only where there are some.
    """
    if len(sys.argv) == 1:
        serve()
        return
    import defopt  # noqa: PLC0415

    defopt.run(serve)
