"""Settings of a VM, from the platform's file with lines ``a.b=value``.

Unknown entries are ignored. An entry that is missing or wrong is an error.
"""

import os
import re
import resource
from pathlib import Path
from typing import Annotated, Any, NamedTuple

from pydantic import Field

from galenaswitch.errors import SettingsError
from galenaswitch.hedging.policy import MAX_RATIO
from galenaswitch.operations.settings import Port, check_shape
from galenaswitch.platform.headers import MEGABYTE, MILLISECONDS

SETTINGS_PATH_VARIABLE = 'GALENASWITCH_CONFIG'
DEFAULT_SETTINGS_PATH = '/etc/galenaswitch/settings.conf'

# Extra sends beside slow responses, allowed for each first send to a service.
EXTRA_WORK_VARIABLE = 'GALENA_EXTRA_WORK_RATIO'

Positive = Annotated[float, Field(gt=0)]
_DECIMAL = re.compile(r'\d+(\.\d+)?', re.ASCII)


class Bounds(NamedTuple):
    """Limits from the ``bounds.*`` entries; durations are in seconds.

    :param drain: time after which a leaving target gets no new requests.
    :param grace: time between SIGTERM and SIGKILL.
    :param contact: time for which a VM isn't in touch after a disruption.
    :param apply: time within which a new configuration takes effect.
    :param retry_ratio: retries allowed for each request of a service.
    :param retry_window: period over which retries and requests are counted.
    :param retry_slack: retries allowed beyond the ratio, the sum of all VMs.
    :param reuse: time for which a cached part of a prompt is worth keeping.
    :param evacuate: time within which nothing more is sent to an evacuated
        zone; ``None`` if no zone is ever evacuated.
    """

    drain: Positive = 2
    contact: Positive = 3
    grace: Positive = 8
    apply: Positive = 2
    retry_ratio: Annotated[float, Field(ge=0)] = 0.2
    retry_window: Positive = 10
    retry_slack: Annotated[float, Field(ge=0)] = 0
    reuse: Positive = 10
    evacuate: Positive | None = None

    @property
    def retry_limits(self) -> tuple[float, float, float]:
        """Ratio, slack and window of the retry budgets."""
        return self.retry_ratio, self.retry_slack, self.retry_window


