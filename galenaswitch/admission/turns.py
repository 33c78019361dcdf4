"""How long a request waits where all engines have named a limit."""

from collections.abc import Sequence

from galenaswitch.limits.pacing import Pacer


def find_turn_wait(
    pacer: Pacer, incarnations: Sequence[str], ahead: int, now: float
) -> float:
    """Return the seconds until the limits of engines leave a turn.

    It is 0 as long as one engine has no limit.

    :param incarnations: engines that may run the request.
    :param ahead: number of requests that are placed before it.
    """
    rates = [pacer.rates.get(one) for one in incarnations]
    if not rates or None in rates:
        return 0
    first_turn = min(pacer.find_wait(one, now) for one in incarnations)
    return first_turn + ahead / sum(filter(None, rates))


def find_useful_wait(start_in: float, left: float) -> float:
    """Return the longest useful wait for a turn in seconds.

    A request that can be on time may wait as long as it stays so, a late one
    for half of its time, since it has to run in the rest.
    """
    useful_wait = min(start_in, left)
    return useful_wait if useful_wait > 0 else left / 2
