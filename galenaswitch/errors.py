"""Root of the exception tree.

Every failure that the system can name has a type below
:class:`GalenaError`; each slice defines its own branch beside its code.
"""


class GalenaError(Exception):
    """Base class of every error raised by this package."""


class SettingsError(GalenaError):
    """A settings file is missing, unreadable or holds a wrong entry."""


class DutyError(GalenaError):
    """A background duty of a process failed, so the process ended."""


class InvalidInputError(GalenaError):
    """A document from an operator or a caller fails its checks."""


class PeerError(GalenaError):
    """A stream to another process of the system failed."""


class PeerTimeoutError(PeerError):
    """A peer did not reply in time; whether it acted is not known."""


class PeerClosedError(PeerError):
    """The stream closed before the reply; whether it acted is not known."""


class PeerRejectedError(PeerError):
    """The peer's credentials or frames are not acceptable."""


class StoreError(GalenaError):
    """Base class of failures of the platform's object store."""


class StoreUnavailableError(StoreError):
    """No answer from the store; a write may or may not have taken effect."""


class StoreConflictError(StoreError):
    """A conditional write found another version.

    :param current: version found in the store, 0 when the object is absent.
    """

    def __init__(self, current: int) -> None:
        """Keep the version found."""
        super().__init__(f'the object is at version {current}')
        self.current = current


class StoreHistoryLostError(StoreError):
    """A watch asked for changes that the store has dropped."""


class TargetError(GalenaError):
    """Base class of failures of one attempt at a target."""


class TargetUnreachableError(TargetError):
    """The connection failed before any byte of the request was sent."""


class TargetBrokenError(TargetError):
    """The target failed or broke off after the request may have begun."""


class TargetBusyError(TargetError):
    """The target refused the request without running it."""


class InputsLostError(TargetBusyError):
    """The target has not run it: results of stages that it reads are gone."""


class TargetLeavingError(TargetBusyError):
    """The target refused the request because it is leaving."""


class TargetLateError(TargetError):
    """A target that lives was given up, for another or at the deadline."""


class MismatchedAnswerError(TargetError):
    """An answer names another attempt, model or version."""
