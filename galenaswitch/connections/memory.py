"""Account of the bytes of requests and responses that a process holds.

The limit of one body or response doesn't bound their sum. When bodies take
more than their share, incomplete ones are given up. When all together hold too
much, the largest response is: one that never ends grows to be the largest, and
smaller ones go on. Complete requests are admitted only while there is room, and
are then kept.
"""

import math
import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from enum import Enum, auto

from galenaswitch.operations.logs import get_logger

# A response that holds at most this many bytes is never given up.
MIN_GIVEN_UP_BYTES = 65_536
# Memory of the interpreter, the modules and the state of a few VMs: 45 MB were
# measured, and the list of members grows with the deployment.
BASE_BYTES = 64_000_000
# Share of the memory above the base that the account may take. The rest is left
# for fragmentation, the chunk being parsed, and the objects of connections.
ACCOUNT_SHARE = 0.8
# Smallest limit of the account, so that one body of 4 MB fits on any VM.
MIN_LIMIT_BYTES = 16_777_216
# Share of the account that bodies may take. The rest is left for responses, of
# which a running request needs room.
BODY_SHARE = 0.75
# Rate in bytes per second, and time in seconds on top, at which an incomplete
# body has to arrive to be given up after the slower ones: 4 MB in 1.5 s.
FAIR_BODY_RATE = 4_194_304
FAIR_BODY_SECONDS = 0.5


class HeldKind(Enum):
    """What the bytes of a holding are, which decides when they are given up.

    A ``body`` is incomplete, a ``request`` is complete and waits or runs, a
    ``response`` comes from a target, and bytes that are ``unsent`` were
    written to a caller who doesn't read them. What is ``internal``, the bodies
    of batches and the buffers of tunnels, is never given up.
    """

    body = auto()
    request = auto()
    response = auto()
    unsent = auto()
    internal = auto()


_GIVEN_UP_BY_SIZE = frozenset((HeldKind.response, HeldKind.unsent))


class Holding:
    """Bytes that belong to one request or response.

    :ivar size: number of bytes that are held now.
    :ivar opened_at: monotonic time in seconds at which the holding began.
    """

    def __init__(
        self,
        account: 'MemoryAccount',
        give_up: Callable[[], None] | None,
        kind: HeldKind,
    ) -> None:
        """Build a holding of no bytes.

        :param give_up: fails the response or request and drops its bytes,
            ``None`` if that isn't possible.
        """
        self.size = 0
        self.give_up = give_up
        self.kind = kind
        self.opened_at = time.monotonic()
        self._account: MemoryAccount | None = account

    @property
    def is_open(self) -> bool:
        """Whether the holding was neither closed nor given up."""
        return self._account is not None

    def resize(self, size: int) -> None:
        """Change the number of bytes; other holdings may be given up."""
        if self._account:
            growth = size - self.size
            self.size = size
            self._account.grow(self.kind, growth)

    def complete(self) -> None:
        """Turn an incomplete body into a complete request, which is kept."""
        if self._account:
            self._account.sums[self.kind] -= self.size
            self.kind = HeldKind.request
            self._account.sums[self.kind] += self.size

    def close(self) -> None:
        """Release all bytes for good."""
        if self._account:
            self._account.remove(self)
            self._account = None
            self.size = 0


