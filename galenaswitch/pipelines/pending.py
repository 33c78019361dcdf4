"""The work items of one stage of one request, as they wait and are made."""

from collections.abc import Iterable
from typing import NamedTuple

from galenaswitch.gateway.calls import WorkItem
from galenaswitch.gateway.messages import HeldResults

# Seconds by which a pending stage goes before one that is less urgent by one
# priority and has to start at the same time. Waiting longer outweighs it, so
# that no kind of request starves.
PRIORITY_STEP_SECONDS = 0.5
# Seconds by which a pending stage goes before others at a target of the zone in
# which its inputs lie: less than the time that requests have to spare.
SAME_ZONE_ADVANCE_SECONDS = 0.3


class Urgency(NamedTuple):
    """What decides when a pending stage has its turn.

    :param start_by: monotonic time until which a call has to start so that
        the request can be on time.
    :param deadline: monotonic time after which results are of no use.
    :param priority: 0 is the most urgent.
    :param stages_left: stages that wait for targets one after the other
        until the request is done, this one included.
    :param late: whether it is known that the request can't be on time.
    """

    start_by: float
    deadline: float
    priority: int = 0
    stages_left: int = 1
    late: bool = False


class PendingStage:
    """The work items of one stage of one request."""

    def __init__(
        self,
        ident: str,
        work_items: Iterable[WorkItem],
        result_bytes: int,
        zone: str,
        urgency: Urgency,
        releasable_inputs: tuple[HeldResults, ...] = (),
    ) -> None:
        """Ask for ``work_items``.

        :param result_bytes: size of one result.
        :param zone: zone in which the results are preferred, empty for any.
        :param last_read: inputs that can be given up once they are read.
        """
        self.ident = ident
        self.queued = list(work_items)
        self.missing_results = len(self.queued)
        self.result_bytes = result_bytes
        self.zone = zone
        self.urgency = urgency
        self.releasable_inputs: tuple[HeldResults, ...] | None = (
            releasable_inputs
        )
        self.started = False
        self.late = urgency.late
        self.handles: dict[int, str] = {}
        self.failure = ''
        self._weighted_start_by = (
            urgency.start_by + urgency.priority * PRIORITY_STEP_SECONDS
        )
        self.retries = 0

    @property
    def start_by(self) -> float:
        """Monotonic time until which a call has to start to be on time."""
        return self.urgency.start_by

    @property
    def deadline(self) -> float:
        """Monotonic time after which results are of no use."""
        return self.urgency.deadline

    @property
    def inputs_released(self) -> bool:
        """Whether its inputs were given up, so that none can be redone."""
        return self.releasable_inputs is None

    def release_inputs(self) -> tuple[HeldResults, ...]:
        """Return the inputs to be given up, once."""
        inputs = self.releasable_inputs or ()
        self.releasable_inputs = None
        return inputs

    def may_wait(self, seconds: float, now: float) -> bool:
        """Tell whether a wait leaves the request likely to be on time.

        Each stage that is left may use an equal part of the time that the
        request has to spare, so that none uses it up before the others.
        """
        slack = self.start_by - now
        return seconds * self.urgency.stages_left <= slack

    def rank(self, now: float, zone: str = '') -> tuple[bool, bool, float]:
        """Order pending stages: begun ones, then those that can be on time.

        Among these the more urgent go first, then who has to start first.

        :param zone: zone of the target that is to make the work items.
        """
        late = self.late or self.start_by < now
        zone_advance = (
            SAME_ZONE_ADVANCE_SECONDS if zone and zone == self.zone else 0
        )
        return (not self.started, late, self._weighted_start_by - zone_advance)
