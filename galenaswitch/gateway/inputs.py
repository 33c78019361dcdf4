"""Releases the inputs of work items as soon as targets have read them.

A batch of the next stage runs several times as long as it takes to read its
inputs. If the inputs were kept for the whole batch, the result memory of their
producers would limit the throughput of the earlier stage.
"""

import asyncio
import time
from collections.abc import Callable, Iterable

from galenaswitch.gateway.messages import HeldResults
from galenaswitch.pipelines.batch_queue import Batch
from galenaswitch.pipelines.pending import PendingStage
from galenaswitch.pipelines.target_states import TargetState

# Seconds after which an idle target has read the inputs of a batch. A target
# fetches its inputs first, over links of several gigabits per second.
READ_SECONDS = 0.1


class InputReleases:
    """Watches batches and releases the inputs that they have read."""

    def __init__(self, release: Callable[[HeldResults], None]) -> None:
        """Build input releases that call ``release`` for each input."""
        self._release = release

    def watch(self, batch: Batch, target_state: TargetState) -> None:
        """Schedule the release of inputs whose last readers are in ``batch``.

        A batch may have to wait at a target to which other VMs send batches
        too. Its inputs are then kept until its answer.
        """
        fully_sent = [
            pending
            for pending in {
                id(pending): pending for pending, _ in batch.work_items
            }.values()
            if pending.releasable_inputs and not pending.queued
        ]
        if fully_sent and not target_state.is_shared(time.monotonic()):
            loop = asyncio.get_running_loop()
            loop.call_later(READ_SECONDS, self._release_inputs, fully_sent)

    def _release_inputs(self, fully_sent: Iterable[PendingStage]) -> None:
        for pending in fully_sent:
            if pending.queued or pending.failure:
                continue
            for held in pending.release_inputs():
                self._release(held)
