"""Member lists of VMs and targets, and leaving notices.

The platform's member lists lag behind the real state. A leaving notice names
a target and its incarnation and overrides every list, because an incarnation
that has started to leave never returns to service.
"""

from collections.abc import Iterable
from typing import Annotated, Any, NamedTuple, Protocol, TypeVar

from pydantic import Field, TypeAdapter, ValidationError

from galenaswitch.connections.sockets import MAX_PORT
from galenaswitch.errors import InvalidInputError
from galenaswitch.evacuation.zones import NoZones, ZoneRule

LIVE = 'live'
LEAVING = 'leaving'
# Most leaving notices that are kept of incarnations that aren't listed.
MAX_UNLISTED_NOTICES = 1024


class Machine(NamedTuple):
    """A VM that runs this system's processes.

    :param name: unique name of the VM.
    :param zone: availability zone of the VM.
    :param address: IP address for links to its ``control`` or ``edge`` process.
    :param port: TCP port for links to that process.
    :param state: ``live`` or ``leaving``.
    :param cores: number of processor cores, possibly fractional.
    """

    name: str
    zone: str
    address: str
    port: Annotated[int, Field(ge=1, le=MAX_PORT)]
    state: str = LIVE
    cores: Annotated[float, Field(gt=0, allow_inf_nan=False)] = 1.0


class Target(NamedTuple):
    """A model runner, a pool member or a plain service that serves requests.

    :param name: unique name of the target.
    :param incarnation: id that changes with each start of the target.
    :param zone: availability zone of the target.
    :param pool: pool that the target belongs to.
    :param url: base URL with an IP address as host.
    :param models: ``model@version`` names that the target runs, empty when it
        runs any model.
    :param checks_fencing: whether the target rejects load commands with an
        outdated fencing token.
    :param state: ``live`` or ``leaving``.
    :param capacity: number of requests that the target processes in parallel.
    :param version: version of the target's software, empty when unknown. Only
        a target of the same version can continue a stream.
    """

    name: str
    incarnation: str
    zone: str
    pool: str
    url: str
    models: tuple[str, ...] = ()
    checks_fencing: bool = True
    state: str = LIVE
    capacity: Annotated[int, Field(ge=1)] = 8
    version: str = ''


class MemberList(NamedTuple):
    """VMs and targets at one revision of the platform's lists."""

    revision: int
    machines: tuple[Machine, ...]
    targets: tuple[Target, ...]


class MemberChange(NamedTuple):
    """Delta between the member lists of two revisions.

    :param base: revision of the list that the delta applies to.
    :param revision: revision of the list that results.
    :param machines: added and changed VMs.
    :param targets: added and changed targets.
    :param gone_machines: names of removed VMs.
    :param gone_targets: names of removed targets.
    """

    base: int
    revision: int
    machines: tuple[Machine, ...] = ()
    targets: tuple[Target, ...] = ()
    gone_machines: tuple[str, ...] = ()
    gone_targets: tuple[str, ...] = ()


class LeavingSign(NamedTuple):
    """Leaving notice: tells that one incarnation of a target is leaving.

    :param target: name of the target.
    :param incarnation: incarnation that is leaving.
    """

    target: str
    incarnation: str


class NamedEntry(Protocol):
    """A list entry that has a name."""

    @property
    def name(self) -> str:
        """Unique name of the entry within its list."""


ListEntry = TypeVar('ListEntry', bound=NamedEntry)
_MEMBER_LIST_ADAPTER = TypeAdapter(MemberList)
EMPTY_MEMBER_LIST = MemberList(0, (), ())


def parse_members(document: dict[str, Any]) -> MemberList:
    """Validate a member list that the platform returned.

    :raises InvalidInputError: when the document is not a valid member list.
    """
    try:
        return _MEMBER_LIST_ADAPTER.validate_python(document)
    except ValidationError as error:
        raise InvalidInputError(f'invalid member list: {error}') from error


def find_change(old: MemberList, new: MemberList) -> MemberChange:
    """Return the delta between two member lists.

    >>> one = Machine('a', 'north', '127.0.0.1', 1)
    >>> old = MemberList(1, (one,), ())
    >>> find_change(old, MemberList(2, (), ())).gone_machines
    ('a',)
    """
    return MemberChange(
        old.revision,
        new.revision,
        _find_changed(old.machines, new.machines),
        _find_changed(old.targets, new.targets),
        _find_removed(old.machines, new.machines),
        _find_removed(old.targets, new.targets),
    )


def apply_change(old: MemberList, change: MemberChange) -> MemberList:
    """Apply a delta to the member list that it is based on.

    >>> old = MemberList(1, (Machine('a', 'north', '127.0.0.1', 1),), ())
    >>> new = MemberList(2, (Machine('b', 'north', '127.0.0.2', 1),), ())
    >>> apply_change(old, find_change(old, new)) == new
    True
    """
    return MemberList(
        change.revision,
        _merge(old.machines, change.machines, change.gone_machines),
        _merge(old.targets, change.targets, change.gone_targets),
    )


def _find_changed(
    old: Iterable[ListEntry], new: Iterable[ListEntry]
) -> tuple[ListEntry, ...]:
    old_entries = set(old)
    return tuple(entry for entry in new if entry not in old_entries)


def _find_removed(
    old: Iterable[NamedEntry],
    new: Iterable[NamedEntry],
) -> tuple[str, ...]:
    names = {entry.name for entry in new}
    return tuple(entry.name for entry in old if entry.name not in names)


