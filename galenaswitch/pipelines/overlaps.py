"""Choice between a silent engine and its successor, which is silent as well.

It depends on what is left if the choice is wrong.
"""

from typing import NamedTuple

from galenaswitch.pipelines.streams import RECHECK_SECONDS

# Longest time in seconds for which two engines work on one request.
OVERLAP_SECONDS = 0.3
# Seconds of silence after which a successor is tried once more that was ended
# for its own silence. Sound engines have gone on after up to 2.5 s; at the end
# of the second overlap the silent attempt is closed.
SECOND_TRY_SECONDS = 2.4


class Overlap(NamedTuple):
    """What is left at the end of an overlap in which no engine has gone on.

    :param engine_left: whether an engine that hasn't failed the request could
        take it if the successor fails. The silent one is one of them.
    :param retry_left: whether the budget has a retry for that.
    :param is_alive: whether the silent engine reports its load.
    :param was_spared: whether a successor of the request was ended before.
    """

    engine_left: bool
    retry_left: bool
    is_alive: bool = True
    was_spared: bool = False

    @property
    def keeps_successor(self) -> bool:
        """Whether the successor has the request, not the silent attempt.

        One successor of a request is ended, since the next one may be as slow
        and the silent attempt may be dead.

        >>> Overlap(engine_left=True, retry_left=True).keeps_successor
        True
        >>> Overlap(engine_left=True, retry_left=False).keeps_successor
        False
        """
        is_replaceable = self.engine_left or not self.is_alive
        return self.was_spared or (self.retry_left and is_replaceable)


def find_second_try(silent_seconds: float) -> float:
    """Return the seconds until a successor that was ended is tried again.

    >>> find_second_try(1.5) < 1, find_second_try(4)
    (True, 0.25)
    """
    return max(RECHECK_SECONDS, SECOND_TRY_SECONDS - silent_seconds)
