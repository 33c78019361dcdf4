"""Separation of a stream into complete server-sent events.

A target may fail in the middle of an event. Only complete events are forwarded,
so that another target can resume the stream after the last of them. What
follows must be an event of the same stream: an error that a target writes into
its answer isn't.
"""

EVENT_END = b'\n\n'
ID_FIELD = b'id:'
COMMENT = b':'
# Largest size in bytes of an event that the buffer holds until it is complete.
MAX_EVENT_BYTES = 1_048_576
# Longest id that is compared as a number. Callers and targets choose the ids.
MAX_NUMBER_DIGITS = 18


class EventBuffer:
    r"""Holds back the end of a stream until its last event is complete.

    ``has_events`` tells whether the current target has sent an event, and
    ``count`` counts the events of all targets.

    >>> buffer = EventBuffer()
    >>> buffer.feed(b'id: 1\ndata: a\n\nid: 2\nda')
    b'id: 1\ndata: a\n\n'
    >>> buffer.last_id, buffer.has_partial_event
    ('1', True)
    >>> buffer.feed(b'ta: b\n\nfailed\n\n'), buffer.is_broken
    (b'id: 2\ndata: b\n\n', True)
    """

    def __init__(self, last_id: str = '') -> None:
        """Build a buffer for a stream that starts after event ``last_id``."""
        self.last_id = last_id
        self.is_broken = False
        self.has_events = False
        self.count = 0
        self._partial_event = bytearray()

    @property
    def has_partial_event(self) -> bool:
        """Whether the buffer holds part of an event."""
        return bool(self._partial_event)

    @property
    def partial_bytes(self) -> int:
        """Size of the incomplete event in bytes."""
        return len(self._partial_event)

    @property
    def is_oversized(self) -> bool:
        """Whether the incomplete event is larger than the limit."""
        return len(self._partial_event) > MAX_EVENT_BYTES

    def feed(self, chunk: bytes) -> bytes:
        """Add bytes of a stream and return the events that are complete.

        Nothing from the first bytes on that are no event of the stream is
        returned; ``is_broken`` tells of them.
        """
        # The end of an event may begin with the last byte received before.
        searched = max(0, len(self._partial_event) - len(EVENT_END) + 1)
        self._partial_event += chunk
        end = self._partial_event.rfind(EVENT_END, searched)
        if end < 0:
            return b''
        end += len(EVENT_END)
        complete = bytes(self._partial_event[:end])
        self._partial_event = self._partial_event[end:]
        return self._take_events(complete)

    def restart(self) -> None:
        """Discard what a target that failed sent behind its last event."""
        self._partial_event.clear()
        self.is_broken = False
        self.has_events = False

    def _take_events(self, complete: bytes) -> bytes:
        """Return the bytes up to the first that are no event of the stream."""
        taken = 0
        while taken < len(complete):
            end = complete.index(EVENT_END, taken) + len(EVENT_END)
            if not self._accept(complete[taken:end]):
                self.is_broken = True
                break
            taken = end
        return complete[:taken]

    def _accept(self, event: bytes) -> bool:
        """Tell whether bytes are the stream's next event, or a comment."""
        lines = event.rstrip(b'\n').split(b'\n')
        if all(line.startswith(COMMENT) for line in lines):
            return True
        idents = [line for line in lines if line.startswith(ID_FIELD)]
        if len(idents) != 1:
            return False
        ident = idents[0].removeprefix(ID_FIELD).strip().decode('latin-1')
        if not _follows(ident, self.last_id):
            return False
        self.last_id = ident
        self.has_events = True
        self.count += 1
        return True


def _follows(ident: str, last_id: str) -> bool:
    """Tell whether an event may come after another one.

    >>> _follows('10', '9'), _follows('9', '9'), _follows('1', '')
    (True, False, True)
    """
    is_number = ident.isdecimal() and last_id.isdecimal()
    if is_number and max(len(ident), len(last_id)) <= MAX_NUMBER_DIGITS:
        return int(ident) > int(last_id)
    return ident != last_id
