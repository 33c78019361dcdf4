"""Reservation of TCP ports for the processes of a deployment.

A pool holds each reserved port with a bound socket, so that two deployments
on the same machine never get the same port.
"""

import random
import socket

FIRST_PORT = 10_000
LAST_PORT = 32_000


class PortPool:
    """TCP ports that stay reserved until the pool releases them.

    The pool binds a socket to each reserved port without listening on it, so
    that no other pool gets the port. The process that the port is reserved
    for can still listen on it, because ``asyncio`` servers set SO_REUSEADDR.

    >>> pool = PortPool()
    >>> port = pool.reserve()
    >>> FIRST_PORT <= port <= LAST_PORT
    True
    >>> pool.release()
    """

    def __init__(self) -> None:
        """Build a pool without reserved ports."""
        self._bound_sockets: list[socket.socket] = []
        self._random = random.SystemRandom()

    def reserve(self) -> int:
        """Reserve a TCP port that is free on all addresses, and return it.

        The port is below the range of ephemeral ports, so an outgoing
        connection can't occupy it before the process listens on it.
        """
        while True:
            port = self._random.randint(FIRST_PORT, LAST_PORT)
            bound_socket = socket.socket()
            try:
                bound_socket.bind(('0.0.0.0', port))
            except OSError:
                bound_socket.close()
                continue
            # Set the option after the bind: with SO_REUSEADDR the bind would
            # succeed on a port that another pool has reserved.
            bound_socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            self._bound_sockets.append(bound_socket)
            return port

    def release(self) -> None:
        """Release all reserved ports."""
        for bound_socket in self._bound_sockets:
            bound_socket.close()
        self._bound_sockets.clear()
