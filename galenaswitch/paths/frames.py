"""Format of the bytes that an exit sends through a tunnel.

The bytes of the target travel in frames: four bytes with the length, then as
many bytes. An empty frame says that the target has closed in order. A tunnel
that ends without one has been broken off, by the target or with the exit.
"""

from collections.abc import Iterator

HEAD_BYTES = 4
CLOSED_FRAME = bytes(HEAD_BYTES)


def encode_chunk(chunk: bytes) -> bytes:
    """Return the frame of some bytes.

    >>> encode_chunk(b'ok').hex()
    '000000026f6b'
    """
    return len(chunk).to_bytes(HEAD_BYTES, 'big') + chunk


class FrameReader:
    """Takes frames apart, as far as they have arrived.

    >>> reader = FrameReader()
    >>> list(reader.read(encode_chunk(b'ok')[:5]))
    [b'o']
    >>> list(reader.read(b'k' + CLOSED_FRAME)), reader.is_closed
    ([b'k'], True)
    """

    def __init__(self) -> None:
        """Build a reader at the begin of a tunnel."""
        self.is_closed = False
        self._head = b''
        self._left_bytes = 0

    def read(self, received: bytes) -> Iterator[bytes]:
        """Return the bytes of the target among those that have arrived."""
        while received and not self.is_closed:
            if self._left_bytes:
                chunk = received[: self._left_bytes]
                received = received[self._left_bytes :]
                self._left_bytes -= len(chunk)
                yield chunk
            else:
                received = self._read_head(received)

    def _read_head(self, received: bytes) -> bytes:
        """Read the length of a frame and return the bytes behind it."""
        missing = HEAD_BYTES - len(self._head)
        self._head += received[:missing]
        if len(self._head) == HEAD_BYTES:
            self._left_bytes = int.from_bytes(self._head, 'big')
            self.is_closed = not self._left_bytes
            self._head = b''
        return received[missing:]
