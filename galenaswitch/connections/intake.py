"""Account of the bodies that the caller of one connection sends."""

from collections.abc import Callable
from http import HTTPStatus

from galenaswitch.connections.errors import RequestRejectedError
from galenaswitch.connections.memory import HeldKind, Holding, MemoryAccount

# Bytes of a body that aren't accounted for, so that small requests cost
# nothing. The limit on the number of connections bounds their sum.
UNCOUNTED_BYTES = 16_384
# Growth of a body in bytes after which it is counted again. Bodies that arrive
# in chunks of a byte aren't counted at each.
COUNT_STEP_BYTES = 16_384


class BodyIntake:
    """Bodies of one connection: at most one arrives, others are complete.

    :ivar max_body_bytes: largest size of a body.
    """

    def __init__(
        self, memory: MemoryAccount, give_up: Callable[[], None]
    ) -> None:
        """Build an intake without a body.

        :param give_up: rejects the request whose body arrives and drops it.
        """
        self.max_body_bytes = 0
        self._memory = memory
        self._give_up = give_up
        self._arriving: Holding | None = None
        self._complete: list[Holding] = []

    def check(self, size: int) -> None:
        """Check that a body of a declared size may arrive.

        :raises RequestRejectedError: when there is no room for it.
        """
        if not self._memory.has_room(size, self.max_body_bytes):
            raise make_full_error(f'no room for a body of {size} bytes')

    def count(self, size: int) -> None:
        """Account for the bytes of a body that has grown.

        :raises RequestRejectedError: when the body was given up.
        """
        holding = self._arriving
        if holding is None:
            holding = self._memory.open(self._give_up, HeldKind.body)
            self._arriving = holding
        holding.resize(size)
        if not holding.is_open:
            raise make_full_error('the bodies in memory are too large')

    def complete(self, size: int) -> Holding | None:
        """Account for a complete request, which is kept until it has ended.

        :returns: holding of the request.
        :raises RequestRejectedError: when there is no room for it.
        """
        self.count(size)
        self.check(size)
        holding = self._arriving
        self._arriving = None
        if holding:
            holding.complete()
            self._complete = [one for one in self._complete if one.is_open]
            self._complete.append(holding)
        return holding

    def drop_arriving(self) -> None:
        """Release the body that arrives."""
        if self._arriving:
            self._arriving.close()
            self._arriving = None

    def close(self) -> None:
        """Release all bodies, as the connection is lost."""
        self.drop_arriving()
        for holding in self._complete:
            holding.close()
        self._complete.clear()


def make_full_error(reason: str) -> RequestRejectedError:
    """Return the rejection of a request that hasn't run and never will."""
    return RequestRejectedError(HTTPStatus.SERVICE_UNAVAILABLE, reason)
