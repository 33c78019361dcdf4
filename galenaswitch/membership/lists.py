"""The platform's lists of machines and targets, and signs that beat them.

The lists lag. A sign that a target is leaving is kept by the target's
incarnation and wins over any list, since leaving can't be taken back.
"""

from collections.abc import Iterable
from typing import Annotated, Any, NamedTuple, Protocol, TypeVar

from pydantic import Field, TypeAdapter, ValidationError

from galenaswitch.errors import InvalidInputError

LIVE = 'live'
LEAVING = 'leaving'
MAX_PORT = 65535


class Machine(NamedTuple):
    """An entry VM of the system.

    :param name: its node name.
    :param zone: its availability zone.
    :param address: IP number of its control process.
    :param port: TCP port of its control process.
    :param state: ``live`` or ``leaving``.
    :param cores: processor time that it has, in cores.
    """

    name: str
    zone: str
    address: str
    port: Annotated[int, Field(ge=1, le=MAX_PORT)]
    state: str = LIVE
    cores: Annotated[float, Field(gt=0)] = 1.0


class Target(NamedTuple):
    """A model runner, a pool member or a plain service.

    :param name: unique name.
    :param incarnation: changes with each start of the target.
    :param zone: its availability zone.
    :param pool: the pool that it belongs to.
    :param url: base URL with an IP number.
    :param models: ``model@version`` names that it runs, empty for any.
    :param checks_fencing: whether it refuses orders with an old number.
    :param state: ``live`` or ``leaving``.
    :param capacity: requests that it works on at one time.
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


class MemberList(NamedTuple):
    """Machines and targets at one revision of the platform's lists."""

    revision: int
    machines: tuple[Machine, ...]
    targets: tuple[Target, ...]


class MemberChange(NamedTuple):
    """What turns the list of one revision into that of another.

    :param base: revision of the list that it changes.
    :param revision: revision of the list that it leads to.
    :param machines: machines that are new or changed.
    :param targets: targets that are new or changed.
    :param gone_machines: names of machines that are listed no more.
    :param gone_targets: names of targets that are listed no more.
    """

    base: int
    revision: int
    machines: tuple[Machine, ...] = ()
    targets: tuple[Target, ...] = ()
    gone_machines: tuple[str, ...] = ()
    gone_targets: tuple[str, ...] = ()


class LeavingSign(NamedTuple):
    """A process saw that a target is leaving.

    :param target: the target's name.
    :param incarnation: the life of it that is leaving.
    """

    target: str
    incarnation: str


class Named(Protocol):
    """An entry of a list."""

    @property
    def name(self) -> str:
        """Its unique name."""


Entry = TypeVar('Entry', bound=Named)
_ADAPTER = TypeAdapter(MemberList)
EMPTY_MEMBER_LIST = MemberList(0, (), ())


def parse_members(document: dict[str, Any]) -> MemberList:
    """Check a list of the platform.

    :raises InvalidInputError: when the platform's answer has another form.
    """
    try:
        return _ADAPTER.validate_python(document)
    except ValidationError as error:
        raise InvalidInputError(f'member list: {error}') from error


def find_change(old: MemberList, new: MemberList) -> MemberChange:
    """Return what turns one list into another.

    >>> one = Machine('a', 'north', '127.0.0.1', 1)
    >>> old = MemberList(1, (one,), ())
    >>> find_change(old, MemberList(2, (), ())).gone_machines
    ('a',)
    """
    return MemberChange(
        old.revision,
        new.revision,
        _find_new(old.machines, new.machines),
        _find_new(old.targets, new.targets),
        _find_gone(old.machines, new.machines),
        _find_gone(old.targets, new.targets),
    )


def apply_change(old: MemberList, change: MemberChange) -> MemberList:
    """Return the list that a change leads to from its base.

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


def _find_new(old: Iterable[Entry], new: Iterable[Entry]) -> tuple[Entry, ...]:
    held = set(old)
    return tuple(entry for entry in new if entry not in held)


def _find_gone(
    old: Iterable[Named],
    new: Iterable[Named],
) -> tuple[str, ...]:
    names = {entry.name for entry in new}
    return tuple(entry.name for entry in old if entry.name not in names)


def _merge(
    old: tuple[Entry, ...],
    changed: tuple[Entry, ...],
    gone: tuple[str, ...],
) -> tuple[Entry, ...]:
    replaced = {entry.name for entry in changed}
    dropped = replaced | set(gone)
    kept = tuple(entry for entry in old if entry.name not in dropped)
    return (*kept, *changed)


class Members:
    """The newest list seen, corrected by signs."""

    def __init__(self) -> None:
        """Start with no machine and no target."""
        self.member_list = EMPTY_MEMBER_LIST
        self._live: dict[str, tuple[Machine, ...]] = {}
        self._pools: dict[str, tuple[Target, ...]] = {}
        self._usable: dict[str, tuple[Target, ...]] = {}
        self._leaving: set[LeavingSign] = set()
        self._loaded: dict[str, tuple[str, ...]] = {}

    def accept(self, listed: MemberList) -> bool:
        """Keep a list if it is newer; tell whether it was."""
        if listed.revision <= self.member_list.revision:
            return False
        self.member_list = listed
        self._usable = {}
        live = [one for one in listed.machines if one.state == LIVE]
        zones = {one.zone for one in live}
        self._live = {
            zone: tuple(one for one in live if one.zone == zone)
            for zone in zones
        }
        self._live[''] = tuple(live)
        pools = {target.pool for target in listed.targets}
        self._pools = {
            pool: tuple(one for one in listed.targets if one.pool == pool)
            for pool in pools
        }
        named = {target.name for target in listed.targets}
        self._leaving = {sign for sign in self._leaving if sign.target in named}
        return True

    def record_leaving(self, sign: LeavingSign) -> bool:
        """Keep a sign; tell whether it was news.

        >>> members = Members()
        >>> sign = LeavingSign('a', '1')
        >>> members.record_leaving(sign), members.record_leaving(sign)
        (True, False)
        """
        if sign in self._leaving:
            return False
        self._leaving.add(sign)
        self._usable = {}
        return True

    def leaving_notices(self) -> tuple[LeavingSign, ...]:
        """Return all signs that are held."""
        return tuple(self._leaving)

    def usable(self, pool: str) -> tuple[Target, ...]:
        """Return the targets of a pool that may get new work."""
        if pool not in self._usable:
            self._usable[pool] = tuple(
                target
                for target in self._pools.get(pool, ())
                if not self.is_leaving(target)
            )
        return self._usable[pool]

    def is_leaving(self, target: Target) -> bool:
        """Tell whether a list or a sign says that a target is leaving."""
        if target.state == LEAVING:
            return True
        sign = LeavingSign(target.name, target.incarnation)
        return sign in self._leaving

    def record_models(self, target: str, models: tuple[str, ...]) -> None:
        """Note what a target itself said that it has loaded."""
        self._loaded[target] = models

    def models_of(self, target: Target) -> tuple[str, ...]:
        """Return a target's models: its own word goes before the list's."""
        return self._loaded.get(target.name, target.models)

    def find_target_by_url(self, url: str) -> Target | None:
        """Return the target at an address that may get new work."""
        for target in self.member_list.targets:
            if target.url == url and not self.is_leaving(target):
                return target
        return None

    def find_machine(self, name: str) -> Machine | None:
        """Return a listed machine, also one that is leaving."""
        for machine in self.member_list.machines:
            if machine.name == name:
                return machine
        return None

    def machines(self, zone: str = '') -> tuple[Machine, ...]:
        """Return the live machines, of one zone or of all."""
        return self._live.get(zone, ())