class VmSettings(NamedTuple):
    """Settings of the process that runs on one VM.

    :param node: unique name of the VM.
    :param callers: address and port that accept callers' connections.
    :param readiness: address and port that the balancer probes.
    :param peers: address and port that accept connections from other VMs.
    :param seeds: addresses and ports for peers on a few other VMs, which may
        be down.
    :param memory_bytes: most memory that the process may use.
    :param cores: processor time of the VM, in cores.
    :param store: address and port of the platform's object store.
    :param heartbeat: seconds between two writes of a target's own document
        to the object store.
    :param first_start: whether the whole deployment starts for the first time.
    :param max_descriptors: most descriptors that the process may open.
    :param extra_work_ratio: extra sends beside slow responses that are allowed
        for each first send to a service, 0 for none.
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
    first_start: bool
    max_descriptors: Positive
    extra_work_ratio: float = 0


def find_settings_path() -> Path:
    """Return the path of the settings file, from the environment or default."""
    return Path(os.environ.get(SETTINGS_PATH_VARIABLE, DEFAULT_SETTINGS_PATH))


def load_vm_settings(path: Path) -> VmSettings:
    """Read and check the platform's settings file and the environment.

    :raises SettingsError: when the file is unreadable or an entry is missing
        or wrong, or a variable of the environment is wrong.
    """
    try:
        text = path.read_text(encoding='utf-8')
    except (OSError, UnicodeDecodeError) as error:
        raise SettingsError(f'cannot read {path}: {error}') from error
    return read_vm_settings(text)._replace(
        extra_work_ratio=read_extra_work_ratio(
            os.environ.get(EXTRA_WORK_VARIABLE, '0')
        )
    )


def read_extra_work_ratio(text: str) -> float:
    """Decode and check the ratio of extra sends.

    :raises SettingsError: when the text is no decimal within its range.

    >>> read_extra_work_ratio('0.05')
    0.05
    """
    if _DECIMAL.fullmatch(text) and float(text) <= MAX_RATIO:
        return float(text)
    raise SettingsError(
        f'{EXTRA_WORK_VARIABLE}: {text!r} is not a decimal from 0 to '
        f'{MAX_RATIO}'
    )


def read_vm_settings(text: str) -> VmSettings:
    """Decode and check the text of a settings file.

    :raises SettingsError: when an entry is missing or wrong; the message
        names the first such entry.
    """
    entries = _parse_lines(text)
    return check_shape(
        {
            'node': _require_entry(entries, 'node-name'),
            'zone': _require_entry(entries, 'zone'),
            'address': _require_entry(entries, 'ip'),
            'callers': _split_address(_require_entry(entries, 'listen.front')),
            'readiness': _split_address(
                _require_entry(entries, 'listen.ready')
            ),
            'peers': _split_address(_require_entry(entries, 'listen.control')),
            'seeds': [
                _split_address(seed)
                for seed in entries.get('seeds', '').split(',')
                if seed
            ],
            'memory_bytes': _read_number(entries, 'limits.memory-mb')
            * MEGABYTE,
            'cores': _read_cores(entries),
            'store': _require_entry(entries, 'platform.address'),
            'heartbeat': _read_number(entries, 'heartbeat-ms') / MILLISECONDS,
            'bounds': _read_bounds(entries),
            'first_start': entries.get('bootstrap') == 'true',
            'max_descriptors': _read_max_descriptors(entries),
        },
        VmSettings,
    )


def _read_cores(entries: dict[str, str]) -> float:
    """Return the product of the CPU share and the cores, each 1 if absent."""
    cores = 1.0
    for name in ('limits.cpu-share', 'limits.cores'):
        if name in entries:
            cores *= _read_number(entries, name)
    return cores


def _read_max_descriptors(entries: dict[str, str]) -> float:
    """Return the most descriptors, the limit of the process if absent."""
    allowed, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    if 'limits.max-fds' in entries:
        return min(allowed, _read_number(entries, 'limits.max-fds'))
    return allowed


def _read_bounds(entries: dict[str, str]) -> dict[str, Any]:
    bounds: dict[str, Any] = {}
    for name, entry, unit in _BOUND_ENTRIES:
        key = f'bounds.{entry}'
        if key in entries:
            bounds[name] = _read_number(entries, key) / unit
    return bounds


_BOUND_ENTRIES = (
    ('drain', 'drain-ms', MILLISECONDS),
    ('contact', 'contact-ms', MILLISECONDS),
    ('grace', 'grace-s', 1),
    ('apply', 'config-apply-ms', MILLISECONDS),
    ('retry_ratio', 'retry-budget-ratio', 1),
    ('retry_window', 'budget-window-s', 1),
    ('retry_slack', 'budget-slack', 1),
    ('reuse', 'reuse-window-s', 1),
    ('evacuate', 'evacuate-ms', MILLISECONDS),
)


def _parse_lines(text: str) -> dict[str, str]:
    entries: dict[str, str] = {}
    for number, line in enumerate(text.splitlines(), start=1):
        line = line.strip()
        if not line or line.startswith('#'):
            continue
        name, separator, entry = line.partition('=')
        if not separator:
            raise SettingsError(f'line {number}: "=" is missing')
        if name in entries:
            raise SettingsError(f'line {number}: {name} is a duplicate entry')
        entries[name] = entry
    return entries


def _split_address(entry: str) -> list[str]:
    return entry.rsplit(':', 1)


def _require_entry(entries: dict[str, str], name: str) -> str:
    if name not in entries:
        raise SettingsError(f'{name}: missing')
    return entries[name]


def _read_number(entries: dict[str, str], name: str) -> float:
    entry = _require_entry(entries, name)
    try:
        return float(entry)
    except ValueError as error:
        raise SettingsError(f'{name}: {entry!r} is not a number') from error
