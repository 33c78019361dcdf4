"""The platform's settings file: lines of the form ``a.b=value``."""

import os
from pathlib import Path
from typing import Annotated, Any, NamedTuple

from pydantic import Field

from galenaswitch.errors import SettingsError
from galenaswitch.operations.settings import Port, check_shape
from galenaswitch.platform.headers import MEGABYTE, MILLISECONDS

PATH_VARIABLE = 'GALENASWITCH_CONFIG'
DEFAULT_PATH = '/etc/galenaswitch/settings.conf'

Positive = Annotated[float, Field(gt=0)]


class Bounds(NamedTuple):
    """Times in seconds, and shares, that the platform's rules name.

    :param drain: time after which a leaving target gets nothing new.
    :param grace: time between SIGTERM and SIGKILL.
    :param apply: time in which a configuration comes into force.
    :param retry_ratio: repeated sends for each request of a service.
    :param retry_window: span in which repeated sends are counted.
    :param retry_slack: repeated sends allowed beyond the ratio, in sum.
    :param reuse: time for which a part of a prompt is worth keeping.
    """

    drain: Positive = 2
    grace: Positive = 8
    apply: Positive = 2
    retry_ratio: Annotated[float, Field(ge=0)] = 0.2
    retry_window: Positive = 10
    retry_slack: Annotated[float, Field(ge=0)] = 0
    reuse: Positive = 10


class VmSettings(NamedTuple):
    """What a process is told of itself and its platform.

    :param node: unique name of the VM.
    :param callers: address and port for callers.
    :param readiness: address and port that the balancer asks.
    :param peers: address and port for the system's own streams.
    :param seeds: the same of a few other VMs, which may be down.
    :param memory_bytes: most memory that the process may use.
    :param cores: processor time that the machine has, in cores.
    :param store: address and port of the platform's object store.
    :param heartbeat: seconds between two entries of a target.
    """

    node: str
    zone: str
    address: str
    callers: tuple[str, Port]
    readiness: tuple[str, Port]
    peers: tuple[str, Port]
    seeds: tuple[tuple[str, Port], ...]
    memory_bytes: Positive
    cores: Positive
    store: str
    heartbeat: Positive
    bounds: Bounds


def find_settings_path() -> Path:
    """Return the path of the settings file."""
    return Path(os.environ.get(PATH_VARIABLE, DEFAULT_PATH))


def load_vm_settings(path: Path) -> VmSettings:
    """Read the platform's settings file.

    :raises SettingsError: when it can't be read or an entry is wrong.
    """
    try:
        text = path.read_text(encoding='utf-8')
    except (OSError, UnicodeDecodeError) as error:
        raise SettingsError(f'cannot read {path}: {error}') from error
    return read_vm_settings(text)


def read_vm_settings(text: str) -> VmSettings:
    """Check the text of a settings file.

    :raises SettingsError: naming the first entry that is missing or wrong.
    """
    entries = _split_lines(text)
    return check_shape(
        {
            'node': _find(entries, 'node-name'),
            'zone': _find(entries, 'zone'),
            'address': _find(entries, 'ip'),
            'callers': _split_address(_find(entries, 'listen.front')),
            'readiness': _split_address(_find(entries, 'listen.ready')),
            'peers': _split_address(_find(entries, 'listen.control')),
            'seeds': [
                _split_address(seed)
                for seed in entries.get('seeds', '').split(',')
                if seed
            ],
            'memory_bytes': _number(entries, 'limits.memory-mb') * MEGABYTE,
            'cores': _read_cores(entries),
            'store': _find(entries, 'platform.address'),
            'heartbeat': _number(entries, 'heartbeat-ms') / MILLISECONDS,
            'bounds': _read_bounds(entries),
        },
        VmSettings,
    )


def _read_cores(entries: dict[str, str]) -> float:
    """Return the share of a core times its speed; one core if not told."""
    cores = 1.0
    for name in ('limits.cpu-share', 'limits.cores'):
        if name in entries:
            cores *= _number(entries, name)
    return cores


def _read_bounds(entries: dict[str, str]) -> dict[str, Any]:
    bounds: dict[str, Any] = {}
    for name, entry, unit in _BOUNDS:
        key = f'bounds.{entry}'
        if key in entries:
            bounds[name] = _number(entries, key) / unit
    return bounds


_BOUNDS = (
    ('drain', 'drain-ms', MILLISECONDS),
    ('grace', 'grace-s', 1),
    ('apply', 'config-apply-ms', MILLISECONDS),
    ('retry_ratio', 'retry-budget-ratio', 1),
    ('retry_window', 'budget-window-s', 1),
    ('retry_slack', 'budget-slack', 1),
    ('reuse', 'reuse-window-s', 1),
)


def _split_lines(text: str) -> dict[str, str]:
    entries: dict[str, str] = {}
    for number, line in enumerate(text.splitlines(), start=1):
        line = line.strip()
        if not line or line.startswith('#'):
            continue
        name, separator, entry = line.partition('=')
        if not separator:
            raise SettingsError(f'line {number}: no "=" in it')
        if name in entries:
            raise SettingsError(f'line {number}: {name} stands twice')
        entries[name] = entry
    return entries


def _split_address(entry: str) -> list[str]:
    return entry.rsplit(':', 1)


def _find(entries: dict[str, str], name: str) -> str:
    if name not in entries:
        raise SettingsError(f'{name}: missing')
    return entries[name]


def _number(entries: dict[str, str], name: str) -> float:
    entry = _find(entries, name)
    try:
        return float(entry)
    except ValueError as error:
        raise SettingsError(f'{name}: {entry!r} is no number') from error
