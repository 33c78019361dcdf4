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
    >>> buffer.last_id, buffer.pending
    ('1', True)
    """

    def __init__(self, last_id: str = '') -> None:
        """Start behind the event ``last_id``, or before the first one."""
        self.last_id = last_id
        self._rest = b''

    @property
    def pending(self) -> bool:
        """Whether a part of an event is held back."""
        return bool(self._rest)

    @property
    def overfull(self) -> bool:
        """Whether what is held back can't be one event."""
        return len(self._rest) > MAX_EVENT_BYTES

    def feed(self, chunk: bytes) -> bytes:
        """Return the events that are whole now."""
        joined = self._rest + chunk
        cut = joined.rfind(EVENT_END)
        if cut < 0:
            self._rest = joined
            return b''
        cut += len(EVENT_END)
        whole = joined[:cut]
        self._rest = joined[cut:]
        self._note_id(whole)
        return whole

    def drop_pending(self) -> None:
        """Forget a part of an event whose target stopped in it."""
        self._rest = b''

    def _note_id(self, whole: bytes) -> None:
        at = whole.rfind(ID_FIELD)
        while at > 0 and whole[at - 1 : at] != b'\n':
            at = whole.rfind(ID_FIELD, 0, at)
        if at >= 0:
            line = whole[at + len(ID_FIELD) :].partition(b'\n')[0]
            self.last_id = line.strip().decode('latin-1')
