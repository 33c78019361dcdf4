"""Order in which the pending stages of a service are served.

Started stages come first, then those that can be on time, then late ones. Among
stages that can be on time, those of begun requests come first, then the more
urgent ones, then the latest start decides. Two exceptions keep requests on time
that a plain order by priority would make late:

- A less urgent stage that can't wait goes before more urgent ones while all of
  these can still be on time.
- A stage that can't be on time behind those before it goes behind all that can.
  Otherwise a long queue of urgent requests that will all be late would make
  less urgent ones late, too.
"""

from collections.abc import Iterable
from typing import NamedTuple

from galenaswitch.pipelines.pending import PendingStage

# Most stages of one pass that are tried before more urgent ones in vain. Each
# trial reads all stages before it.
MAX_TRIALS = 16


class OrderTerms(NamedTuple):
    """Values by which the order of pending stages is found.

    :param rate: expected work items per second of all targets.
    :param batch_size: work items of a batch; a stage behind fewer may be in the
        next batch, so it can't be late because of them.
    :param zone: zone of the target that would run the work items.
    """

    now: float
    rate: float
    batch_size: int
    zone: str = ''

    def may_wait(self, pending: PendingStage, ahead: int) -> bool:
        """Tell whether a stage is likely on time behind work items."""
        return ahead <= self.batch_size or pending.may_wait(
            ahead / self.rate, self.now
        )


def order_stages(
    stages: Iterable[PendingStage], terms: OrderTerms
) -> list[PendingStage]:
    """Return the stages with queued work items, the first to be served first.

    Stages of one priority are served by their latest start alone.
    """
    ranked = sorted(
        (pending for pending in stages if pending.queued),
        key=lambda pending: pending.rank(terms.now, terms.zone),
    )
    if len({pending.urgency.priority for pending in ranked}) <= 1:
        return ranked
    started = [pending for pending in ranked if pending.started]
    timely = [
        pending
        for pending in ranked
        if not (pending.started or pending.is_late(terms.now))
    ]
    late = ranked[len(started) + len(timely) :]
    timely.sort(key=lambda pending: not pending.has_inputs)
    sequence = _TimelySequence(terms, sum(len(one.queued) for one in started))
    behind = [pending for pending in timely if not sequence.add(pending)]
    return started + sequence.stages + behind + late


def count_ahead(
    pending: PendingStage, stages: Iterable[PendingStage], terms: OrderTerms
) -> int:
    """Return the number of work items that are served before a stage."""
    others = [one for one in stages if one is not pending and one.queued]
    priority = pending.urgency.priority
    if pending.is_late(terms.now) or all(
        one.urgency.priority == priority for one in others
    ):
        # The ranks alone decide, so that nothing needs to be sorted.
        rank = pending.rank(terms.now)
        return sum(
            len(one.queued) for one in others if one.rank(terms.now) <= rank
        )
    ordered = order_stages([*others, pending], terms)
    index = ordered.index(pending)
    return sum(len(other.queued) for other in ordered[:index])


class _TimelySequence:
    """Stages that can all be on time, in the order in which they are served."""

    def __init__(self, terms: OrderTerms, ahead: int) -> None:
        """Build a sequence behind ``ahead`` work items of started stages."""
        self.stages: list[PendingStage] = []
        self._terms = terms
        self._ahead = ahead
        self._trials = MAX_TRIALS

    def add(self, pending: PendingStage) -> bool:
        """Add a stage, and tell whether all stages can be on time with it."""
        index = len(self.stages)
        if not self._terms.may_wait(pending, self._ahead):
            index = self._find_earlier(pending) if self._trials else -1
        if index < 0:
            self._trials = max(0, self._trials - 1)
            return False
        self.stages.insert(index, pending)
        self._ahead += len(pending.queued)
        return True

    def _find_earlier(self, pending: PendingStage) -> int:
        """Return the last position at which a stage is on time.

        :returns: -1 if there is none, or if a stage behind it would be late, or
            would be one of a begun request.
        """
        ahead = self._ahead
        own = len(pending.queued)
        for index in reversed(range(len(self.stages))):
            overtaken = self.stages[index]
            ahead -= len(overtaken.queued)
            may_overtake = pending.has_inputs or not overtaken.has_inputs
            if not (
                may_overtake and self._terms.may_wait(overtaken, ahead + own)
            ):
                return -1
            if self._terms.may_wait(pending, ahead):
                return index
        return -1
