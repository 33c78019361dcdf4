"""Messages between VMs about brittle services and seats at their targets.

Times in messages are seconds left, never clock times.
"""

from typing import NamedTuple

from galenaswitch.limits.seats import HeldSeat


class BrittleNote(NamedTuple):
    """Notifies VMs that the targets of a service are brittle, or no longer.

    :param limit: refusals in a second that each of them survives, -1 when
        they are no longer brittle.
    :param refused_by: incarnation that has turned a request away, empty if
        none has.
    """

    service: str
    limit: int
    refused_by: str = ''


class BrittleQuery(NamedTuple):
    """Query for the services that another VM knows to be brittle."""


class BrittleReply(NamedTuple):
    """Reply with all services that a VM knows to be brittle."""

    notes: tuple[BrittleNote, ...]


class SeatQuery(NamedTuple):
    """Query for a seat at a target of a brittle service.

    :param ident: id of the seat.
    :param vm: VM that asks.
    :param preferred: incarnation that is chosen among equals.
    :param avoided: incarnations that don't get the request.
    :param max_wait: longest useful wait for a seat in seconds.
    :param left: seconds until the request must be answered.
    :param held: seats of the asking VM at targets of the service.
    """

    service: str
    ident: str
    vm: str
    preferred: str
    avoided: tuple[str, ...]
    max_wait: float
    left: float
    held: tuple[HeldSeat, ...]


class SeatReply(NamedTuple):
    """Reply with a seat.

    :param incarnation: target of the seat, empty when none is free in time.
    """

    incarnation: str


class SeatEnd(NamedTuple):
    """Notifies the owner of a service that a seat is free again."""

    service: str
    ident: str


class SeatsQuery(NamedTuple):
    """Query of a service's owner for the seats that another VM has taken."""

    service: str


class SeatsReply(NamedTuple):
    """Reply with all seats that a VM has taken at targets of a service.

    :param given: seats that it has given to others a short time ago.
    """

    held: tuple[HeldSeat, ...]
    given: tuple[HeldSeat, ...] = ()
