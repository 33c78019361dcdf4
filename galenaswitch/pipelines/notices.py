"""Receivers of what attempts learn about leaving and failing targets."""

from typing import NamedTuple, Protocol

from galenaswitch.membership.lists import LeavingSign
from galenaswitch.pipelines.crashes import CrashGuard


class LeavingSink(Protocol):
    """Receives notices of leaving targets from attempts."""

    def report_leaving(self, notice: LeavingSign) -> None:
        """Apply a leaving notice and send it to the zone."""


class FailureSinks(NamedTuple):
    """Receivers of the failures of attempts.

    :param notices: receives notices of targets that are leaving.
    :param guard: keeps requests that crash targets away from them.
    """

    notices: LeavingSink
    guard: CrashGuard
