"""Messages by which operators request the state dump of a process."""

from typing import Any, NamedTuple


class DumpRequest(NamedTuple):
    """Request for the state dump of a process.

    :param program: program on the receiving machine, ``control`` or ``entry``.
    """

    program: str


class DumpReply(NamedTuple):
    """Reply with the state dump of a process, which holds no secrets."""

    state: dict[str, Any]
