"""Giving up the inputs of pieces as soon as they have been read.

Pattern answered: results of a stage fill the room at their makers while the
calls of the next stage work on them for several times as long as it takes
to read them, so that room and not the makers' speed bounds the stage.
"""

import asyncio
import time
from collections.abc import Callable, Iterable

from galenaswitch.gateway.messages import HeldResults
from galenaswitch.pipelines.demands import Demand
from galenaswitch.pipelines.gathering import PieceCall
from galenaswitch.pipelines.workers import Worker

# Seconds after which an idle target has read the inputs of a call: it
# fetches them first, over links of some gigabits a second.
READ_SECONDS = 0.1


class InputReleases:
    """Inputs of the pieces of one service."""

    def __init__(self, give_up: Callable[[HeldResults], None]) -> None:
        """Release results through ``give_up``."""
        self._give_up = give_up

    def watch(self, call: PieceCall, worker: Worker) -> None:
        """Give inputs up once the last pieces of their reader have begun.

        Where others send calls too a call may have to wait; its inputs are
        then kept until its answer.
        """
        read = [
            demand
            for demand in {id(one): one for one, _ in call.pieces}.values()
            if demand.last_read and not demand.unsent
        ]
        if read and not worker.is_shared(time.monotonic()):
            loop = asyncio.get_running_loop()
            loop.call_later(READ_SECONDS, self._free, read)

    def _free(self, read: Iterable[Demand]) -> None:
        for demand in read:
            if demand.unsent or demand.failure:
                continue
            for held in demand.free_inputs():
                self._give_up(held)
