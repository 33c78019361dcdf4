"""The entry process's link to the control process on the same machine."""

import asyncio
import time
from typing import Any

from galenaswitch.errors import PeerClosedError, PeerError
from galenaswitch.membership.links import Link, LinkService, dial
from galenaswitch.operations.logs import get_logger

REDIAL_SECONDS = 0.2


class Uplink:
    """Keeps one link to the local control process open."""

    def __init__(self, address: str, port: int, service: LinkService) -> None:
        """Build a closed uplink to the control process at an address.

        :param service: identity and message handlers of this process.
        """
        self._address = address
        self._port = port
        self._service = service
        self._link: Link | None = None
        self._lost_at: float | None = None
        self.opened = asyncio.Event()

    async def keep_open(self) -> None:
        """Reconnect whenever the link closes, until cancelled."""
        while True:
            try:
                await self._serve_link()
            except (PeerError, OSError) as error:
                get_logger().info('control_unreachable', reason=str(error))
            await asyncio.sleep(REDIAL_SECONDS)

    async def request(self, message: Any, seconds: float) -> Any:
        """Send a request to the control process and return its reply.

        :param seconds: timeout of the reply.
        :raises PeerError: when the link is closed or no reply arrives.
        """
        return await self._open_link().request(message, seconds)

    def send(self, message: Any) -> None:
        """Push a message to the control process without a reply.

        :raises PeerClosedError: when the link is closed.
        """
        self._open_link().send(message)

    def disconnected_seconds(self) -> float:
        """Return the seconds since the link was lost, 0 if it is not lost."""
        if self._lost_at is None:
            return 0
        return time.monotonic() - self._lost_at

    def _open_link(self) -> Link:
        if self._link is None:
            raise PeerClosedError('no link to the control process is open')
        return self._link

    async def _serve_link(self) -> None:
        link = await dial(self._address, self._port, self._service)
        self._link = link
        self._lost_at = None
        self.opened.set()
        try:
            await link.serve()
        finally:
            self._link = None
            self._lost_at = time.monotonic()
            self.opened.clear()
            link.close()
