"""Operation of a process: settings, logs, metrics and lifecycle."""

from galenaswitch.operations.logs import configure_logs, get_logger
from galenaswitch.operations.metrics import Metrics, open_metrics
from galenaswitch.operations.process import (
    TaskGroup,
    run_every,
    run_program,
    wait_for_stop,
)
from galenaswitch.operations.settings import load_settings, parse_settings

__all__ = (
    'Metrics',
    'TaskGroup',
    'configure_logs',
    'get_logger',
    'load_settings',
    'open_metrics',
    'parse_settings',
    'run_every',
    'run_program',
    'wait_for_stop',
)
