"""Pending stages: queued work items of one stage of one request.

A pending stage holds its queued work items, the handles of finished results
and the urgency by which the batch queue orders it.
"""

from collections import Counter
from collections.abc import Iterable
from typing import NamedTuple

from galenaswitch.gateway.calls import WorkItem
from galenaswitch.gateway.messages import HeldResults

# At a target in its own zone, a pending stage ranks as if its latest start
# were this many seconds earlier. The value is less than the usual slack of
# requests.
SAME_ZONE_ADVANCE_SECONDS = 0.3
# A pending stage fails once its retries reach this number for each missing
# result, plus this number once more.
RETRIES_PER_RESULT = 3
# Crashes of targets that ran its batches after which a pending stage fails.
MAX_CRASHES = 2


class Urgency(NamedTuple):
    """Values that decide when a pending stage is served.

    :param start_by: latest monotonic time at which a batch can start for the
        request to be on time.
    :param deadline: monotonic time after which results are useless.
    :param priority: 0 is the most urgent.
    :param stages_left: number of stages that still run one after the other
        until the request is done, this stage included.
    :param late: whether the request is already known to miss its objective.
    """

    start_by: float
    deadline: float
    priority: int = 0
    stages_left: int = 1
    late: bool = False


class PendingStage:
    """Work items of one stage of one request and their results.

    A work item whose batch is late may have a copy, queued or in another batch.
    The first result counts.
    """

    def __init__(
        self,
        ident: str,
        work_items: Iterable[WorkItem],
        result_bytes: int,
        zone: str,
        urgency: Urgency,
        releasable_inputs: tuple[HeldResults, ...] = (),
        fingerprint: str = '',
    ) -> None:
        """Build a pending stage that queues ``work_items``.

        :param result_bytes: size of one result.
        :param zone: preferred zone of the results, empty for any zone.
        :param releasable_inputs: inputs that can be released once this stage
            has read them.
        :param fingerprint: id of the whole request over attempts and VMs.
        """
        self.ident = ident
        self._fingerprint = fingerprint
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
        self._in_flight: Counter[int] = Counter()
        self.failure = ''
        self.retries = 0
        self.crashes = 0

    @property
    def implicated(self) -> tuple[str, ...]:
        """What a crash implicates: the request, if its fingerprint is known."""
        return (self._fingerprint,) if self._fingerprint else ()

    @property
    def start_by(self) -> float:
        """Latest monotonic time to start a batch for a request on time."""
        return self.urgency.start_by

    @property
    def deadline(self) -> float:
        """Monotonic time after which results are useless."""
        return self.urgency.deadline

    @property
    def has_inputs(self) -> bool:
        """Whether the queued work items read results of earlier stages."""
        return any(one.inputs for one in self.queued)

    @property
    def has_retries_left(self) -> bool:
        """Whether failed work items may be retried once more.

        The work items of this stage may be what made targets crash.
        """
        return (
            self.crashes < MAX_CRASHES
            and self.retries < RETRIES_PER_RESULT * (self.missing_results + 1)
        )

    @property
    def inputs_released(self) -> bool:
        """Whether the inputs were released, so work items can't be retried."""
        return self.releasable_inputs is None

    def record_sent(self, work_item: WorkItem) -> None:
        """Record that a batch with a work item is in flight."""
        self._in_flight[work_item.number] += 1

    def record_ended(self, work_item: WorkItem) -> None:
        """Record that a batch with a work item has ended."""
        self._in_flight[work_item.number] -= 1

    def accept(self, work_item: WorkItem, handle: str) -> bool:
        """Accept the result of a work item, unless there is one already.

        :returns: whether the result is used.
        """
        if work_item.number in self.handles:
            return False
        self.handles[work_item.number] = handle
        self.missing_results -= 1
        self.queued = [
            one for one in self.queued if one.number != work_item.number
        ]
        return True

    def is_covered(self, work_item: WorkItem) -> bool:
        """Tell whether a work item is made, queued or in a batch in flight."""
        return (
            work_item.number in self.handles
            or self._in_flight[work_item.number] > 0
            or any(one.number == work_item.number for one in self.queued)
        )

    def may_copy(self, work_item: WorkItem) -> bool:
        """Tell whether a work item in flight may be made elsewhere as well."""
        return (
            not self.inputs_released
            and work_item.number not in self.handles
            and self._in_flight[work_item.number] == 1
            and all(one.number != work_item.number for one in self.queued)
        )

    def release_inputs(self) -> tuple[HeldResults, ...]:
        """Return the inputs to release; later calls return no inputs."""
        inputs = self.releasable_inputs or ()
        self.releasable_inputs = None
        return inputs

    def may_wait(self, seconds: float, now: float) -> bool:
        """Tell whether the request is likely on time after a wait.

        Each remaining stage may use an equal share of the request's slack,
        so that no stage uses up the slack of later ones.
        """
        slack = self.start_by - now
        return seconds * self.urgency.stages_left <= slack

    def is_late(self, now: float) -> bool:
        """Tell whether the request is known to miss its objective."""
        return self.late or self.start_by < now

    def rank(self, now: float, zone: str = '') -> tuple[bool, bool, int, float]:
        """Return the sort key of this stage; the lowest key is served first.

        Started stages come first, then stages that can be on time. Among
        equals, the priority counts, then the latest start, adjusted by zone.

        :param zone: zone of the target that would run the work items.
        """
        zone_advance_seconds = (
            SAME_ZONE_ADVANCE_SECONDS if zone and zone == self.zone else 0
        )
        return (
            not self.started,
            self.is_late(now),
            self.urgency.priority,
            self.start_by - zone_advance_seconds,
        )
