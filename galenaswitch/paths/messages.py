"""Messages by which VMs open tunnels and tell each other of lost paths."""

from typing import Annotated, NamedTuple

from pydantic import Field

from galenaswitch.connections.sockets import MAX_ADDRESS_LENGTH

Address = Annotated[str, Field(max_length=MAX_ADDRESS_LENGTH)]


class TunnelQuery(NamedTuple):
    """Asks the receiver to connect this connection to a target.

    :param address: IP address and port of the target.
    """

    address: Address


class PauseNote(NamedTuple):
    """Tells a VM that a target has asked for a pause.

    A target asks it of the VM that it sees, which is the exit of a tunnel.

    :param address: IP address and port of the target.
    :param target: name of the target.
    :param incarnation: incarnation that asks.
    :param seconds: length of the pause from now on.
    """

    address: Address
    target: str
    incarnation: str
    seconds: Annotated[float, Field(ge=0, allow_inf_nan=False)]


class TunnelReply(NamedTuple):
    """Tells whether the connection now leads to the target.

    After a reply without failure, the connection carries no more messages, but
    the bytes for the target, and those from it in the format of
    :mod:`galenaswitch.paths.frames`.

    :param failure: empty, :data:`UNREACHABLE` or :data:`UNAVAILABLE`.
    :param pauses: pauses of the target that hold for the exit.
    """

    failure: str = ''
    pauses: tuple[PauseNote, ...] = ()


class PathNote(NamedTuple):
    """Tells all VMs whether one of them can reach the targets directly.

    :param node: name of the VM.
    :param incarnation: id of its process.
    :param sequence: number that grows with each note of the process.
    :param is_lost: whether the VM can't reach the targets.
    """

    node: str
    incarnation: str
    sequence: int
    is_lost: bool


# The exit can't connect to the target either.
UNREACHABLE = 'unreachable'
# The exit opens no tunnel to the address now, and hasn't tried to.
UNAVAILABLE = 'unavailable'
