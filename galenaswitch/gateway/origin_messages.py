"""Messages between VMs about the beginnings of streams."""

from typing import NamedTuple


class StreamOrigin(NamedTuple):
    """Beginning of a stream, which decides where it may go on.

    :param ident: id of the caller's attempt that brought the first event.
    :param workspace: workspace of the caller, empty without a key.
    :param service: service that answers the attempt.
    :param version: software version of the target that sent the first event.
    """

    ident: str
    workspace: str
    service: str
    version: str


class OriginQuery(NamedTuple):
    """Query for the origin of a stream.

    :param ident: id of the attempt that brought the first event.
    """

    ident: str


class OriginReply(NamedTuple):
    """Reply with the origin of a stream, ``None`` when it is unknown."""

    origin: StreamOrigin | None
