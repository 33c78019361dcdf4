"""Entry point for callers' HTTP requests of all kinds.

The gateway checks a request, runs it as a stream or a plain call, and records
its outcome. A stopping gateway refuses requests that may not end in time.
"""

import asyncio
import math
import time
from collections.abc import Callable

from galenaswitch.connections.errors import CallerGoneError, detach
from galenaswitch.connections.handlers import AnswerWriter
from galenaswitch.connections.requests import InboundRequest
from galenaswitch.gateway.answers import find_ending, refuse
from galenaswitch.gateway.calls import CallerRequest, Wire
from galenaswitch.gateway.checks import check_request
from galenaswitch.gateway.draining import Draining
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


class Gateway:
    """Handles the requests that arrive at the callers' port."""

    def __init__(
        self,
        find_table: Callable[[], RouteTable],
        wire: Wire,
        plain: PlainRunner,
        streams: StreamRunner,
        metrics: Metrics,
        draining: Draining,
    ) -> None:
        """Build a gateway that checks requests against a route table.

        :param find_table: returns the current route table. A request uses
            one table until it ends.
        :param draining: tells which requests fit before a stop.
        """
        self._find_table = find_table
        self._wire = wire
        self._plain = plain
        self._streams = streams
        self._metrics = metrics
        self._outcomes = OutcomeLog(find_table, metrics)
        self._draining = draining
        self._timeouts: set[asyncio.Timeout] = set()

    def drain_until(
        self, deadline: float, unnoticed_seconds: float = 0
    ) -> None:
        """Refuse requests that may not end before ``deadline``.

        Requests in progress end before it, too.

        :param deadline: monotonic time in seconds at which the process stops.
        :param unnoticed_seconds: time until the balancer notices the stop.
        """
        self._draining.stop_deadline = deadline
        self._draining.noticed_at = time.monotonic() + unnoticed_seconds
        end = self._draining.find_end(math.inf) - time.monotonic()
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
            self._draining.check_arrival(caller_request)
        except RefusedError as error:
            self._close_behind(writer, error)
            ident = self._wire.read_request(request.head).ident
            ending = refuse(writer, self._wire, ident, error)
            ended = EndedRequest(ident, '', table.version, request.received_at)
            self._outcomes.record_end(ended, ending, error)
            return
        await self._answer(caller_request, table, writer)

    def _close_behind(self, writer: AnswerWriter, error: RefusedError) -> None:
        """Let a connection close behind a refusal for the stop of the process.

        The caller's next connection may go to another VM.
        """
        is_stopping = self._draining.stop_deadline is not None
        if is_stopping and error.reason is Reason.not_ready:
            writer.keep = False

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
            detach(error)
            outcome = error
        except TimeoutError as error:
            detach(error)
            outcome = self._make_late_refusal(caller_request)
        except (Exception, asyncio.CancelledError) as error:
            if isinstance(error, CallerGoneError) or is_cancelled():
                event = 'request_cut_off' if self._is_over() else 'caller_left'
                self._outcomes.record_departure(event, ended, writer, error)
                raise
            outcome = _make_internal_refusal(caller_request, error)
        finally:
            self._draining.forget(caller_request)
        if outcome:
            self._close_behind(writer, outcome)
            ending = refuse(writer, self._wire, caller_request.ident, outcome)
        else:
            ending = find_ending(writer)
        self._outcomes.record_end(ended, ending, outcome)
        seconds = time.monotonic() - caller_request.started
        name = f'request.{caller_request.route.kind.value}'
        self._metrics.time(name, seconds * MILLISECONDS)

    def _is_over(self) -> bool:
        """Tell whether the process ends, which cancels all its tasks."""
        stop_deadline = self._draining.stop_deadline
        return stop_deadline is not None and time.monotonic() >= stop_deadline

    def _make_late_refusal(self, caller_request: CallerRequest) -> RefusedError:
        """Return the refusal of a request that has run out of time.

        How far it came isn't known here, so nothing is promised about it.
        """
        is_stopped = self._draining.find_end(math.inf) < caller_request.deadline
        if is_stopped:
            self._draining.log_cut(caller_request)
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
        end = self._draining.find_end(caller_request.deadline)
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
