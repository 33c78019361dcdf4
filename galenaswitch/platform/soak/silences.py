"""Silences of sound targets, which send nothing for a time and go on."""

import asyncio
import contextlib
from collections.abc import Callable, Iterator
from itertools import product
from typing import NamedTuple

from galenaswitch.platform.soak.records import Records, RunSpan

PLACES = ('head', 'middle', 'end')
# The longest come first, so that short runs have them, too.
DURATIONS_SECONDS = (2.5, 1.5, 1.1, 0.8)


class Silence(NamedTuple):
    """Silence of a target during one answer.

    :param place: part of the answer before which the target is silent, one of
        ``PLACES``, empty for none.
    :param seconds: duration.
    """

    place: str = ''
    seconds: float = 0

    async def keep(self, place: str) -> None:
        """Send nothing for the duration if the silence is at this place."""
        if place == self.place:
            await asyncio.sleep(self.seconds)


NO_SILENCE = Silence()
ALL_SILENCES = tuple(
    Silence(place, seconds)
    for seconds, place in product(DURATIONS_SECONDS, PLACES)
)


@contextlib.contextmanager
def record_span(
    records: Records,
    span: RunSpan,
    now: Callable[[], float],
) -> Iterator[None]:
    """Record when and how a run at a target ends.

    :param span: the run, without its end.
    :param now: returns the seconds since the start of the soak.
    """
    ending = 'failed'
    try:
        yield
    except asyncio.CancelledError:
        ending = 'closed'
        raise
    else:
        ending = 'complete'
    finally:
        ended = span._replace(ended_at=now(), ending=ending)
        records.spans.append(ended)
