"""What callers and targets saw, from which the promises are checked."""

from typing import NamedTuple


class Sent(NamedTuple):
    """A request as a caller sent it, and its outcome.

    :param ident: id of the attempt.
    :param kind: name of the route.
    :param machine: number of the machine that it was sent to.
    :param sent_at: seconds since the start of the soak.
    :param ended_at: the same of its end.
    :param status: status of the answer, 0 when there was none.
    :param sealed: whether a target made the answer.
    :param body: the whole body, as far as it came.
    :param whole: whether the answer was complete.
    :param fresh: whether it was the first on its connection.
    """

    ident: str
    kind: str
    machine: int
    sent_at: float
    ended_at: float
    status: int
    sealed: bool
    body: str
    whole: bool
    fresh: bool


class Ran(NamedTuple):
    """A run that a target began.

    :param path: path and query as the target got them.
    :param body: body as the target got it.
    :param workspace: workspace as the target was told.
    :param key_leaked: whether the caller's key came with it.
    :param left: seconds that the target was given.
    :param after: event after which a stream went on, 0 for all.
    """

    ident: str
    target: str
    started_at: float
    path: str
    body: str
    workspace: str
    key_leaked: bool
    left: float
    after: int


class Made(NamedTuple):
    """A piece that a target was asked for.

    :param inputs: requests and stages that its inputs belong to.
    """

    ident: str
    stage: int
    number: int
    key: str
    inputs: tuple[tuple[str, int, int], ...]


class Trouble(NamedTuple):
    """One fault.

    :param kind: what was done.
    :param subject: number of the machine or target, -1 for the store.
    :param begun: seconds since the start of the soak.
    :param ended: the same of its end.
    :param planned: whether it is planned work, which must cut nothing.
    """

    kind: str
    subject: int
    begun: float
    ended: float
    planned: bool = False


class Records(NamedTuple):
    """All that was seen.

    :param asked: path of each request that callers began to send.
    :param notes: promises that were seen broken while the soak ran.
    """

    asked: dict[str, str]
    sent: list[Sent]
    ran: list[Ran]
    made: list[Made]
    troubles: list[Trouble]
    notes: list[str]


def open_records() -> Records:
    """Return records without entries."""
    return Records({}, [], [], [], [], [])