def _merge(
    old: tuple[ListEntry, ...],
    changed: tuple[ListEntry, ...],
    removed: tuple[str, ...],
) -> tuple[ListEntry, ...]:
    replaced = {entry.name for entry in changed}
    dropped = replaced | set(removed)
    kept = tuple(entry for entry in old if entry.name not in dropped)
    return (*kept, *changed)


class Members:
    """Newest member list, with leaving notices and loaded models on top.

    :ivar zone_rule: names the zones whose targets get nothing.
    """

    def __init__(self) -> None:
        """Build the state for an empty member list of revision 0."""
        self.member_list = EMPTY_MEMBER_LIST
        self.zone_rule: ZoneRule = NoZones()
        self._live_machines: dict[str, tuple[Machine, ...]] = {}
        self._targets_by_pool: dict[str, tuple[Target, ...]] = {}
        self._usable_targets: dict[str, tuple[Target, ...]] = {}
        self._leaving_notices: dict[LeavingSign, None] = {}
        self._listed_leaving: frozenset[LeavingSign] = frozenset()
        self._removed_leaving: dict[LeavingSign, None] = {}
        self._loaded_models: dict[str, tuple[str, ...]] = {}

    def accept(self, member_list: MemberList) -> bool:
        """Replace the member list if the given list is newer.

        Leaving notices outlive the entry of their target, which a list may
        bring back. Only the newest notices of unlisted targets are kept.

        :returns: whether the given list was newer.
        """
        if member_list.revision <= self.member_list.revision:
            return False
        self.member_list = member_list
        self._usable_targets = {}
        live = [one for one in member_list.machines if one.state == LIVE]
        zones = {one.zone for one in live}
        self._live_machines = {
            zone: tuple(one for one in live if one.zone == zone)
            for zone in zones
        }
        self._live_machines[''] = tuple(live)
        pools = {target.pool for target in member_list.targets}
        self._targets_by_pool = {
            pool: tuple(one for one in member_list.targets if one.pool == pool)
            for pool in pools
        }
        self._removed_leaving.update(dict.fromkeys(self._listed_leaving))
        self._listed_leaving = frozenset(
            LeavingSign(target.name, target.incarnation)
            for target in member_list.targets
            if target.state == LEAVING
        )
        self._drop_unlisted_notices()
        return True

    def record_leaving(self, notice: LeavingSign) -> bool:
        """Record a leaving notice and return whether it was new.

        >>> members = Members()
        >>> notice = LeavingSign('a', '1')
        >>> members.record_leaving(notice), members.record_leaving(notice)
        (True, False)
        """
        if notice in self._leaving_notices:
            return False
        self._leaving_notices[notice] = None
        self._usable_targets = {}
        return True

    def leaving_notices(self) -> tuple[LeavingSign, ...]:
        """Return all recorded leaving notices."""
        return tuple(self._leaving_notices)

    def targets(self, pool: str) -> tuple[Target, ...]:
        """Return all listed targets of a pool, also those that are leaving."""
        return self._targets_by_pool.get(pool, ())

    def usable(self, pool: str) -> tuple[Target, ...]:
        """Return the targets of a pool that may receive new requests."""
        if pool not in self._usable_targets:
            self._usable_targets[pool] = tuple(
                target
                for target in self.targets(pool)
                if not self.is_leaving(target) and not self.is_evacuated(target)
            )
        return self._usable_targets[pool]

    def apply_zone_rule(self, rule: ZoneRule) -> None:
        """Replace the rule that names the evacuated zones."""
        self.zone_rule = rule
        self._usable_targets = {}

    def is_evacuated(self, target: Target) -> bool:
        """Tell whether the zone of a target is evacuated."""
        return self.zone_rule.excludes(target.zone)

    def is_leaving(self, target: Target) -> bool:
        """Tell whether the list or a notice marks a target as leaving.

        A target that the list marked before it was removed stays leaving.

        :param target: an entry of this list or of an earlier one.
        """
        if target.state == LEAVING:
            return True
        notice = LeavingSign(target.name, target.incarnation)
        return (
            notice in self._leaving_notices
            or notice in self._listed_leaving
            or notice in self._removed_leaving
        )

    def record_models(self, target: str, models: tuple[str, ...]) -> None:
        """Record the loaded models that a target has reported."""
        self._loaded_models[target] = models

    def models_of(self, target: Target) -> tuple[str, ...]:
        """Return a target's models.

        The models that the target reported take precedence over the models in
        the member list.
        """
        return self._loaded_models.get(target.name, target.models)

    def find_target_by_url(self, url: str) -> Target | None:
        """Return the target at a base URL unless it is leaving or unknown."""
        for target in self.find_targets_by_url(url):
            if not self.is_leaving(target):
                return target
        return None

    def find_targets_by_url(self, url: str) -> tuple[Target, ...]:
        """Return all listed targets at a base URL."""
        return tuple(
            target for target in self.member_list.targets if target.url == url
        )

    def find_machine(self, name: str) -> Machine | None:
        """Return a listed VM by name, whether live or leaving."""
        for machine in self.member_list.machines:
            if machine.name == name:
                return machine
        return None

    def machines(self, zone: str = '') -> tuple[Machine, ...]:
        """Return the live VMs in one zone, or in all zones."""
        return self._live_machines.get(zone, ())

    def _drop_unlisted_notices(self) -> None:
        listed = {
            LeavingSign(target.name, target.incarnation)
            for target in self.member_list.targets
        }
        unlisted = [one for one in self._leaving_notices if one not in listed]
        for notice in unlisted[:-MAX_UNLISTED_NOTICES]:
            self._leaving_notices.pop(notice)
        removed = [one for one in self._removed_leaving if one not in listed]
        self._removed_leaving = dict.fromkeys(removed[-MAX_UNLISTED_NOTICES:])
