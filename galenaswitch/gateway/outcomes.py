"""Logs and metrics that tell how callers' requests ended.

Requests that end in the seconds after a change of the configuration are counted
apart from all others, so that their shares of cut answers can be compared.
"""

import time
from collections.abc import Callable
from typing import Any, NamedTuple

from galenaswitch.connections.handlers import AnswerWriter
from galenaswitch.gateway.answers import Ending
from galenaswitch.gateway.routes import RouteTable
from galenaswitch.operations.logs import get_logger
from galenaswitch.operations.metrics import Metrics
from galenaswitch.refusals import Reason, RefusedError

MILLISECONDS = 1000
# Requests that end within this many seconds after a configuration came into
# force on this VM count as ended after a change.
AFTER_CHANGE_SECONDS = 4.0
# Event of an answer that was cut, by whether its request had run out of time.
_CUT_EVENTS = {True: 'answer_cut_at_deadline', False: 'answer_cut'}
_PERIODS = {True: 'after_change', False: 'other_times'}


class EndedRequest(NamedTuple):
    """Request of a caller that has ended.

    :param ident: id of the caller's attempt, empty when not sent.
    :param route: name of its route, empty when it failed its checks.
    :param version: version of the configuration under which it ran.
    :param started: monotonic time in seconds of the first byte received.
    """

    ident: str
    route: str
    version: int
    started: float


class OutcomeLog:
    """Records how each request ended."""

    def __init__(
        self, find_table: Callable[[], RouteTable], metrics: Metrics
    ) -> None:
        """Build a log of outcomes.

        :param find_table: returns the route table in force, which tells when
            it came into force.
        """
        self._find_table = find_table
        self._metrics = metrics

    def record_end(
        self,
        request: EndedRequest,
        ending: Ending,
        refusal: RefusedError | None,
    ) -> None:
        """Record a request whose caller has got what it will get.

        :param refusal: why it was refused or its answer cut, ``None`` if it
            has a complete answer.
        """
        seconds = time.monotonic() - request.started
        name = refusal.reason.value if refusal else ending.value
        self._metrics.count(f'request.{name}')
        self._metrics.time('request', seconds * MILLISECONDS)
        age = self._find_age()
        self._count_by_period('request_ended', age)
        if ending is Ending.cut:
            is_late = name == Reason.deadline.value
            self._count_by_period(_CUT_EVENTS[is_late], age)
        get_logger().info(
            'request_ended',
            request=request.ident,
            route=request.route,
            outcome=name,
            ended=ending.value,
            run=refusal.run.value if refusal else 'run',
            detail=refusal.detail if refusal else '',
            retry_after=refusal.retry_after if refusal else 0,
            configuration=request.version,
            configuration_age=round(age, 3),
            seconds=round(seconds, 3),
        )

    def record_departure(
        self,
        event: str,
        request: EndedRequest,
        writer: AnswerWriter,
        error: BaseException,
    ) -> None:
        """Record a request whose caller left, or that the process cut off.

        :param event: which of the two it was.
        :param error: what ended the request.
        """
        age = self._find_age()
        self._metrics.count(event)
        self._count_by_period(event, age)
        get_logger().info(
            event,
            request=request.ident,
            route=request.route,
            begun=writer.started,
            closed_by=_find_closer(writer, error),
            configuration=request.version,
            configuration_age=round(age, 3),
            seconds=round(time.monotonic() - request.started, 3),
        )

    def _find_age(self) -> float:
        """Return the seconds for which the configuration has been in force."""
        return time.monotonic() - self._find_table().applied_at

    def _count_by_period(self, event: str, age: float) -> None:
        period = _PERIODS[age <= AFTER_CHANGE_SECONDS]
        self._metrics.count(f'{event}.{period}')


def _find_closer(writer: Any, error: BaseException) -> str:
    """Return who closed the connection, as far as it can be told.

    A connection that knows it says so; otherwise the error's message stands.
    """
    end = getattr(writer, 'connection_end', None)
    return str(end.value if end else error)
