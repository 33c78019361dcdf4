"""Structured logs: one line of ``key=value`` pairs for each event."""

import logging
import sys
import traceback
from pathlib import PurePath
from typing import Any

import structlog

from galenaswitch.operations.sink import LineSink

_SECRET_KEYS = frozenset(('token', 'secret', 'authorization'))
# Most characters of an error's message, and most calls of its traceback, in one
# log line.
MAX_REASON_LENGTH = 200
MAX_TRACE_CALLS = 6


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


def describe_error(error: BaseException) -> dict[str, str]:
    """Return the type, message and innermost calls of an unexpected error.

    The result is bounded, so that it fits in one log line.

    >>> describe_error(KeyError('a'))
    {'failure': 'KeyError', 'reason': "'a'", 'trace': ''}
    """
    calls = traceback.extract_tb(error.__traceback__)[-MAX_TRACE_CALLS:]
    return {
        'failure': type(error).__name__,
        'reason': str(error)[:MAX_REASON_LENGTH],
        'trace': ' > '.join(
            f'{PurePath(call.filename).name}:{call.lineno}:{call.name}'
            for call in calls
        ),
    }


def get_logger() -> Any:
    """Return the structured logger of the process."""
    return structlog.get_logger()