class MemoryAccount:
    """Sum of the bytes of all requests and responses.

    >>> account = MemoryAccount(limit_bytes=200_000)
    >>> holding = account.open(None)
    >>> holding.resize(70_000)
    >>> account.total
    70000
    >>> holding.close()
    >>> account.total
    0
    """

    def __init__(
        self,
        limit_bytes: float = math.inf,
        count_event: Callable[[str], None] | None = None,
    ) -> None:
        """Build an account of no bytes.

        :param count_event: counts what is given up, ``None`` for no counts.
        """
        self.limit_bytes = limit_bytes
        self._count_event = count_event
        self.total = 0
        self.sums = dict.fromkeys(HeldKind, 0)
        self._holdings: set[Holding] = set()

    @property
    def body_limit_bytes(self) -> float:
        """Most bytes of bodies and of complete requests together."""
        return self.limit_bytes * BODY_SHARE

    def open(
        self,
        give_up: Callable[[], None] | None,
        kind: HeldKind = HeldKind.response,
    ) -> Holding:
        """Return a new holding of no bytes."""
        holding = Holding(self, give_up, kind)
        self._holdings.add(holding)
        return holding

    @contextmanager
    def hold(self, size: int) -> Iterator[None]:
        """Account for internal bytes until the end of a block."""
        holding = self.open(None, HeldKind.internal)
        holding.resize(size)
        try:
            yield
        finally:
            holding.close()

    def has_room(self, size: int, max_body_bytes: int) -> bool:
        """Tell whether a request may be kept until it has ended.

        Room for one body of the largest size is left to bodies that arrive,
        and the same once more to small requests. A request alone has room.

        :param size: number of bytes of the body.
        :param max_body_bytes: largest size of a body.
        """
        held = self.sums[HeldKind.request]
        spared = 1 if size <= MIN_GIVEN_UP_BYTES else 2
        limit = self.body_limit_bytes - spared * max_body_bytes
        return not held or held + size <= limit

    def grow(self, kind: HeldKind, growth: int) -> None:
        """Add bytes of a holding, and give up others if need be."""
        self.total += growth
        self.sums[kind] += growth
        if growth <= 0:
            return
        if self._body_bytes > self.body_limit_bytes:
            self._give_up_bodies()
        if self.total > self.limit_bytes:
            self._give_up_bodies(only_slow=True)
        while self.total > self.limit_bytes:
            largest = self._find_largest()
            if largest is None:
                # All responses are small, which are never given up.
                self._give_up_bodies()
                return
            self._give_up(largest, 'response_given_up')

    def remove(self, holding: Holding) -> None:
        """Remove a holding with all its bytes."""
        self._holdings.remove(holding)
        self.total -= holding.size
        self.sums[holding.kind] -= holding.size

    @property
    def _body_bytes(self) -> int:
        return self.sums[HeldKind.body] + self.sums[HeldKind.request]

    def _give_up_bodies(self, *, only_slow: bool = False) -> None:
        """Give up incomplete bodies until all that is held fits.

        :param only_slow: whether to keep those that arrive fast enough.
        """
        now = time.monotonic()
        bodies = [one for one in self._holdings if one.kind is HeldKind.body]
        bodies.sort(key=lambda one: _rank_body(one, now))
        for body in bodies:
            has_room = self._body_bytes <= self.body_limit_bytes
            if has_room and self.total <= self.limit_bytes:
                return
            if only_slow and is_arriving(body, now):
                return
            self._give_up(body, 'body_given_up')

    def _give_up(self, holding: Holding, event: str) -> None:
        if self._count_event:
            self._count_event(event)
        get_logger().warning(
            event,
            bytes=holding.size,
            total=self.total,
            age=round(time.monotonic() - holding.opened_at, 3),
        )
        holding.close()
        if holding.give_up:
            holding.give_up()

    def _find_largest(self) -> Holding | None:
        """Return the largest response that may be given up."""
        return max(
            self._find_responses(), key=lambda one: one.size, default=None
        )

    def _find_responses(self) -> Iterator[Holding]:
        for one in self._holdings:
            is_large = one.give_up and one.size > MIN_GIVEN_UP_BYTES
            if is_large and one.kind in _GIVEN_UP_BY_SIZE:
                yield one


def find_limit(memory_bytes: float) -> float:
    """Return the limit of the account of a process, in bytes.

    :param memory_bytes: most memory that the process may use.

    >>> round(find_limit(160_000_000) / 1_000_000, 1)
    76.8
    """
    return max((memory_bytes - BASE_BYTES) * ACCOUNT_SHARE, MIN_LIMIT_BYTES)


def _rank_body(body: Holding, now: float) -> tuple[bool, float]:
    """Return the rank of an incomplete body, the lowest to be given up first.

    Bodies that arrive too slowly come first, and of these the one that holds
    most for longest. Among the others the youngest is first, so that those that
    are almost complete aren't lost to those that follow.
    """
    age = now - body.opened_at
    is_fair = is_arriving(body, now)
    return is_fair, age if is_fair else -body.size * age


def is_arriving(body: Holding, now: float) -> bool:
    """Tell whether an incomplete body arrives fast enough to be kept."""
    age = now - body.opened_at
    return age <= FAIR_BODY_SECONDS + body.size / FAIR_BODY_RATE
