"""Asking the producers of results how much room they have left."""

import time
from collections.abc import Callable

from galenaswitch.errors import InvalidInputError, TargetError
from galenaswitch.gateway.calls import Wire
from galenaswitch.gateway.results import StoredResult
from galenaswitch.gateway.routes import BatchLimits
from galenaswitch.gateway.sending import Sender
from galenaswitch.membership.lists import Target
from galenaswitch.operations.logs import get_logger
from galenaswitch.operations.process import TaskGroup
from galenaswitch.pipelines.batch_queue import BatchQueue

# Seconds that a connection to a target may have been idle.
MAX_IDLE_SECONDS = 3.0
# Seconds in which a target tells its room.
ANSWER_SECONDS = 0.5
# Shortest time in seconds between two questions to one target, which count
# as probes.
PAUSE_SECONDS = 1.0
# Targets tell their room in whole megabytes.
ROUNDING_BYTES = 1_000_000


class ResultMemory:
    """Room that producers of one service have left, asked when in doubt.

    A machine that begins to decide doesn't know what others had made there,
    and sizes of results are only approximate.
    """

    def __init__(
        self,
        batch_queue: BatchQueue,
        sender: Sender,
        wire: Wire,
        tasks: TaskGroup,
        add_unknown: Callable[[StoredResult], None],
    ) -> None:
        """Correct what ``batch_queue`` knows of its workers.

        :param add_unknown: takes room that others' results take until their
            producer drops them.
        """
        self._add_unknown = add_unknown
        self._batch_queue = batch_queue
        self._sender = sender
        self._wire = wire
        self._tasks = tasks
        self._asked: dict[str, float] = {}

    def query_new(
        self, targets: tuple[Target, ...], limits: BatchLimits
    ) -> None:
        """Ask each target that is new here."""
        for target in targets:
            if target.incarnation not in self._asked:
                self.query(target, limits)

    def query(self, target: Target, limits: BatchLimits) -> None:
        """Ask a target, unless it was asked just before."""
        now = time.monotonic()
        if now - self._asked.get(target.incarnation, 0) < PAUSE_SECONDS:
            return
        self._asked[target.incarnation] = now
        self._tasks.start(self._ask(target, limits))

    async def _ask(self, target: Target, limits: BatchLimits) -> None:
        head = self._wire.make_free_bytes_query(target)
        try:
            async with self._sender.send(
                target.url,
                head,
                b'',
                MAX_IDLE_SECONDS,
            ) as attempt:
                await attempt.read_head(ANSWER_SECONDS)
                content = await attempt.read_complete(ANSWER_SECONDS)
            free = self._wire.read_free_bytes(content)
        except (TargetError, InvalidInputError) as error:
            get_logger().info(
                'room_unknown',
                target=target.name,
                reason=str(error),
            )
            return
        target_state = self._batch_queue.target_state(target)
        held = limits.result_memory_bytes - free - ROUNDING_BYTES
        get_logger().info(
            'room_told',
            target=target.name,
            free=round(free),
            held=round(held),
            believed=round(target_state.held_bytes),
        )
        unknown = held - target_state.held_bytes
        if unknown > 0:
            until = time.monotonic() + limits.retention_seconds
            target_state.held_bytes += unknown
            self._add_unknown(StoredResult(target, round(unknown), until))
