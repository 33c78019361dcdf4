"""What the VMs tell each other about their paths to the targets."""

import time
from collections.abc import Callable
from typing import Any, NamedTuple

from galenaswitch.membership.handshake import Identity
from galenaswitch.membership.links import Link
from galenaswitch.membership.mesh import Mesh
from galenaswitch.paths.messages import PathNote

# Seconds between two notes of a VM whose path is lost.
NOTE_INTERVAL_SECONDS = 1.0
# Seconds for which a note holds; the VM may have stopped since.
NOTE_SECONDS = 3.0


class _Known(NamedTuple):
    note: PathNote
    ends_at: float


class PathNotes:
    """Newest notes of all VMs about their paths.

    :ivar on_lost: called with the name of another VM whose path is lost.
    """

    def __init__(self, identity: Identity, mesh: Mesh) -> None:
        """Build notes of sound paths.

        :param identity: identity of this process.
        """
        self._identity = identity
        self._mesh = mesh
        self.on_lost: Callable[[str], Any] = lambda node: None
        self._known: dict[str, _Known] = {}
        self._sequence = 0

    def handlers(self) -> dict[type[Any], Any]:
        """Return the handlers of the messages from other VMs."""
        return {PathNote: self._receive}

    def is_lost(self, node: str) -> bool:
        """Tell whether a VM has lost its path to the targets."""
        known = self._known.get(node)
        if known is None or not known.note.is_lost:
            return False
        return known.ends_at > time.monotonic()

    def send(self, *, is_lost: bool) -> None:
        """Tell all VMs the state of this VM's path."""
        self._sequence += 1
        note = PathNote(
            self._identity.node,
            self._identity.incarnation,
            self._sequence,
            is_lost,
        )
        self._record(note)
        self._mesh.spread(note, None)

    def _receive(self, link: Link, note: PathNote) -> None:
        if note.node != self._identity.node and self._record(note):
            self._mesh.spread(note, link)
            if note.is_lost:
                self.on_lost(note.node)

    def _record(self, note: PathNote) -> bool:
        """Record a note and return whether it is new."""
        known = self._known.get(note.node)
        is_same = known and known.note.incarnation == note.incarnation
        if known and is_same and known.note.sequence >= note.sequence:
            return False
        ends_at = time.monotonic() + NOTE_SECONDS
        self._known[note.node] = _Known(note, ends_at)
        return True
