"""Decides which zones get nothing; it has no clock and no network.

Each VM decides for itself from the entries that it knows. There are no messages
of their own: the entries are passed on like all other objects of the store.
"""

import math
from collections.abc import Iterable
from typing import NamedTuple, Protocol


class ZoneRule(Protocol):
    """Rule that names the zones whose targets get nothing."""

    def excludes(self, zone: str) -> bool:
        """Tell whether nothing may be sent to the targets of a zone."""

    def find_age(self, zone: str, now: float) -> float:
        """Return for how many seconds a zone has been excluded.

        :param now: monotonic time in seconds.
        """


class NoZones:
    """Rule of a deployment that doesn't evacuate zones."""

    def excludes(self, zone: str) -> bool:
        """Exclude no zone."""
        return False

    def find_age(self, zone: str, now: float) -> float:
        """Return 0, as no zone is excluded."""
        return 0


class UnknownZones:
    """Rule of a VM that doesn't know yet which zones are evacuated."""

    def excludes(self, zone: str) -> bool:
        """Exclude each zone, as any may be evacuated."""
        return True

    def find_age(self, zone: str, now: float) -> float:
        """Return infinity, as the begin isn't known."""
        return math.inf


class ZoneChange(NamedTuple):
    """Change of the evacuated zones.

    :param began: zones that are evacuated from now on.
    :param ended: zones that were, and for how many seconds.
    """

    began: tuple[str, ...]
    ended: dict[str, float]


class EvacuatedZones:
    """Rule of a VM that knows which zones are evacuated.

    >>> zones = EvacuatedZones()
    >>> zones.apply({'north'}, now=1)
    ZoneChange(began=('north',), ended={})
    >>> zones.excludes('north'), zones.excludes('south')
    (True, False)
    >>> zones.apply(set(), now=5)
    ZoneChange(began=(), ended={'north': 4})
    """

    def __init__(self) -> None:
        """Build a rule that excludes no zone."""
        self._began_at: dict[str, float] = {}

    def apply(self, zones: Iterable[str], now: float) -> ZoneChange:
        """Replace the evacuated zones and return what changed.

        :param now: monotonic time in seconds.
        """
        wanted = set(zones)
        began = tuple(sorted(wanted - self._began_at.keys()))
        ended = {
            zone: now - self._began_at.pop(zone)
            for zone in sorted(self._began_at.keys() - wanted)
        }
        self._began_at.update(dict.fromkeys(began, now))
        return ZoneChange(began, ended)

    def excludes(self, zone: str) -> bool:
        """Tell whether a zone is evacuated."""
        return zone in self._began_at

    def find_age(self, zone: str, now: float) -> float:
        """Return for how many seconds a zone has been evacuated."""
        return now - self._began_at.get(zone, now)
