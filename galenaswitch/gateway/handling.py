"""Callers' requests of all kinds, from their first byte to the answer."""

import asyncio
import time
from collections.abc import Callable

from galenaswitch.connections.inbound import AnswerWriter
from galenaswitch.connections.requests import InboundRequest
from galenaswitch.gateway.answers import refuse
from galenaswitch.gateway.calls import CallerRequest, Wire
from galenaswitch.gateway.checks import check_request
from galenaswitch.gateway.plain import PlainRunner
from galenaswitch.gateway.routes import CallKind, Route, RouteTable
from galenaswitch.gateway.streams import StreamRunner
from galenaswitch.operations.logs import get_logger
from galenaswitch.operations.metrics import Metrics
from galenaswitch.refusals import ExecutionState, Reason, RefusedError

MILLISECONDS = 1000
# Objectives that a request may take in all, and the seconds of a stream's
# events beside them: what is begun before a stop has to end before it.
STOP_OBJECTIVES = 2.0
STOP_STREAM_SECONDS = 2.5
# Seconds after which a caller that a stopping VM refuses may come back:
# its next connection goes elsewhere.
STOP_RETRY_SECONDS = 0.05


class Gateway:
    """Handles the requests of the callers' port."""

    def __init__(
        self,
        find_table: Callable[[], RouteTable],
        wire: Wire,
        plain: PlainRunner,
        streams: StreamRunner,
        metrics: Metrics,
    ) -> None:
        """Handle requests under the configuration in force.

        :param find_table: returns it; a request keeps it to its end.
        """
        self._find_table = find_table
        self._wire = wire
        self._plain = plain
        self._streams = streams
        self._metrics = metrics
        self._ends_at: float | None = None

    def end_at(self, moment: float) -> None:
        """Take only requests that can end before a monotonic time."""
        self._ends_at = moment

    async def handle(
        self,
        request: InboundRequest,
        writer: AnswerWriter,
    ) -> None:
        """Answer a request through ``writer``."""
        table = self._find_table()
        try:
            caller_request = check_request(request, table, self._wire)
            self._check_stop(caller_request.route)
        except RefusedError as error:
            ident = self._wire.read_request(request.head).ident
            self._log(ident, '', table, request.received_at, error)
            refuse(writer, self._wire, ident, error)
            return
        await self._answer(caller_request, table, writer)

    def _check_stop(self, route: Route) -> None:
        """Refuse what a stop would cut off.

        :raises RefusedError: when the request may not end in time.
        """
        if self._ends_at is None:
            return
        needed = route.objective * STOP_OBJECTIVES
        if route.kind is CallKind.stream:
            needed += STOP_STREAM_SECONDS
        if time.monotonic() + needed > self._ends_at:
            raise RefusedError(
                Reason.not_ready,
                ExecutionState.not_run,
                'the process is stopping',
                STOP_RETRY_SECONDS,
            )

    async def _answer(
        self,
        caller_request: CallerRequest,
        table: RouteTable,
        writer: AnswerWriter,
    ) -> None:
        outcome: RefusedError | None = None
        try:
            async with asyncio.timeout(
                caller_request.deadline - time.monotonic()
            ):
                await self._run(caller_request, table, writer)
        except RefusedError as error:
            outcome = error
        except TimeoutError:
            outcome = RefusedError(Reason.deadline, ExecutionState.unknown)
        except asyncio.CancelledError:
            self._metrics.count('caller_left')
            get_logger().info('caller_left', request=caller_request.ident)
            raise
        if outcome:
            refuse(writer, self._wire, caller_request.ident, outcome)
        self._log(
            caller_request.ident,
            caller_request.route.name,
            table,
            caller_request.started,
            outcome,
        )
        seconds = time.monotonic() - caller_request.started
        name = f'request.{caller_request.route.kind.value}'
        self._metrics.time(name, seconds * MILLISECONDS)

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

    def _log(
        self,
        ident: str,
        route: str,
        table: RouteTable,
        started: float,
        outcome: RefusedError | None,
    ) -> None:
        seconds = time.monotonic() - started
        name = outcome.reason.value if outcome else 'answered'
        self._metrics.count(f'request.{name}')
        self._metrics.time('request', seconds * MILLISECONDS)
        get_logger().info(
            'request_ended',
            request=ident,
            route=route,
            outcome=name,
            run=outcome.run.value if outcome else 'run',
            detail=outcome.detail if outcome else '',
            retry_after=outcome.retry_after if outcome else 0,
            configuration=table.version,
            seconds=round(seconds, 3),
        )
