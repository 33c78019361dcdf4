"""Separation of a stream into complete server-sent events.

A target may fail in the middle of an event. Only complete events are forwarded,
so that another target can resume the stream after the last of them.
"""

EVENT_END = b'\n\n'
ID_FIELD = b'id:'
# Largest size in bytes of an event that the buffer holds until it is complete.
MAX_EVENT_BYTES = 1_048_576


class EventBuffer:
    r"""Holds back the end of a stream until its last event is complete.

    >>> buffer = EventBuffer()
    >>> buffer.feed(b'id: 1\ndata: a\n\nid: 2\nda')
    b'id: 1\ndata: a\n\n'
    >>> buffer.last_id, buffer.has_partial_event
    ('1', True)
    """

    def __init__(self, last_id: str = '') -> None:
        """Build a buffer for a stream that starts after event ``last_id``."""
        self.last_id = last_id
        self._partial_event = bytearray()

    @property
    def has_partial_event(self) -> bool:
        """Whether the buffer holds part of an event."""
        return bool(self._partial_event)

    @property
    def is_oversized(self) -> bool:
        """Whether the incomplete event is larger than the limit."""
        return len(self._partial_event) > MAX_EVENT_BYTES

    def feed(self, chunk: bytes) -> bytes:
        """Add bytes of a stream and return the events that are complete."""
        # The end of an event may begin with the last byte received before.
        searched = max(0, len(self._partial_event) - len(EVENT_END) + 1)
        self._partial_event += chunk
        end = self._partial_event.rfind(EVENT_END, searched)
        if end < 0:
            return b''
        end += len(EVENT_END)
        complete_events = bytes(self._partial_event[:end])
        self._partial_event = self._partial_event[end:]
        self._record_last_id(complete_events)
        return complete_events

    def drop_partial_event(self) -> None:
        """Discard the incomplete event of a target that failed."""
        self._partial_event.clear()

    def _record_last_id(self, complete_events: bytes) -> None:
        at = complete_events.rfind(ID_FIELD)
        while at > 0 and complete_events[at - 1 : at] != b'\n':
            at = complete_events.rfind(ID_FIELD, 0, at)
        if at >= 0:
            line = complete_events[at + len(ID_FIELD) :].partition(b'\n')[0]
            self.last_id = line.strip().decode('latin-1')
