"""Entry point for callers' HTTP requests of all kinds.

The gateway checks a request, runs it as a stream or a plain call, and records
its outcome. A stopping gateway refuses requests that may not end in time.
"""

import asyncio
import math
import time
from collections.abc import Callable

from galenaswitch.connections.errors import CallerGoneError
from galenaswitch.connections.inbound import AnswerWriter
from galenaswitch.connections.requests import InboundRequest
from galenaswitch.gateway.answers import find_ending, refuse
from galenaswitch.gateway.calls import CallerRequest, Wire
from galenaswitch.gateway.checks import check_request
from galenaswitch.gateway.outcomes import (
    MILLISECONDS,
    EndedRequest,
    OutcomeLog,
)
from galenaswitch.gateway.plain import PlainRunner
from galenaswitch.gateway.routes import CallKind, RouteTable
from galenaswitch.gateway.streams import StreamRunner
from galenaswitch.operations.logs import describe_error, get_logger
from galenaswitch.operations.metrics import Metrics
from galenaswitch.operations.process import is_cancelled
from galenaswitch.refusals import ExecutionState, Reason, RefusedError

# Longest expected duration of a request that may be repeated: this multiple of
# its latency objective, plus these seconds of events for a stream. A VM that is
# stopping accepts only requests that can end before the stop.
DRAIN_OBJECTIVE_FACTOR = 2.0
DRAIN_STREAM_SECONDS = 2.5
# A caller that a stopping VM refuses may retry after this many seconds, as its
# next connection goes to another VM.
DRAIN_RETRY_AFTER_SECONDS = 0.05
# A request in progress ends these seconds before the process stops, so that its
# refusal is sent.
STOP_MARGIN_SECONDS = 0.15


