"""Interface for notices that a target is leaving."""

from typing import Protocol

from galenaswitch.membership.lists import LeavingSign


class LeavingSink(Protocol):
    """Receives notices of leaving targets from attempts."""

    def report_leaving(self, notice: LeavingSign) -> None:
        """Apply a leaving notice and send it to the zone."""
