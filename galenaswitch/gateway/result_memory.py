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
REPLY_TIMEOUT_SECONDS = 0.5
# Shortest time in seconds between two questions to one target, which count
# as probes.
MIN_QUERY_INTERVAL_SECONDS = 1.0
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
        self._queried_at: dict[str, float] = {}

    def query_new(
        self, targets: tuple[Target, ...], limits: BatchLimits
    ) -> None:
        """Ask each target that is new here."""
        for target in targets:
            if target.incarnation not in self._queried_at:
                self.query(target, limits)

    def query(self, target: Target, limits: BatchLimits) -> None:
        """Ask a target, unless it was asked just before."""
        now = time.monotonic()
        if (
            now - self._queried_at.get(target.incarnation, 0)
            < MIN_QUERY_INTERVAL_SECONDS
        ):
            return
        self._queried_at[target.incarnation] = now
        self._tasks.start(self._query_target(target, limits))

    async def _query_target(self, target: Target, limits: BatchLimits) -> None:
        head = self._wire.make_room_question(target)
        try:
            async with self._sender.send(
                target.url,
                head,
                b'',
                MAX_IDLE_SECONDS,
            ) as attempt:
                await attempt.read_head(REPLY_TIMEOUT_SECONDS)
                content = await attempt.read_complete(REPLY_TIMEOUT_SECONDS)
            free_bytes = self._wire.read_room(content)
        except (TargetError, InvalidInputError) as error:
            get_logger().info(
                'room_unknown',
                target=target.name,
                reason=str(error),
            )
            return
        target_state = self._batch_queue.target_state(target)
        used_bytes = limits.room_bytes - free_bytes - ROUNDING_BYTES
        get_logger().info(
            'room_told',
            target=target.name,
            free=round(free_bytes),
            held=round(used_bytes),
            believed=round(target_state.held_bytes),
        )
        unknown_bytes = used_bytes - target_state.held_bytes
        if unknown_bytes > 0:
            expires_at = time.monotonic() + limits.keep_seconds
            target_state.held_bytes += unknown_bytes
            self._add_unknown(
                StoredResult(target, round(unknown_bytes), expires_at)
            )
