"""Giving up the inputs of work items as soon as they have been read.

Pattern answered: results of a stage fill the room at their makers while the
calls of the next stage work on them for several times as long as it takes
to read them, so that room and not the makers' speed bounds the stage.
"""

import asyncio
import time
from collections.abc import Callable, Iterable

from galenaswitch.gateway.messages import HeldResults
from galenaswitch.pipelines.batch_queue import Batch
from galenaswitch.pipelines.pending import PendingStage
from galenaswitch.pipelines.target_states import TargetState

# Seconds after which an idle target has read the inputs of a call: it
# fetches them first, over links of some gigabits a second.
READ_SECONDS = 0.1


class InputReleases:
    """Inputs of the work items of one service."""

    def __init__(self, release: Callable[[HeldResults], None]) -> None:
        """Release results through ``release``."""
        self._release = release

    def watch(self, batch: Batch, target_state: TargetState) -> None:
        """Give inputs up once the last work items of their reader have begun.

        Where others send calls too a call may have to wait; its inputs are
        then kept until its answer.
        """
        fully_sent = [
            pending
            for pending in {
                id(pending): pending for pending, _ in batch.work_items
            }.values()
            if pending.last_read and not pending.queued
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
