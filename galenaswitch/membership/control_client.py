"""What an entry's slices need to ask the control process."""

from typing import Any, Protocol


class ControlClient(Protocol):
    """Sends a question to the control process."""

    async def request(self, message: Any, seconds: float) -> Any:
        """Return the reply; raises ``PeerError``."""

    def send(self, message: Any) -> None:
        """Push a message; raises ``PeerError``."""
