"""Options of TCP sockets that find peers which fell silent."""

import asyncio
import contextlib
import socket

# Longest time in ms that sent bytes may stay unacknowledged: below the
# bound in which a partitioned peer has to be noticed (contact, 3 s).
USER_TIMEOUT_MS = 2500
# Seconds without traffic before the kernel probes, between probes, and the
# number of lost probes that end a connection.
PROBE_IDLE_SECONDS = 1
PROBE_PAUSE_SECONDS = 1
PROBES = 2


def watch_silence(transport: asyncio.BaseTransport) -> None:
    """Let the kernel end a connection whose peer is silent."""
    raw = transport.get_extra_info('socket')
    if raw is None:
        return
    options = (
        (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
        (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
        (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS),
        (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, PROBE_IDLE_SECONDS),
        (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, PROBE_PAUSE_SECONDS),
        (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, PROBES),
    )
    # The peer may have closed already; its end is reported as usual.
    with contextlib.suppress(OSError):
        for option in options:
            raw.setsockopt(*option)
