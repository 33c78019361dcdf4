"""Frame format of the links between the system's processes.

A frame is one msgpack array ``[protocol, sequence, reply_to, name, fields]``.
Messages are ``NamedTuple`` types whose fields travel by position.

For compatibility between versions, a message type only gains fields at its
end, each with a default: a receiver ignores extra fields and uses the default
of missing fields. Frames above :data:`MAX_FRAME_BYTES` are rejected.
"""

from collections.abc import Iterator
from typing import Any, NamedTuple

import msgpack
from pydantic import TypeAdapter, ValidationError

from galenaswitch.errors import PeerRejectedError

PROTOCOL = 2
MAX_FRAME_BYTES = 8 * 1024 * 1024
_FRAME_PARTS = 5


class Frame(NamedTuple):
    """One decoded frame.

    :param sequence: sequence number of the frame in its direction, from 1.
    :param reply_to: sequence number of the answered frame, or 0.
    :param name: name of the message type.
    :param fields: values of the message's fields in their order.
    """

    sequence: int
    reply_to: int
    name: str
    fields: list[Any]


class PackedMessage(NamedTuple):
    """Message whose fields are encoded, to be sent on several links.

    :param name: name of the message type.
    :param fields: its fields, encoded.
    """

    name: str
    fields: bytes


class Vocabulary:
    """Set of message types that a process can decode."""

    def __init__(self, *types: Any) -> None:
        """Build a vocabulary from ``NamedTuple`` classes.

        :param types: message classes, known on links by their class names.
        """
        self._types = {kind.__name__: kind for kind in types}
        self._adapters = {kind.__name__: TypeAdapter(kind) for kind in types}

    def decode(self, frame: Frame) -> Any:
        """Decode a frame into its typed message.

        :returns: the message, or ``None`` for an unknown message type.
        :raises PeerRejectedError: when a field has the wrong type or a
            required field is missing.
        """
        kind = self._types.get(frame.name)
        if kind is None:
            return None
        known_fields = frame.fields[: len(kind._fields)]
        try:
            return self._adapters[frame.name].validate_python(known_fields)
        except ValidationError as error:
            raise PeerRejectedError(f'invalid {frame.name} message') from error


def pack_message(message: Any) -> PackedMessage:
    """Encode a message for any number of frames."""
    if isinstance(message, PackedMessage):
        return message
    return PackedMessage(type(message).__name__, msgpack.packb(message))


def encode_frame(sequence: int, reply_to: int, message: Any) -> bytes:
    """Encode a message as a frame.

    :param reply_to: sequence number of the answered frame, or 0.
    :param message: message, which may be packed already.

    >>> class Ping(NamedTuple):
    ...     note: str
    >>> unpack_frame(msgpack.unpackb(encode_frame(1, 0, Ping('hi')))).fields
    ['hi']
    """
    packed = pack_message(message)
    packer = msgpack.Packer(autoreset=False)
    packer.pack_array_header(_FRAME_PARTS)
    for part in (PROTOCOL, sequence, reply_to, packed.name):
        packer.pack(part)
    head: bytes = packer.bytes()
    return head + packed.fields


def unpack_frame(parts: Any) -> Frame:
    """Validate the structure of a frame that msgpack has decoded.

    :raises PeerRejectedError: when the value is no frame of this protocol
        version.
    """
    if not isinstance(parts, list) or len(parts) < _FRAME_PARTS:
        raise PeerRejectedError(
            'frame is not an array of five or more elements',
        )
    if parts[0] != PROTOCOL:
        raise PeerRejectedError(f'protocol {parts[0]!r}, not {PROTOCOL}')
    frame = Frame(*parts[1:_FRAME_PARTS])
    numbers_valid = isinstance(frame.sequence, int) and isinstance(
        frame.reply_to,
        int,
    )
    content_valid = isinstance(frame.name, str) and isinstance(
        frame.fields,
        list,
    )
    if not (numbers_valid and content_valid):
        raise PeerRejectedError('a frame element has the wrong type')
    return frame


class FrameDecoder:
    """Decodes the frames of a link as they arrive, in a bounded buffer."""

    def __init__(self) -> None:
        """Build a decoder at the begin of a link."""
        self._chunk = b''
        self._unpacker = msgpack.Unpacker(max_buffer_size=MAX_FRAME_BYTES)
        self._received_bytes = 0

    @property
    def undecoded(self) -> bytes:
        """Bytes that have arrived behind the last frame decoded."""
        left_bytes = self._received_bytes - self._unpacker.tell()
        return self._chunk[len(self._chunk) - left_bytes :]

    def decode(self, chunk: bytes) -> Iterator[Frame]:
        """Decode the frames that are complete with some more bytes.

        Nothing is decoded behind a frame until the next one is asked for.

        :raises PeerRejectedError: when the bytes are no frames, or exceed the
            size limit.
        """
        try:
            self._unpacker.feed(chunk)
        except msgpack.BufferFull as error:
            raise PeerRejectedError('a frame exceeds the size limit') from error
        self._chunk = chunk
        self._received_bytes += len(chunk)
        try:
            for parts in self._unpacker:
                yield unpack_frame(parts)
        except (ValueError, msgpack.UnpackException) as error:
            raise PeerRejectedError('data is not valid msgpack') from error
