"""Records of requests, runs and faults, from which invariants are checked.

Callers record what they sent and received; fake targets record what they ran.
"""

from typing import NamedTuple


class SentRequest(NamedTuple):
    """Request that a caller sent, and its outcome.

    :param ident: id of the attempt.
    :param kind: name of the route.
    :param machine: number of the machine that received the request.
    :param sent_at: start of the request in seconds since the start of the
        soak.
    :param ended_at: end of the request in seconds since the start of the soak.
    :param status: status of the answer, 0 when there was none.
    :param from_target: whether a target produced the answer.
    :param body: part of the answer's body that the caller received.
    :param complete: whether the answer was complete.
    :param first_on_connection: whether the request was the first on its
        connection.
    :param origin: id of the attempt that brought the first event of the stream
        that the request takes up, empty for a new one.
    :param after: number of the event after which a stream is taken up.
    :param reusable: whether the connection may be used again.
    :param leaving: name of the target, if its answer said that it leaves.
    """

    ident: str
    kind: str
    machine: int
    sent_at: float
    ended_at: float
    status: int
    from_target: bool
    body: str
    complete: bool
    first_on_connection: bool
    origin: str = ''
    after: int = 0
    reusable: bool = False
    leaving: str = ''


class TargetRun(NamedTuple):
    """Run of a request that a fake target started.

    :param ident: id of the caller's attempt.
    :param target: name of the target.
    :param started_at: seconds since the start of the soak.
    :param path: path and query that the target received.
    :param body: body that the target received.
    :param workspace: workspace that the target received.
    :param key_leaked: whether the target received the caller's API key.
    :param left: time left in seconds that the target received.
    :param after: number of the event after which the stream resumes, 0 for a
        new stream.
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


class RunSpan(NamedTuple):
    """Time for which a fake target worked on a request or a batch.

    :param idents: ids of the callers' attempts.
    :param target: name of the target.
    :param service: name of its service.
    :param started_at: seconds since the start of the soak.
    :param silent_seconds: duration of the silence in the answer, 0 for none.
    :param ended_at: seconds since the start of the soak, 0 while it lasts.
    :param ending: ``complete``, ``closed`` by the sender, or ``failed``.
    """

    idents: tuple[str, ...]
    target: str
    service: str
    started_at: float
    silent_seconds: float
    ended_at: float = 0
    ending: str = ''


class WorkItemRun(NamedTuple):
    """Work item that a fake target ran, or inputs that a fake engine read.

    :param ident: id of the caller's attempt.
    :param stage: number of the stage, -1 for an engine.
    :param number: number of the work item in its stage, 0 for an engine.
    :param key: key of the input of the first stage, else empty.
    :param inputs: attempt id, stage and work item number of each result that
        was read.
    """

    ident: str
    stage: int
    number: int
    key: str
    inputs: tuple[tuple[str, int, int], ...]


class Arrival(NamedTuple):
    """Request that reached a fake target.

    :param ident: id of the caller's attempt.
    :param target: name of the target.
    :param at: seconds since the start of the soak.
    :param pause: seconds for which the target's refusal asks for no further
        request, 0 when the target took the request.
    """

    ident: str
    target: str
    at: float
    pause: float


class InjectedFault(NamedTuple):
    """Fault that was injected.

    :param kind: kind of the fault, followed by its mode if it has one.
    :param subject: number of the machine or target, -1 for the store.
    :param started_at: start of the fault in seconds since the start of the
        soak.
    :param ended_at: end of the fault in seconds since the start of the soak;
        its latest possible end while the fault lasts.
    :param planned: whether the fault is planned maintenance, which must not
        interrupt any request.
    """

    kind: str
    subject: int
    started_at: float
    ended_at: float
    planned: bool = False


class Records(NamedTuple):
    """Records of one soak.

    :param paths_by_ident: path of each request that was sent, by attempt id.
    :param sent: requests of callers that have ended.
    :param ran: runs of requests at fake targets.
    :param work_item_runs: runs of work items at fake targets, and inputs that
        fake engines read.
    :param faults: faults that were injected.
    :param violations: violated invariants that were detected during the soak.
    :param arrivals: requests of callers that reached fake targets.
    :param machines_by_ident: number of the machine that each request was sent
        to, by attempt id.
    :param spans: times for which fake targets worked, in the order of their
        ends.
    :param received: bytes of the answers that callers are receiving, by
        attempt id.
    """

    paths_by_ident: dict[str, str]
    sent: list[SentRequest]
    ran: list[TargetRun]
    work_item_runs: list[WorkItemRun]
    faults: list[InjectedFault]
    violations: list[str]
    arrivals: list[Arrival]
    machines_by_ident: dict[str, int]
    spans: list[RunSpan]
    received: dict[str, bytearray]


def open_records() -> Records:
    """Return empty records of a new soak."""
    return Records({}, [], [], [], [], [], [], {}, [], {})
