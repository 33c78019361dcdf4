"""Keeps the evacuated zones of a VM up to date from the store or from peers."""

import time
from collections.abc import Callable
from typing import Any, Protocol

from galenaswitch.errors import InvalidInputError
from galenaswitch.evacuation.zones import EvacuatedZones, UnknownZones
from galenaswitch.following.following import Following
from galenaswitch.membership.lists import Members
from galenaswitch.operations.logs import get_logger
from galenaswitch.operations.metrics import Metrics
from galenaswitch.store.cache import GRACE_SECONDS, ObjectCache, WriterOrder
from galenaswitch.store.objects import StoredObject
from galenaswitch.store.registry import Follower, Registry
from galenaswitch.store.unreadable import UnreadableLog
from galenaswitch.store.versions import format_version, split_version

# Time in seconds that a watch may take beyond the wait that it asks for, and to
# bring into force what the listing after it shows.
WATCH_MARGIN_SECONDS = 1.0
# Bounds in seconds of the longest wait of a watch, whatever the settings say.
MIN_WATCH_SECONDS = 0.5
MAX_WATCH_SECONDS = 4.0


class EntryReader(Protocol):
    """Decoder of the entries that evacuate zones.

    :ivar kind: kind of the entries in the store.
    """

    kind: str

    def read(self, name: str, body: Any) -> str:
        """Return the zone of an entry.

        :raises InvalidInputError: when the entry is not valid.
        """


class EvacuationSync:
    """Evacuated zones as this VM knows them.

    :ivar on_ended: receives each zone that is no longer evacuated.
    """

    def __init__(
        self, members: Members, metrics: Metrics, reader: EntryReader
    ) -> None:
        """Build the sync of a deployment that evacuates no zones.

        :param members: leave out the targets of evacuated zones.
        :param reader: decodes the entries of the store.
        """
        self._members = members
        self._metrics = metrics
        self._reader = reader
        self._zones = EvacuatedZones()
        self._unreadable = UnreadableLog('evacuation', is_error=True)
        self._unlisted: set[str] = set()
        self.on_ended: Callable[[str], None] = lambda zone: None
        self._follower: Follower | None = None

    @property
    def is_known(self) -> bool:
        """Whether this VM knows which zones are evacuated, if any may be."""
        return self._follower is None or self._follower.has_listing

    def enable(
        self,
        store: Registry,
        following: Following,
        bound_seconds: float | None,
    ) -> None:
        """Follow the evacuations, if the settings ask for it.

        Until they are known, all targets are left out.

        :param bound_seconds: time after which nothing may be sent to an
            evacuated zone; ``None`` if no zone is ever evacuated.
        """
        if bound_seconds is None:
            return
        self._members.apply_zone_rule(UnknownZones())
        self._follower = Follower(
            store,
            self._reader.kind,
            self._apply,
            find_watch_seconds=lambda: find_watch_seconds(bound_seconds),
            cache=ObjectCache(find_order, GRACE_SECONDS),
            takes_stale=False,
        )
        following.add(self._follower, max_unfed_seconds=bound_seconds / 2)

    def _apply(self, held: ObjectCache) -> None:
        """Bring into force which zones are evacuated.

        An entry that can't be read changes nothing: its zone stays evacuated
        or not.
        """
        now = time.monotonic()
        zones = set()
        for stored in held.objects.values():
            try:
                zones.add(self._reader.read(stored.name, stored.body))
            except InvalidInputError as error:
                self._unreadable.report(stored, str(error))
                if self._zones.excludes(stored.name):
                    zones.add(stored.name)
        self._report_unlisted(zones)
        change = self._zones.apply(zones, now)
        self._members.apply_zone_rule(self._zones)
        for zone in change.began:
            self._log('evacuation_began', zone, held)
        for zone, seconds in change.ended.items():
            self._log('evacuation_ended', zone, held, round(seconds, 3))
            self.on_ended(zone)

    def _report_unlisted(self, zones: set[str]) -> None:
        """Report zones of no target, once for each.

        Such an entry has no effect, but targets of the zone may come back.
        """
        targets = self._members.member_list.targets
        if not targets:
            return
        unlisted = zones - {target.zone for target in targets}
        for zone in sorted(unlisted - self._unlisted):
            get_logger().error('evacuation_unlisted', zone=zone)
        self._unlisted = unlisted

    def _log(
        self, event: str, zone: str, held: ObjectCache, seconds: float = 0
    ) -> None:
        """Log a decision with its inputs.

        :param seconds: time for which the zone was evacuated.
        """
        follower = self._follower
        get_logger().info(
            event,
            zone=zone,
            targets=sum(
                one.zone == zone for one in self._members.member_list.targets
            ),
            revision=format_version(held.revision),
            reachable=bool(follower and follower.reachable),
            seconds=seconds,
        )
        self._metrics.count(event)


def find_order(stored: StoredObject) -> WriterOrder:
    """Return the order of an entry, which has no counter of its writer.

    Within an era the revision orders the entries. In a restored store, an entry
    that was removed before has its old revision, and is withheld for as long as
    a missing one is kept.
    """
    return (split_version(stored.version).number,)


def find_watch_seconds(bound_seconds: float) -> float:
    """Return the longest duration of one watch.

    A store that loses the answer to a watch says nothing more on it, which has
    to be noticed within the bound.

    >>> find_watch_seconds(5.0), find_watch_seconds(1.0)
    (4.0, 0.5)
    """
    longest = bound_seconds - WATCH_MARGIN_SECONDS
    return max(MIN_WATCH_SECONDS, min(MAX_WATCH_SECONDS, longest))
