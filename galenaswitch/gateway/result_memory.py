"""Queries producers for their free result memory.

The answers correct the batch queue's count of used bytes per target.
"""

import time
from collections.abc import Callable

from galenaswitch.errors import InvalidInputError, TargetError
from galenaswitch.gateway.calls import Wire
from galenaswitch.gateway.notices import TargetClosedError
from galenaswitch.gateway.results import StoredResult
from galenaswitch.gateway.routes import BatchLimits
from galenaswitch.gateway.sending import Sender
from galenaswitch.membership.lists import Target
from galenaswitch.operations.logs import get_logger
from galenaswitch.operations.process import TaskGroup
from galenaswitch.pipelines.batch_queue import BatchQueue

# Seconds after which an idle connection to a target is not reused.
MAX_IDLE_SECONDS = 3.0
# Seconds after which a query for free result memory times out.
REPLY_TIMEOUT_SECONDS = 0.5
# Minimum seconds between two queries to one target. Each query counts as a
# probe of the target.
MIN_QUERY_INTERVAL_SECONDS = 1.0
# Targets report their free result memory in whole megabytes.
ROUNDING_BYTES = 1_000_000


class ResultMemory:
    """Corrects the used result memory of a service's producers.

    A new owner does not know which results other VMs had made at a producer,
    and the configured result sizes are only approximate.
    """

    def __init__(
        self,
        batch_queue: BatchQueue,
        sender: Sender,
        wire: Wire,
        tasks: TaskGroup,
        add_unknown: Callable[[StoredResult], None],
    ) -> None:
        """Build a correction for the target states of ``batch_queue``.

        :param add_unknown: adds results of unknown owners, which use result
            memory until their producer drops them.
        """
        self._add_unknown = add_unknown
        self._batch_queue = batch_queue
        self._sender = sender
        self._wire = wire
        self._tasks = tasks
        self._queried_at: dict[str, float] = {}
        self._unsent: set[str] = set()

    def query_new(
        self, targets: tuple[Target, ...], limits: BatchLimits
    ) -> None:
        """Query each target that was not queried before."""
        for target in targets:
            name = target.incarnation
            if name in self._unsent or name not in self._queried_at:
                self.query(target, limits)

    def query(self, target: Target, limits: BatchLimits) -> None:
        """Query a target, unless its last query was too recent."""
        now = time.monotonic()
        queried_at = self._queried_at.get(target.incarnation, 0)
        if now - queried_at < MIN_QUERY_INTERVAL_SECONDS:
            return
        self._queried_at[target.incarnation] = now
        self._unsent.discard(target.incarnation)
        self._tasks.start(self._query_target(target, limits))

    async def _query_target(self, target: Target, limits: BatchLimits) -> None:
        head = self._wire.make_free_bytes_query(target)
        try:
            async with self._sender.send(
                target, head, b'', MAX_IDLE_SECONDS, names_limit=False
            ) as attempt:
                await attempt.read_head(REPLY_TIMEOUT_SECONDS)
                content = await attempt.read_complete(REPLY_TIMEOUT_SECONDS)
                free_bytes = self._wire.read_free_bytes(content)
        except (TargetError, InvalidInputError) as error:
            if isinstance(error, TargetClosedError):
                self._unsent.add(target.incarnation)
            get_logger().info(
                'room_unknown', target=target.name, reason=str(error)
            )
            return
        target_state = self._batch_queue.target_state(target)
        used_bytes = limits.result_memory_bytes - free_bytes - ROUNDING_BYTES
        get_logger().info(
            'room_told',
            target=target.name,
            free=round(free_bytes),
            held=round(used_bytes),
            believed=round(target_state.held_bytes),
        )
        unknown_bytes = used_bytes - target_state.held_bytes
        if unknown_bytes > 0:
            expires_at = time.monotonic() + limits.retention_seconds
            target_state.held_bytes += unknown_bytes
            self._add_unknown(
                StoredResult(target, round(unknown_bytes), expires_at)
            )
