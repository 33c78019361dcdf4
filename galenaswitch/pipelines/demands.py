"""The pieces of one stage of one request, as they wait and are made."""

from collections.abc import Iterable

from galenaswitch.gateway.calls import Piece
from galenaswitch.gateway.messages import HeldResults

# Seconds by which a demand goes before one that is less urgent by one
# priority and has to start at the same time. Waiting longer outweighs it, so
# that no kind of request starves.
PRIORITY_SECONDS = 0.2


class Demand:
    """The pieces of one stage of one request."""

    def __init__(
        self,
        ident: str,
        pieces: Iterable[Piece],
        result_bytes: int,
        zone: str,
        start_by: float,
        deadline: float,
        last_read: tuple[HeldResults, ...] = (),
        priority: int = 0,
    ) -> None:
        """Ask for ``pieces``.

        :param result_bytes: size of one result.
        :param zone: zone in which the results are preferred, empty for any.
        :param start_by: monotonic time until which a call has to start so
            that the request can be on time.
        :param deadline: monotonic time after which results are of no use.
        :param last_read: inputs that can be given up once they are read.
        :param priority: 0 is the most urgent.
        """
        self.ident = ident
        self.unsent = list(pieces)
        self.missing = len(self.unsent)
        self.result_bytes = result_bytes
        self.zone = zone
        self.start_by = start_by
        self.deadline = deadline
        self.last_read: tuple[HeldResults, ...] | None = last_read
        self.begun = False
        self.late = False
        self.handles: dict[int, str] = {}
        self.failure = ''
        self._turn = start_by + priority * PRIORITY_SECONDS
        self.repeats = 0

    @property
    def inputs_freed(self) -> bool:
        """Whether its inputs were given up, so that no piece can be redone."""
        return self.last_read is None

    def free_inputs(self) -> tuple[HeldResults, ...]:
        """Return the inputs to be given up, once."""
        freed = self.last_read or ()
        self.last_read = None
        return freed

    def rank(self, now: float) -> tuple[bool, bool, float]:
        """Order demands: begun ones, then those that can be on time.

        Among these the more urgent go first, then who has to start first.
        """
        late = self.late or self.start_by < now
        return (not self.begun, late, self._turn)
