"""Filters that let a socket drop packets by the address that they come from.

Unlike a proxy that stops forwarding, a filtered listener doesn't complete the
handshake of a connection either.
"""

import ctypes
import socket
import struct
from collections.abc import Collection

# Option of a socket, which the module socket doesn't name.
SO_ATTACH_FILTER = 26
# Offset of a packet's source address in what a filter reads, and the codes of
# its instructions.
SOURCE_ADDRESS_OFFSET = 0xFFF0000C
LOAD_WORD, JUMP_IF_EQUAL, RETURN = 0x20, 0x15, 0x6
ACCEPT, DROP = 0xFFFFFFFF, 0
Instruction = tuple[int, int, int, int]


def drop_packets(filtered: socket.socket, addresses: Collection[str]) -> None:
    """Drop what comes from some addresses, in place of an earlier filter.

    :param addresses: IPv4 addresses, none to accept all packets.
    :raises OSError: when the system has no such filters.
    """
    program = _make_program(addresses)
    packed = b''.join(struct.pack('HBBI', *one) for one in program)
    code = ctypes.create_string_buffer(packed)
    option = struct.pack('HP', len(program), ctypes.addressof(code))
    filtered.setsockopt(socket.SOL_SOCKET, SO_ATTACH_FILTER, option)


def _make_program(addresses: Collection[str]) -> list[Instruction]:
    numbers = [
        int.from_bytes(socket.inet_aton(address)) for address in addresses
    ]
    # A jump skips the comparisons that are left, and the first return.
    return [
        (LOAD_WORD, 0, 0, SOURCE_ADDRESS_OFFSET),
        *(
            (JUMP_IF_EQUAL, len(numbers) - index, 0, number)
            for index, number in enumerate(numbers)
        ),
        (RETURN, 0, 0, ACCEPT),
        (RETURN, 0, 0, DROP),
    ]
