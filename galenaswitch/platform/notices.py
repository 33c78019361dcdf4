"""What targets say about themselves in the heads of their answers."""

import math

from galenaswitch.connections.heads import (
    AnswerHead,
    find_header_text,
    find_header_values,
)
from galenaswitch.gateway.calls import Load
from galenaswitch.platform.load_reports import LoadReports
from galenaswitch.platform.numbers import is_number, read_decimal

MILLISECONDS = 1000
MISDIRECTED = 421
UNAVAILABLE = 503
_NOT_RUN_HEADER = b'x-not-executed'
_PAUSE_HEADER = b'retry-after'
_LEAVING_HEADER = b'server-leaving'
_SET = b'1'


class AnswerNotices:
    """Decoder of a target's load, limits and notices."""

    def __init__(self) -> None:
        """Build a decoder that has logged no malformed field."""
        self._load_reports = LoadReports()

    def read_load(self, head: AnswerHead, target: str = '') -> Load | None:
        """Decode the target's load in an answer, ``None`` when not sent."""
        return self._load_reports.read(head, target)

    def read_rate_limit(self, head: AnswerHead) -> float | None:
        """Decode the requests per second that a target takes from all VMs.

        :returns: ``None`` when not sent.
        """
        rate = read_decimal(find_header_text(head.headers, b'server-limit'))
        return None if rate == math.inf else rate

    def read_cold_seconds(self, head: AnswerHead) -> float | None:
        """Decode for how long the target stays cold, ``None`` if not sent."""
        left = find_header_text(head.headers, b'x-cold-ms').strip()
        return int(left) / MILLISECONDS if is_number(left) else None

    def read_brittleness(self, head: AnswerHead) -> int | None:
        """Decode how many refusals in a second a brittle target survives.

        :returns: ``None`` when the answer doesn't say that it is brittle.
        """
        limit = find_header_text(head.headers, b'server-brittle').strip()
        return int(limit) if is_number(limit) else None

    def is_full(self, head: AnswerHead) -> bool:
        """Tell whether the target had no room for the request."""
        return head.status == UNAVAILABLE and self.is_not_run(head)

    def read_pause(self, head: AnswerHead) -> float | None:
        """Decode for how long a refusal says that no request may come.

        The longest time counts. A date or a malformed time counts as absent.

        :returns: seconds, ``None`` when not sent.
        """
        if head.status != UNAVAILABLE:
            return None
        fields = find_header_values(head.headers, _PAUSE_HEADER)
        text = b','.join(fields).decode('ascii', 'replace')
        times = map(read_decimal, text.split(','))
        return max((one for one in times if one is not None), default=None)

    def is_leaving(self, head: AnswerHead) -> bool:
        """Tell whether an answer says that the target is leaving."""
        fields = find_header_values(head.headers, _LEAVING_HEADER)
        return any(field.strip() == _SET for field in fields)

    def is_misdirected(self, head: AnswerHead) -> bool:
        """Tell whether an answer is that of another target."""
        return head.status == MISDIRECTED

    def is_not_run(self, head: AnswerHead) -> bool:
        """Tell whether an answer states that the target ran nothing."""
        has_header = bool(find_header_values(head.headers, _NOT_RUN_HEADER))
        return has_header or self.is_misdirected(head)
