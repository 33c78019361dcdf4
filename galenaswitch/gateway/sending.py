"""Sends a request to a target and reads the complete answer.

Each request is sent exactly once; retries are decided elsewhere.
"""

import math
from collections.abc import AsyncIterator, Callable, Sequence
from contextlib import ExitStack, asynccontextmanager
from functools import partial
from types import TracebackType

from galenaswitch.connections.exchange import Exchange
from galenaswitch.connections.heads import AnswerHead, RequestHead
from galenaswitch.connections.outbound import TargetConnection
from galenaswitch.connections.pool import ConnectionPool
from galenaswitch.errors import (
    InvalidInputError,
    MismatchedAnswerError,
    TargetBrokenError,
    TargetLateError,
    TargetUnreachableError,
)
from galenaswitch.gateway.calls import Wire
from galenaswitch.gateway.draining import Draining
from galenaswitch.gateway.notices import TargetClosedError, TargetNotices
from galenaswitch.gateway.turns import Turns
from galenaswitch.membership.lists import Target
from galenaswitch.operations.timeouts import Timeout

# Largest answer in bytes that is buffered completely before it is passed on.
MAX_BUFFERED_BYTES = 4_194_304


class Attempt:
    """One attempt of a request at a target, in flight."""

    def __init__(
        self,
        connection: TargetConnection,
        exchange: Exchange,
        on_head: Callable[[AnswerHead], None],
    ) -> None:
        """Build an attempt for ``exchange`` on ``connection``.

        :param on_head: receives the head of the answer when it is read.
        """
        self.connection = connection
        self.exchange = exchange
        self._on_head = on_head

    async def read_head(
        self, seconds: float, limit_seconds: float = math.inf
    ) -> AnswerHead:
        """Return the head of the answer.

        :param seconds: longest wait on a loop that isn't held up.
        :param limit_seconds: longest wait at any odds.
        :raises TargetBrokenError: when the connection ended first.
        :raises TargetLateError: when the head did not arrive in time.
        """
        try:
            async with Timeout(seconds, limit_seconds) as timeout:
                head = await self.exchange.read_head()
        except TimeoutError as error:
            raise self._make_late_error('answer head', timeout) from error
        self._on_head(head)
        return head

    async def read(self, seconds: float) -> bytes:
        """Return the next chunk of the body, empty after a complete body.

        :raises TargetBrokenError: when the answer ended incomplete.
        :raises TargetLateError: when no data arrived in time.
        """
        try:
            async with Timeout(seconds) as timeout:
                chunk = await self.exchange.read()
        except TimeoutError as error:
            raise self._make_late_error('data', timeout) from error
        self.connection.resume_reading()
        return chunk

    async def read_complete(self, seconds: float) -> bytes:
        """Return the complete body.

        :raises TargetBrokenError: when the body is incomplete or too large.
        :raises TargetLateError: when the body did not arrive in time.
        """
        try:
            async with Timeout(seconds) as timeout:
                return await self.connection.read_all(
                    self.exchange, MAX_BUFFERED_BYTES
                )
        except TimeoutError as error:
            raise self._make_late_error('end of the answer', timeout) from error

    def close(self) -> None:
        """Close the connection, on which another answer may still come."""
        self.connection.close()

    def _make_late_error(self, missing: str, timeout: Timeout) -> Exception:
        silent = self.connection.silent_seconds
        return TargetLateError(
            f'no {missing} arrived in time: {timeout}, '
            f'nothing came for {silent:.2f} s',
        )


class Sender:
    """Sends requests to targets, each exactly once.

    :ivar turns: limits that the targets name in their answers.
    :ivar notices: leaving notices and pauses in the targets' answers.
    :ivar draining: tells which requests are sent while the process stops.
    """

    def __init__(
        self,
        pool: ConnectionPool,
        turns: Turns,
        notices: TargetNotices,
        wire: Wire,
    ) -> None:
        """Build a sender that uses connections of ``pool``."""
        self.turns = turns
        self.notices = notices
        self.draining = Draining()
        self._pool = pool
        self._wire = wire

    def select(self, targets: Sequence[Target]) -> tuple[Target, ...]:
        """Return the targets of a service of this VM that take a request."""
        opened = self.turns.cold.select(self.notices.select(targets))
        return self.turns.seats.select(opened)

    @asynccontextmanager
    async def send(
        self,
        target: Target,
        head: RequestHead,
        body: bytes,
        max_idle_seconds: float,
        *,
        ident: str = '',
        names_limit: bool = True,
        seat: str = '',
        is_own: bool = False,
    ) -> AsyncIterator[Attempt]:
        """Send a request and yield its attempt.

        The connection is closed afterwards unless the answer was read
        completely, and is that to this request.

        :param max_idle_seconds: longest idle time of a reused connection.
        :param ident: id that answers to the request name, empty if none.
        :param names_limit: whether an answer without a limit means that the
            target has none. Only answers to work do.
        :param seat: id of the seat of the request, empty for a new one.
        :param is_own: whether no request of a caller holds the body.
        :raises TargetUnreachableError: when no byte was sent.
        :raises TargetClosedError: when the target takes no requests now.
        """
        if not names_limit and self.turns.cold.is_cold(target):
            raise TargetClosedError('the target is cold')
        with ExitStack() as held:
            if names_limit:
                held.enter_context(self.turns.seats.hold(target, seat))
            held.push(partial(self._suspect_cold, target))
            if is_own:
                held.enter_context(self._pool.memory.hold(len(body)))
            async with self._open(
                target, head, body, max_idle_seconds, ident, names_limit
            ) as attempt:
                yield attempt

    @asynccontextmanager
    async def _open(
        self,
        target: Target,
        head: RequestHead,
        body: bytes,
        max_idle_seconds: float,
        ident: str,
        names_limit: bool,
    ) -> AsyncIterator[Attempt]:
        is_probe = self.notices.start(target)
        exchange = None
        connection = await self._pool.acquire(
            target.url, max_idle_seconds, ident
        )
        try:
            # The target may have closed while the connection was opened.
            self.notices.check(target, is_probe=is_probe)
            exchange = connection.send(
                head, body, ident, self._wire.read_answer_ident
            )
            on_head = partial(self._observe, target, names_limit, is_probe)
            yield Attempt(connection, exchange, on_head)
        except (MismatchedAnswerError, InvalidInputError):
            connection.close()
            raise
        finally:
            if exchange:
                exchange.discard()
            self._pool.release(connection)

    def _suspect_cold(
        self,
        target: Target,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Treat a target as cold that may have ended and started again."""
        is_lost = isinstance(error, (TargetBrokenError, TargetUnreachableError))
        if is_lost and not isinstance(error, TargetClosedError):
            self.turns.cold.suspect(target)

    def _observe(
        self,
        target: Target,
        names_limit: bool,
        is_probe: bool,
        head: AnswerHead,
    ) -> None:
        self.notices.observe(target, head, is_probe=is_probe)
        cold_seconds = self._wire.read_cold_seconds(head)
        if cold_seconds is not None:
            self.turns.cold.observe_cold(target, cold_seconds)
        rate = self._wire.read_rate_limit(head)
        if names_limit or rate is not None:
            self.turns.observe(target, rate)
        limit = self._wire.read_brittleness(head)
        if names_limit or limit is not None:
            refused = self._wire.is_full(head)
            brittleness = self.turns.seats.brittleness
            brittleness.observe(target, limit, refused=refused)
