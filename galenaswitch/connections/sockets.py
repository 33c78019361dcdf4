"""Options of TCP sockets that find peers which fell silent."""

import asyncio
import contextlib
import socket

# Longest time in ms that sent bytes may stay unacknowledged: below the
# bound in which a partitioned peer has to be noticed (contact, 3 s).
USER_TIMEOUT_MS = 2500
# Seconds without traffic before the kernel probes, between probes, and the
# number of lost probes that end a connection.
KEEPALIVE_IDLE_SECONDS = 1
KEEPALIVE_INTERVAL_SECONDS = 1
MAX_LOST_PROBES = 2


def enable_dead_peer_detection(transport: asyncio.BaseTransport) -> None:
    """Let the kernel end a connection whose peer is silent."""
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
    # The peer may have closed already; its end is reported as usual.
    with contextlib.suppress(OSError):
        for option in options:
            raw_socket.setsockopt(*option)
