"""Log of store entries that can't be read, with one line for each version."""

from galenaswitch.operations.logs import get_logger
from galenaswitch.store.objects import StoredObject
from galenaswitch.store.versions import format_version

# Entries whose last line is remembered. Beyond that, the oldest are forgotten.
MAX_REMEMBERED = 4096
# Longest name and reason in a line.
MAX_TEXT_LENGTH = 200


class UnreadableLog:
    """Logs entries of one kind that can't be read."""

    def __init__(self, noun: str, *, is_error: bool = False) -> None:
        """Build a log that has reported nothing.

        :param noun: what an entry stands for, in the event and as its field.
        :param is_error: whether a line is an error rather than a warning.
        """
        self._noun = noun
        self._is_error = is_error
        self._versions: dict[str, int] = {}

    def report(self, stored: StoredObject, reason: str) -> None:
        """Log an entry unless this version of it has been logged.

        :param reason: why the content isn't valid, if it could be decoded.
        """
        if self._versions.pop(stored.name, None) != stored.version:
            logger = get_logger()
            log = logger.error if self._is_error else logger.warning
            log(
                f'{self._noun}_unreadable',
                revision=format_version(stored.version),
                reason=(
                    reason[:MAX_TEXT_LENGTH] if stored.body else 'no content'
                ),
                **{self._noun: stored.name[:MAX_TEXT_LENGTH]},
            )
        self._versions[stored.name] = stored.version
        if len(self._versions) > MAX_REMEMBERED:
            self._versions.pop(next(iter(self._versions)))