class Gateway:
    """Handles the requests that arrive at the callers' port."""

    def __init__(
        self,
        find_table: Callable[[], RouteTable],
        wire: Wire,
        plain: PlainRunner,
        streams: StreamRunner,
        metrics: Metrics,
    ) -> None:
        """Build a gateway that checks requests against a route table.

        :param find_table: returns the current route table. A request uses
            one table until it ends.
        """
        self._find_table = find_table
        self._wire = wire
        self._plain = plain
        self._streams = streams
        self._metrics = metrics
        self._outcomes = OutcomeLog(find_table, metrics)
        self._stop_deadline: float | None = None
        self._timeouts: set[asyncio.Timeout] = set()

    def drain_until(self, deadline: float) -> None:
        """Refuse requests that may not end before ``deadline``.

        Requests in progress end before it, too.

        :param deadline: monotonic time in seconds at which the process stops.
        """
        self._stop_deadline = deadline
        end = self._find_end(math.inf) - time.monotonic()
        loop_end = asyncio.get_running_loop().time() + end
        for timeout in self._timeouts:
            if not timeout.expired():
                timeout.reschedule(min(timeout.when() or loop_end, loop_end))

    async def handle(
        self,
        request: InboundRequest,
        writer: AnswerWriter,
    ) -> None:
        """Check and run a request, and send its answer to ``writer``."""
        table = self._find_table()
        try:
            caller_request = check_request(request, table, self._wire)
            self._check_stop_deadline(caller_request)
        except RefusedError as error:
            ident = self._wire.read_request(request.head).ident
            ending = refuse(writer, self._wire, ident, error)
            ended = EndedRequest(ident, '', table.version, request.received_at)
            self._outcomes.record_end(ended, ending, error)
            return
        await self._answer(caller_request, table, writer)

    def _check_stop_deadline(self, caller_request: CallerRequest) -> None:
        """Check that a request ends before the process stops.

        :raises RefusedError: when the request may last beyond the stop.
        """
        if self._stop_deadline is None:
            return
        if _find_expected_end(caller_request) > self._find_end(math.inf):
            raise RefusedError(
                Reason.not_ready,
                ExecutionState.not_run,
                'the process is stopping',
                DRAIN_RETRY_AFTER_SECONDS,
            )

    def _find_end(self, deadline: float) -> float:
        """Return the time at which a request with ``deadline`` has to end."""
        if self._stop_deadline is None:
            return deadline
        return min(deadline, self._stop_deadline - STOP_MARGIN_SECONDS)

    async def _answer(
        self,
        caller_request: CallerRequest,
        table: RouteTable,
        writer: AnswerWriter,
    ) -> None:
        outcome: RefusedError | None = None
        ended = EndedRequest(
            caller_request.ident,
            caller_request.route.name,
            table.version,
            caller_request.started,
        )
        try:
            await self._run_until_end(caller_request, table, writer)
        except RefusedError as error:
            outcome = error
        except TimeoutError:
            outcome = self._make_late_refusal(caller_request)
        except (Exception, asyncio.CancelledError) as error:
            if isinstance(error, CallerGoneError) or is_cancelled():
                event = 'request_cut_off' if self._is_over() else 'caller_left'
                self._outcomes.record_departure(event, ended, writer, error)
                raise
            outcome = _make_internal_refusal(caller_request, error)
        if outcome:
            ending = refuse(writer, self._wire, caller_request.ident, outcome)
        else:
            ending = find_ending(writer)
        self._outcomes.record_end(ended, ending, outcome)
        seconds = time.monotonic() - caller_request.started
        name = f'request.{caller_request.route.kind.value}'
        self._metrics.time(name, seconds * MILLISECONDS)

    def _is_over(self) -> bool:
        """Tell whether the process ends, which cancels all its tasks."""
        return (
            self._stop_deadline is not None
            and time.monotonic() >= self._stop_deadline
        )

    def _make_late_refusal(self, caller_request: CallerRequest) -> RefusedError:
        """Return the refusal of a request that has run out of time.

        How far it came isn't known here, so nothing is promised about it.
        """
        is_stopped = self._find_end(math.inf) < caller_request.deadline
        return RefusedError(
            Reason.deadline,
            ExecutionState.unknown,
            'the process is stopping' if is_stopped else '',
        )

    async def _run_until_end(
        self,
        caller_request: CallerRequest,
        table: RouteTable,
        writer: AnswerWriter,
    ) -> None:
        """Run a request until its deadline, or until the process stops.

        :raises TimeoutError: when the request has not ended by then.
        """
        end = self._find_end(caller_request.deadline)
        async with asyncio.timeout(end - time.monotonic()) as timeout:
            self._timeouts.add(timeout)
            try:
                await self._run(caller_request, table, writer)
            finally:
                self._timeouts.discard(timeout)

    async def _run(
        self,
        caller_request: CallerRequest,
        table: RouteTable,
        writer: AnswerWriter,
    ) -> None:
        if caller_request.route.kind is CallKind.stream:
            await self._streams.run(caller_request, table, writer)
        else:
            await self._plain.run(caller_request, writer)


def _find_expected_end(caller_request: CallerRequest) -> float:
    """Return the monotonic time at which a request has ended by all odds.

    One that may not be repeated has to end at any odds: cut off, its caller
    couldn't learn whether it ran.
    """
    route = caller_request.route
    if route.kind is CallKind.once:
        return caller_request.deadline
    seconds = route.objective_seconds * DRAIN_OBJECTIVE_FACTOR
    if route.kind is CallKind.stream:
        seconds += DRAIN_STREAM_SECONDS
    return time.monotonic() + seconds


def _make_internal_refusal(
    caller_request: CallerRequest, error: BaseException
) -> RefusedError:
    """Log an unexpected error and return the refusal of its request.

    A call that may not be repeated may have run.
    """
    get_logger().error(
        'request_failed',
        request=caller_request.ident,
        route=caller_request.route.name,
        **describe_error(error),
    )
    return RefusedError(Reason.internal, ExecutionState.unknown)
