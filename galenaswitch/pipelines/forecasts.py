"""Forecasts when the results of a pending stage are made.

A request can be done in time only if the stage's own batch ends before its
deadline, which leaves the time that batches of later stages take. Results that
come later are never read.
"""

import random
from typing import NamedTuple

from galenaswitch.gateway.routes import BatchLimits
from galenaswitch.pipelines.arrivals import WINDOW_SECONDS
from galenaswitch.pipelines.pending import PendingStage

# A stage that waits is refused when targets that are faster than measured by
# this factor would still be too slow. The measured throughput varies by about
# a fifth, and a late response has value, so that only certain cases count.
THROUGHPUT_MARGIN = 1.25
# Largest share by which the retry time of a refused caller is increased at
# random.
RETRY_AFTER_JITTER = 0.3


class Capacity(NamedTuple):
    """What all targets of a service can make.

    :param rate: work items per second that are expected.
    :param full: work items per second if all batches were full.
    :param in_round: work items of one full batch in each slot.
    :param slowdown: slowdown of the fastest target.
    """

    rate: float
    full: float
    in_round: int
    slowdown: float

    def estimate_batch(self, work_items: int, limits: BatchLimits) -> float:
        """Return the least seconds of a batch with these work items."""
        count = min(work_items, limits.batch_size)
        usual_seconds = (
            limits.call_overhead_seconds + count * limits.work_item_seconds
        )
        return usual_seconds * self.slowdown

    def estimate_done(self, ahead: int, own: int, limits: BatchLimits) -> float:
        """Return the seconds until the results of a stage are made.

        What fits into one round of batches doesn't wait for the throughput,
        which is measured over batches that aren't always full.

        :param ahead: queued work items that rank before the stage.
        :param own: queued work items of the stage.

        >>> limits = BatchLimits(1, 4, 0.2, 0.05, 9e6, 4)
        >>> capacity = Capacity(10, 20, 8, 1.0)
        >>> round(capacity.estimate_done(4, 4, limits), 2)
        0.4
        >>> round(capacity.estimate_done(24, 4, limits), 2)
        2.4
        """
        wait_seconds = max(0, ahead + own - self.in_round) / self.rate
        batch_seconds = self.estimate_batch(own, limits)
        return max((ahead + own) / self.full, wait_seconds + batch_seconds)

    def estimate_last(self, waiting: int, limits: BatchLimits) -> float:
        """Return the seconds until the results of all stages are made.

        :param waiting: queued work items of all stages.
        """
        wait_seconds = max(0, waiting - self.in_round) / self.rate
        batch_seconds = self.estimate_batch(limits.batch_size, limits)
        return max(waiting / self.full, wait_seconds + batch_seconds)


def find_capacity(
    targets: int, limits: BatchLimits, rate: float, slowdown: float
) -> Capacity:
    """Return the capacity of targets that make ``rate`` work items a second.

    :param slowdown: slowdown of the fastest target.
    """
    in_round = max(1, targets) * limits.slots * limits.batch_size
    full = find_max_throughput(targets, limits)
    return Capacity(rate, full, in_round, slowdown)


def estimate_late_done(
    pending: PendingStage, wait_seconds: float, batch_seconds: float
) -> float:
    """Return the seconds until the results of a late stage are made.

    For a request that has not begun, the same wait counts in each of its
    stages. Otherwise only this stage counts: the work that is done would be
    lost, and the queues of the later stages are not known here.

    :param wait_seconds: wait behind stages on time, also those that still come.
    :param batch_seconds: least duration of the stage's own batch.
    """
    waits = 1 if pending.has_inputs else pending.urgency.stages_left
    return max(wait_seconds * waits, batch_seconds)


def find_max_throughput(targets: int, limits: BatchLimits) -> float:
    """Return the work items per second that targets make in full batches.

    >>> find_max_throughput(2, BatchLimits(1, 4, 0.2, 0.05, 9e6, 4))
    20.0
    """
    full_batch_seconds = (
        limits.call_overhead_seconds
        + limits.batch_size * limits.work_item_seconds
    )
    return (
        max(1, targets) * limits.slots * limits.batch_size / full_batch_seconds
    )


def estimate_retry_after(
    wait_seconds: float, seconds_left: float, drain_seconds: float
) -> float:
    """Return the seconds after which a retry will probably succeed.

    A retry succeeds once the expected wait is shorter than the time left, or
    once the current burst is over, whichever is earlier. A random spread keeps
    callers that were refused together from returning together.

    :param wait_seconds: expected seconds until the work items would be made.
    :param seconds_left: seconds after which their results are useless.
    :param drain_seconds: seconds in which all queued work items can be made.

    >>> 1.0 <= estimate_retry_after(3.0, 2.0, 9.0) <= 1.3
    True
    >>> 2.5 <= estimate_retry_after(60.0, 2.0, 0.5) <= 3.25
    True
    """
    seconds = min(wait_seconds - seconds_left, drain_seconds + WINDOW_SECONDS)
    return seconds * random.uniform(1, 1 + RETRY_AFTER_JITTER)
