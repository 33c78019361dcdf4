"""Messages about permits and usage of a workspace's contract."""

from typing import NamedTuple


class PermitRequest(NamedTuple):
    """Query for permits of a workspace.

    :param workspace: name of the workspace.
    :param origin: an entry's VM, or a zone, that uses the permits.
    :param need: number of requests; if fewer can be granted, none is.
    :param want: most requests that the origin can use, at least ``need``.
    :param need_tokens: tokens of the needed requests.
    :param want_tokens: most tokens that the origin can use.
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
    """Granted permits, or the limit that refuses them.

    :param requests: number of granted requests.
    :param tokens: number of granted tokens.
    :param refused: name of the limit that is reached, or an empty string.
    """

    requests: int = 0
    tokens: float = 0
    refused: str = ''


class OutstandingPermits(NamedTuple):
    """Number of outstanding permits of a workspace at one origin.

    :param origin: an entry's VM, or a zone.
    :param held: requests in progress and unused permits.
    """

    workspace: str
    origin: str
    held: int


class CostReport(NamedTuple):
    """Cost of a workspace's requests in one run of an entry's process.

    :param origin: the entry's VM and incarnation.
    :param units: cost units of the report's day.
    """

    workspace: str
    origin: str
    units: float


class UsageReport(NamedTuple):
    """Outstanding permits and costs of several workspaces.

    The numbers are totals, so lost or duplicate reports do no harm.

    :param day: UTC day of the costs, as ``YYYY-MM-DD``.
    :param held: outstanding permits by workspace and origin.
    :param spent: costs by workspace and origin.
    """

    day: str
    held: tuple[OutstandingPermits, ...] = ()
    spent: tuple[CostReport, ...] = ()
