"""Structured logs: one line of ``key=value`` pairs for each event."""

import logging
import sys
from typing import Any

import structlog

from galenaswitch.operations.sink import LineSink

_SECRET_KEYS = frozenset(('token', 'secret', 'authorization'))


def hide_secrets(
    logger: Any,
    method: str,
    event: structlog.typing.EventDict,
) -> structlog.typing.EventDict:
    """Replace the values of secret keys by asterisks before they are logged.

    >>> hide_secrets(None, 'info', {'event': 'x', 'token': 'abc'})
    {'event': 'x', 'token': '***'}
    """
    return {
        key: '***' if key in _SECRET_KEYS else field
        for key, field in event.items()
    }


def configure_logs(
    program: str,
    node: str,
    sink: LineSink | None = None,
) -> None:
    """Configure structlog to write ``key=value`` lines.

    :param program: name of the program, added to each line.
    :param node: name of the machine, added to each line.
    :param sink: non-blocking writer of the lines; without it they go to
        standard error.
    """
    printing = structlog.PrintLoggerFactory(sys.stderr)
    structlog.configure(
        processors=[
            structlog.contextvars.merge_contextvars,
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt='iso', utc=True),
            hide_secrets,
            structlog.processors.format_exc_info,
            structlog.processors.LogfmtRenderer(
                key_order=['timestamp', 'level', 'program', 'event'],
            ),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(logging.INFO),
        logger_factory=(lambda *names: sink) if sink else printing,
        cache_logger_on_first_use=True,
    )
    structlog.contextvars.bind_contextvars(program=program, node=node)


def get_logger() -> Any:
    """Return the structured logger of the process."""
    return structlog.get_logger()
