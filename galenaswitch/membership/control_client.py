"""Interface through which an entry process queries its control process."""

from typing import Any, Protocol


class ControlClient(Protocol):
    """Sends messages and requests to the control process."""

    async def request(self, message: Any, seconds: float) -> Any:
        """Send a request and return its reply.

        :param seconds: longest wait for the reply.
        :raises PeerError: when the control process doesn't reply.
        """

    def send(self, message: Any) -> None:
        """Send a one-way message.

        :raises PeerError: when no link to the control process is open.
        """
