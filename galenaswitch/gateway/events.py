"""Whole events of a stream.

A target may stop in the middle of an event. Only whole events are passed
on, so that a stream can go on at another target behind the last one.
"""

EVENT_END = b'\n\n'
ID_FIELD = b'id:'
# Largest event in bytes that is waited for.
MAX_EVENT_BYTES = 1_048_576


class EventBuffer:
    r"""Cuts a stream behind its last whole event.

    >>> buffer = EventBuffer()
    >>> buffer.feed(b'id: 1\ndata: a\n\nid: 2\nda')
    b'id: 1\ndata: a\n\n'
    >>> buffer.last_id, buffer.has_partial_event
    ('1', True)
    """

    def __init__(self, last_id: str = '') -> None:
        """Start behind the event ``last_id``, or before the first one."""
        self.last_id = last_id
        self._partial_event = b''

    @property
    def has_partial_event(self) -> bool:
        """Whether a part of an event is held back."""
        return bool(self._partial_event)

    @property
    def is_oversized(self) -> bool:
        """Whether what is held back can't be one event."""
        return len(self._partial_event) > MAX_EVENT_BYTES

    def feed(self, chunk: bytes) -> bytes:
        """Return the events that are whole now."""
        joined = self._partial_event + chunk
        end = joined.rfind(EVENT_END)
        if end < 0:
            self._partial_event = joined
            return b''
        end += len(EVENT_END)
        complete_events = joined[:end]
        self._partial_event = joined[end:]
        self._record_last_id(complete_events)
        return complete_events

    def drop_partial_event(self) -> None:
        """Forget a part of an event whose target stopped in it."""
        self._partial_event = b''

    def _record_last_id(self, complete_events: bytes) -> None:
        start = complete_events.rfind(ID_FIELD)
        while start > 0 and complete_events[start - 1 : start] != b'\n':
            start = complete_events.rfind(ID_FIELD, 0, start)
        if start >= 0:
            line = complete_events[start + len(ID_FIELD) :].partition(b'\n')[0]
            self.last_id = line.strip().decode('latin-1')
