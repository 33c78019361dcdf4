"""Messages about permits and usage."""

from typing import NamedTuple


class PermitRequest(NamedTuple):
    """Ask for permits of a workspace.

    :param workspace: the workspace.
    :param origin: who asks: an entry's machine, or a zone.
    :param need: requests that must be permitted, or none is.
    :param want: requests that could be used, at least ``need``.
    :param need_tokens: tokens of the requests that must be permitted.
    :param want_tokens: tokens that could be used.
    :param held: requests in progress and unused permits of the origin.
    """

    workspace: str
    origin: str
    need: int
    want: int
    need_tokens: float
    want_tokens: float
    held: int


class PermitReply(NamedTuple):
    """Permits, or the limit that refuses them.

    :param requests: permitted requests.
    :param tokens: permitted tokens.
    :param refused: name of the limit that is reached, empty for none.
    """

    requests: int = 0
    tokens: float = 0
    refused: str = ''


class OutstandingPermits(NamedTuple):
    """What an origin has in progress of a workspace.

    :param origin: an entry's machine, or a zone.
    :param held: requests in progress and unused permits.
    """

    workspace: str
    origin: str
    held: int


class CostReport(NamedTuple):
    """What one life of an entry has spent of a workspace's contract.

    :param origin: the entry's machine and incarnation.
    :param units: cost units of the report's day.
    """

    workspace: str
    origin: str
    units: float


class UsageReport(NamedTuple):
    """What is in use and spent; absolute, so that loss and doubles are safe.

    :param day: UTC day of what was spent, as ``YYYY-MM-DD``.
    """

    day: str
    held: tuple[OutstandingPermits, ...] = ()
    spent: tuple[CostReport, ...] = ()
