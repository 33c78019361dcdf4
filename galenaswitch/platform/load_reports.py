"""Load reports in the heads of answers: ``X-Server-Load``.

The field has three counts (running, waiting, slots) and on some deployments the
pace of the target's host in percent. Further values are ignored, so that a
later version of the field stays readable.
"""

import math

from galenaswitch.connections.heads import AnswerHead, find_header_text
from galenaswitch.gateway.calls import Load
from galenaswitch.operations.logs import get_logger
from galenaswitch.platform.numbers import read_decimal, read_integers

NORMAL_PACE = 100
COUNTS = 3
# Targets whose malformed field was logged. Beyond that, the oldest may be
# logged once more.
MAX_LOGGED_TARGETS = 4096
# Longest part of a malformed field in a log line.
MAX_LOGGED_TEXT = 64


class LoadReports:
    """Decoder of load reports, which logs a malformed one once per target."""

    def __init__(self) -> None:
        """Build a decoder that has logged no target."""
        self._logged: dict[str, None] = {}

    def read(self, head: AnswerHead, target: str = '') -> Load | None:
        """Decode the load in an answer, ``None`` when none is certain.

        :param target: name for the log line, empty for none.
        """
        field = find_header_text(head.headers, b'x-server-load')
        if not field:
            return None
        load, is_complete = read_load_field(field)
        if not is_complete and target:
            self._log(target, field, load)
        return load

    def _log(self, target: str, field: str, load: Load | None) -> None:
        if target in self._logged:
            return
        self._logged[target] = None
        if len(self._logged) > MAX_LOGGED_TARGETS:
            self._logged.pop(next(iter(self._logged)))
        get_logger().warning(
            'load_malformed',
            target=target,
            field=field[:MAX_LOGGED_TEXT],
            is_used=load is not None,
        )


def read_load_field(field: str) -> tuple[Load | None, bool]:
    """Decode a load report, and tell whether all of its values are valid.

    >>> read_load_field('3,0,8,250,x')
    (Load(running=3, waiting=0, slots=8, pace=2.5), True)
    >>> read_load_field('3,0,8,')
    (Load(running=3, waiting=0, slots=8, pace=1.0), False)
    """
    parts = field.split(',')
    counts = read_integers(','.join(parts[:COUNTS]))
    if len(counts) < COUNTS:
        return None, False
    load = Load(counts[0], counts[1], counts[2])
    if len(parts) == COUNTS:
        return load, True
    pace = read_decimal(parts[COUNTS])
    if not pace or pace == math.inf:
        return load, False
    return load._replace(pace=pace / NORMAL_PACE), True
