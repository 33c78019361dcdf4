"""Messages between VMs about placements, work items and turns at targets.

Times in messages are seconds left, never clock times.
"""

from typing import NamedTuple

from galenaswitch.gateway.calls import PromptPart, WorkItem


class HeldResults(NamedTuple):
    """Results that use result memory at their producers.

    :param holder: VM whose batcher tracks the results.
    """

    service: str
    holder: str
    handles: tuple[str, ...]


class PiecesQuestion(NamedTuple):
    """Query for the results of one stage of a request.

    :param start_in: seconds until the latest start that is still on time.
    :param left: seconds until the results are useless.
    :param last_read: inputs that no other stage reads and whose producers have
        memory pressure. The batcher releases them once the work items have
        read them; a work item that fails after that can't be retried.
    :param again: whether earlier results of the stage were made and then lost.
    :param priority: priority of the request; 0 is the most urgent.
    :param stages_left: number of stages that still run one after the other,
        this stage included.
    :param late: whether an earlier stage found that the request will be late.
    :param fingerprint: id of the whole request over attempts and VMs.
    """

    service: str
    ident: str
    pieces: tuple[WorkItem, ...]
    result_bytes: int
    zone: str
    start_in: float
    left: float
    last_read: tuple[HeldResults, ...] = ()
    again: bool = False
    priority: int = 0
    stages_left: int = 1
    late: bool = False
    fingerprint: str = ''


class PiecesReply(NamedTuple):
    """Reply to a query for the results of one stage.

    :param handles: result handles in the order of the work items, empty on
        failure.
    :param failure: reason of the failure, empty on success.
    :param retry_after: seconds after which a retry will probably succeed.
    :param inputs_freed: whether the batcher released the inputs that no other
        stage reads.
    :param late: whether the request will miss its objective.
    :param tight: whether the result memory of a producer is nearly full.
    """

    handles: tuple[str, ...]
    failure: str = ''
    retry_after: float = 0
    inputs_freed: bool = False
    late: bool = False
    tight: bool = False


class PiecesCancel(NamedTuple):
    """Notifies a batcher that a request needs no more work items."""

    service: str
    ident: str


class ReleaseNote(NamedTuple):
    """Notifies a batcher that results can be released."""

    service: str
    handles: tuple[str, ...]


class TargetLimit(NamedTuple):
    """Notifies VMs of the limit that a target has named or withdrawn.

    :param rate: requests per second for all VMs together, 0 for no limit.
    """

    incarnation: str
    rate: float


class ColdTime(NamedTuple):
    """Time for which a target stays cold, and its limit holds.

    It isn't a field of :class:`TargetLimit`: VMs of an earlier build reject a
    message in which a nested type has more fields than they know.

    :param left: seconds from now on.
    """

    incarnation: str
    left: float


class PlaceQuestion(NamedTuple):
    """Query for the engine that should run a request.

    :param ident: id of the placement.
    :param zone: zone of the VM that sends the request to the engine.
    :param result_bytes: bytes of stage results in each zone.
    :param avoided: names of the targets that were tried already.
    :param priority: priority of the request; 0 is the most urgent.
    :param start_in: seconds until the latest start that is still on time.
    :param left: seconds until the request must be answered.
    :param limits: limits of engines that the asking VM knows of.
    :param version: software version that the engine must have, ``None`` for
        any.
    :param closed: incarnations that take no request of the asking VM now.
    :param request: id of the caller's attempt, empty if that is the
        placement's id.
    :param complete_in: seconds until the answer must be complete, 0 from a VM
        that doesn't tell.
    :param fingerprint: id of the whole request over attempts and VMs, empty
        from a VM that doesn't tell.
    :param cold: for how long some of the ``limits`` hold; all others hold until
        their targets withdraw them.
    """

    service: str
    ident: str
    parts: tuple[PromptPart, ...]
    prompt_tokens: int
    answer_tokens: int
    zone: str
    result_bytes: dict[str, int]
    avoided: tuple[str, ...]
    priority: int
    start_in: float
    left: float
    limits: tuple[TargetLimit, ...] = ()
    version: str | None = None
    closed: tuple[str, ...] = ()
    request: str = ''
    complete_in: float = 0
    fingerprint: str = ''
    cold: tuple[ColdTime, ...] = ()

    @property
    def longest(self) -> float:
        """Seconds after which the request has ended in any case."""
        return max(self.left, self.complete_in)


class PlaceReply(NamedTuple):
    """Reply that names the engine for a request.

    :param target: name of the engine, empty when none is available.
    :param retry_after: seconds after which a placement is likely.
    :param reason: reason of a rejection, empty if no engine had capacity.
    :param waited: seconds from the arrival of the query until the placement.
    :param load: requests at the engine with this one, 0 from a VM that doesn't
        tell.
    """

    target: str
    retry_after: float = 0
    reason: str = ''
    waited: float = float('inf')
    load: int = 0


class PlaceEnd(NamedTuple):
    """Notifies the owner that a placement, or the wait for it, has ended.

    :param ident: id of the placement.
    :param target: engine that the outcome tells of, empty if it tells nothing.
    :param failed: whether the engine failed the request.
    :param silent: whether it failed only by its silence.
    """

    service: str
    ident: str
    target: str
    failed: bool
    silent: bool = False


class PlaceFirst(NamedTuple):
    """Notifies the owner that an engine has begun to answer a request.

    :param ident: id of the placement.
    """

    service: str
    ident: str


class LimitsQuery(NamedTuple):
    """Query for the limits that another VM knows."""


class LimitsReply(NamedTuple):
    """Reply with all limits that a VM knows."""

    limits: tuple[TargetLimit, ...]


class TurnQuery(NamedTuple):
    """Query for a turn at one of several targets with limits.

    :param limits: the targets and their limits as the asking VM knows them, the
        preferred one first.
    :param max_wait: longest useful wait for a turn in seconds.
    :param cold: for how long some of the ``limits`` hold.
    """

    service: str
    limits: tuple[TargetLimit, ...]
    max_wait: float
    cold: tuple[ColdTime, ...] = ()


class TurnReply(NamedTuple):
    """Reply with a turn.

    :param incarnation: target of the turn, empty when none is near enough.
    :param wait: seconds until the turn, or until the next turn of any target.
    """

    incarnation: str
    wait: float
