"""Base classes of the exceptions.

Every failure that the system handles has a type below :class:`GalenaError`.
Errors of a single component are defined in the modules of that component.
"""


class GalenaError(Exception):
    """Base class of every error raised by this package."""


class SettingsError(GalenaError):
    """A settings file is missing, unreadable or has an invalid entry."""


class DutyError(GalenaError):
    """A background task that a process needs failed, so the process ends."""


class InvalidInputError(GalenaError):
    """A document from an operator or a caller is invalid."""


class PeerError(GalenaError):
    """A link to another process of the system failed."""


class PeerTimeoutError(PeerError):
    """A peer did not reply in time; the peer may have acted."""


class PeerClosedError(PeerError):
    """The link closed before the reply; the peer may have acted."""


class PeerRejectedError(PeerError):
    """A peer sent invalid credentials or frames."""


class StoreError(GalenaError):
    """Base class of errors of the platform's object store."""


class StoreUnavailableError(StoreError):
    """The store did not answer; a write may or may not have taken effect."""


class StoreConflictError(StoreError):
    """A conditional write found another version of the object.

    :param current: version of the object in the store, 0 when it is absent.
    """

    def __init__(self, current: int) -> None:
        """Build the error from the version in the store."""
        super().__init__(f'the object in the store has version {current}')
        self.current = current


class StoreHistoryLostError(StoreError):
    """A watch requested changes that the store no longer has."""


class TargetError(GalenaError):
    """Base class of errors of one attempt at a target."""


class TargetUnreachableError(TargetError):
    """The connection to a target failed before the request was sent."""


class TargetBrokenError(TargetError):
    """The target or its connection failed; the attempt may have run."""


class TargetBusyError(TargetError):
    """The target refused the attempt without running it."""


class InputsLostError(TargetBusyError):
    """The target refused the attempt, because its input results are lost."""


class TargetLeavingError(TargetBusyError):
    """The target refused the attempt, because the target is shutting down."""


class TargetLateError(TargetError):
    """An attempt at a live target was abandoned, because it was too slow."""


class MismatchedAnswerError(TargetError):
    """A target's answer names another attempt, model or version."""
