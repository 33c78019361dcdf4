"""TCP socket options that detect dead peers.

The kernel closes a connection when sent bytes or keep-alive probes stay
unacknowledged.
"""

import asyncio
import contextlib
import fcntl
import re
import socket
import struct
import termios
from typing import Any

# Longest time in milliseconds that sent bytes may stay unacknowledged. It is
# shorter than the 3 s within which a partitioned peer must be detected.
USER_TIMEOUT_MS = 2500
# Seconds without traffic before the kernel sends its first keep-alive probe.
KEEPALIVE_IDLE_SECONDS = 1
# Seconds between two keep-alive probes.
KEEPALIVE_INTERVAL_SECONDS = 1
# Number of unanswered keep-alive probes after which a connection is closed.
MAX_LOST_PROBES = 2
MAX_PORT = 65_535
# Value of SO_LINGER after which a close discards unsent bytes and resets the
# connection.
RESET_LINGER = struct.pack('ii', 1, 0)
# State of an open connection in the first byte of the kernel's TCP_INFO.
ESTABLISHED = b'\x01'
# Size of the C integer in which the kernel returns a number of bytes.
COUNT_BYTES = 4
# Longest host name, and a port.
MAX_ADDRESS_LENGTH = 260
_ADDRESS = re.compile(r'([^\s:]{1,253}):([1-9][0-9]{0,4})')


def split_address(address: str) -> tuple[str, int]:
    """Return the host and the port of an address.

    :raises ValueError: when the address isn't a host and a decimal port.

    >>> split_address('127.0.0.1:8080')
    ('127.0.0.1', 8080)
    """
    found = _ADDRESS.fullmatch(address)
    port = int(found[2]) if found else 0
    if found is None or port > MAX_PORT:
        shown = address[:MAX_ADDRESS_LENGTH]
        raise ValueError(f'no host and port in address {shown!r}')
    return found[1], port


def enable_dead_peer_detection(transport: asyncio.BaseTransport) -> None:
    """Let the kernel close a connection whose peer no longer responds.

    Nagle's algorithm is disabled too, so that small writes are sent at once.
    """
    raw_socket = transport.get_extra_info('socket')
    if raw_socket is None:
        return
    options = (
        (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
        (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
        (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS),
        (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_SECONDS),
        (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_SECONDS),
        (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, MAX_LOST_PROBES),
    )
    # Setting an option fails when the peer has already closed the connection;
    # the event loop reports that to the protocol as usual.
    with contextlib.suppress(OSError):
        for option in options:
            raw_socket.setsockopt(*option)


def reset(transport: Any) -> None:
    """Reset a connection, so that its unsent bytes never reach the peer.

    A transport that is aborted only drops its own buffer: the kernel would go
    on to send what it holds, also after a partition.
    """
    raw_socket = transport.get_extra_info('socket')
    # The descriptor of a transport that is closing may be another socket's.
    if raw_socket is not None and not transport.is_closing():
        with contextlib.suppress(OSError):
            raw_socket.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, RESET_LINGER
            )
    transport.abort()


def is_ended_by_peer(transport: Any) -> bool:
    """Tell whether the peer has closed or reset a connection.

    The event loop doesn't report it while reading is paused.
    """
    raw_socket = transport.get_extra_info('socket')
    if raw_socket is None or transport.is_closing():
        return False
    state = raw_socket.getsockopt(
        socket.IPPROTO_TCP, socket.TCP_INFO, len(ESTABLISHED)
    )
    return bool(state != ESTABLISHED)


def has_unsent_bytes(transport: Any) -> bool:
    """Tell whether the peer has not acknowledged all that was written."""
    if transport.is_closing():
        return False
    return bool(transport.get_write_buffer_size()) or _has_bytes(
        transport, termios.TIOCOUTQ
    )


def has_unread_bytes(transport: asyncio.BaseTransport) -> bool:
    """Tell whether bytes of the peer wait in the kernel to be read."""
    return _has_bytes(transport, termios.FIONREAD)


def _has_bytes(transport: asyncio.BaseTransport, query: int) -> bool:
    raw_socket = transport.get_extra_info('socket')
    if raw_socket is None or raw_socket.fileno() < 0:
        return False
    return any(fcntl.ioctl(raw_socket.fileno(), query, bytes(COUNT_BYTES)))
