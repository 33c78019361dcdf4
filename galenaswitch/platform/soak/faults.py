"""Faults of one soak: drawn from a seed, then injected at their times."""

import asyncio
import random
import signal
from collections.abc import Awaitable, Callable, Sequence
from functools import partial
from typing import NamedTuple

from galenaswitch.platform.soak.bursts import Burst
from galenaswitch.platform.soak.configuration import Operator
from galenaswitch.platform.soak.machines import GRACE_SECONDS, Machine
from galenaswitch.platform.soak.proxy import PARTITION_MODES, PROXY_MODES
from galenaswitch.platform.soak.records import InjectedFault, Records
from galenaswitch.platform.soak.runners import FakeTarget
from galenaswitch.platform.soak.silences import ALL_SILENCES
from galenaswitch.platform.soak.store import FakeStore

# Bounds of the number of faults in a soak and of the duration of each.
MIN_FAULTS, MAX_FAULTS = 6, 14
MIN_FAULT_SECONDS, MAX_FAULT_SECONDS = 0.4, 3.0
# Time from a target's leaving notice to its restart. It is longer than the
# time of the setting bounds.drain-ms, within which machines stop sending to a
# leaving target.
LEAVING_SECONDS = 3.0
STORE_MODES = ('busy', 'silent', 'slow', 'mute')
# Modes of the store while it is being restored; ``well`` hides the restore.
RESTORE_MODES = ('well', 'busy', 'silent')
MAX_RESTORES = 3
# Time for which the store is away before it comes back from a copy.
RESTORE_SECONDS = 0.3
# Share of the soaks in which all machines are killed together once.
HERD_KILL_SHARE = 0.3
MAX_PAUSES = 3
# Series of silent targets, changes of the configuration, and signals.
MAX_SILENCES = 4
SILENT_SERVICES = ('desk', 'scan', 'llm')
SERIES_KINDS = ('term', 'hup')
SERIES_INTERVAL_SECONDS = 0.7
# Subject of faults that hit no single machine and no single target.
NO_SUBJECT = -2
# Share of the soaks in which machines are cut off from all targets, the bounds
# of its duration, and the sets of machines: one, a zone, and all but one.
PARTITION_SHARE = 0.4
MIN_PARTITION_SECONDS, MAX_PARTITION_SECONDS = 4.5, 7.0
TARGET_MODES = ('slow', 'errors', 'hang', 'cut')


class Fault(NamedTuple):
    """Fault that is drawn from a seed.

    :param at: start of the fault in seconds since the start of injection.
    :param subject: number of the machine or target, -1 for the store.
    :param seconds: duration, unused by faults that have none.
    :param variant: mode of a proxy, the store or a target, else empty.
    """

    at: float
    kind: str
    subject: int
    seconds: float
    variant: str = ''


class FaultSubjects(NamedTuple):
    """Parts of a soak into which faults are injected.

    :param machines: machines under test.
    :param runners: fake targets.
    :param store: fake object store.
    :param operator: changes the configuration.
    """

    machines: Sequence[Machine]
    runners: Sequence[FakeTarget]
    store: FakeStore
    operator: Operator


# Draws the index of the machine or target that a fault hits, -1 for the store,
# and the variant of the fault, from a random source and the numbers of machines
# and targets.
DrawSubject = Callable[[random.Random, int, int], tuple[int, str]]
_DRAW_BY_KIND: dict[str, DrawSubject] = {
    'kill': lambda rng, machines, _: (rng.randrange(machines), ''),
    'term': lambda rng, machines, _: (rng.randrange(machines), ''),
    'freeze': lambda rng, machines, _: (rng.randrange(machines), ''),
    'hup': lambda rng, machines, _: (rng.randrange(machines), ''),
    'store_link': lambda rng, machines, _: (
        rng.randrange(machines),
        rng.choice(PROXY_MODES),
    ),
    'store': lambda rng, *_: (-1, rng.choice(STORE_MODES)),
    'compact': lambda rng, *_: (-1, ''),
    'runner': lambda rng, _, runners: (
        rng.randrange(runners),
        rng.choice(TARGET_MODES),
    ),
    'runner_link': lambda rng, _, runners: (
        rng.randrange(runners),
        rng.choice(PROXY_MODES),
    ),
    'crash': lambda rng, _, runners: (rng.randrange(runners), ''),
    'leave': lambda rng, _, runners: (rng.randrange(runners), ''),
}
# Kinds of faults that are planned maintenance and must not interrupt requests.
PLANNED_KINDS = frozenset(('term', 'hup', 'leave', 'silence', 'storm', 'burst'))


def draw_faults(
    seed: int,
    seconds: float,
    machines: int,
    runners: int,
) -> list[Fault]:
    """Return the faults of a seed in the order of their start.

    A seed gives the same faults only as long as the kinds and the order of the
    random draws stay the same.

    :param seconds: span in which all faults start and end.
    :param machines: number of machines.
    :param runners: number of targets.

    >>> draw_faults(1, 9, 4, 7) == draw_faults(1, 9, 4, 7)
    True
    """
    rng = random.Random(seed)
    faults = []
    for _ in range(rng.randint(MIN_FAULTS, MAX_FAULTS)):
        kind = rng.choice(sorted(_DRAW_BY_KIND))
        subject, variant = _DRAW_BY_KIND[kind](rng, machines, runners)
        duration_seconds = rng.uniform(MIN_FAULT_SECONDS, MAX_FAULT_SECONDS)
        at = rng.uniform(0, seconds - duration_seconds)
        faults.append(Fault(at, kind, subject, duration_seconds, variant))
    faults.extend(_draw_restores(seed, seconds))
    faults.extend(_draw_herd_kill(seed, seconds))
    faults.extend(_draw_pauses(seed, seconds, runners))
    faults.extend(_draw_silences(seed, seconds, runners))
    faults.extend(_draw_series(seed, seconds, machines))
    faults.extend(_draw_partition(seed, seconds, machines))
    return sorted(faults)


def _draw_restores(seed: int, seconds: float) -> list[Fault]:
    """Return restores of the store, drawn apart from all other faults."""
    rng = random.Random(f'restores/{seed}')
    restores = []
    for _ in range(rng.randint(0, MAX_RESTORES)):
        age = rng.uniform(MIN_FAULT_SECONDS, MAX_FAULT_SECONDS)
        at = rng.uniform(0, seconds - age)
        restores.append(
            Fault(at, 'restore', -1, age, rng.choice(RESTORE_MODES))
        )
    return restores


def _draw_herd_kill(seed: int, seconds: float) -> list[Fault]:
    """Return the kill of all machines, drawn apart from all other faults."""
    rng = random.Random(f'herd_kill/{seed}')
    if rng.random() >= HERD_KILL_SHARE:
        return []
    return [Fault(rng.uniform(0, seconds), 'herd_kill', -1, 0)]


def _draw_pauses(seed: int, seconds: float, runners: int) -> list[Fault]:
    """Return pauses that targets ask for, drawn apart from other faults."""
    rng = random.Random(f'pauses/{seed}')
    pauses = []
    for _ in range(rng.randint(0, MAX_PAUSES)):
        duration_seconds = rng.uniform(MIN_FAULT_SECONDS, MAX_FAULT_SECONDS)
        at = rng.uniform(0, seconds - duration_seconds)
        subject = rng.randrange(runners)
        pauses.append(Fault(at, 'pause', subject, duration_seconds))
    return pauses


def _draw_silences(seed: int, seconds: float, runners: int) -> list[Fault]:
    """Return silences of single targets and of all targets of a service."""
    rng = random.Random(f'silences/{seed}')
    subjects = (*SILENT_SERVICES, *map(str, range(runners)))
    silences = []
    for _ in range(rng.randint(1, MAX_SILENCES)):
        duration_seconds = rng.uniform(MIN_FAULT_SECONDS, MAX_FAULT_SECONDS)
        at = rng.uniform(0, seconds - duration_seconds)
        silences.append(
            Fault(
                at,
                'silence',
                NO_SUBJECT,
                duration_seconds,
                rng.choice(subjects),
            )
        )
    return silences


def _draw_series(seed: int, seconds: float, machines: int) -> list[Fault]:
    """Return a storm of changes, signals to all machines, and a burst."""
    rng = random.Random(f'series/{seed}')
    at = rng.uniform(0, seconds - MAX_FAULT_SECONDS)
    series = [Fault(at, 'storm', NO_SUBJECT, MAX_FAULT_SECONDS)]
    kind = rng.choice(SERIES_KINDS)
    at = rng.uniform(0, seconds - machines * SERIES_INTERVAL_SECONDS)
    for number in range(machines):
        later = at + number * SERIES_INTERVAL_SECONDS
        series.append(Fault(later, kind, number, 0))
    at = rng.uniform(0, seconds)
    series.append(
        Fault(at, 'burst', NO_SUBJECT, 0, str(rng.randrange(machines)))
    )
    return series


def _draw_partition(seed: int, seconds: float, machines: int) -> list[Fault]:
    """Return the partition of some machines, drawn apart from all others."""
    rng = random.Random(f'partition/{seed}')
    if rng.random() >= PARTITION_SHARE:
        return []
    numbers = list(range(machines))
    first = rng.choice(numbers)
    # Machines of a zone have numbers of the same parity.
    subjects = rng.choice(
        (
            [first],
            numbers[first % 2 :: 2],
            numbers[:first] + numbers[first + 1 :],
        )
    )
    duration_seconds = rng.uniform(MIN_PARTITION_SECONDS, MAX_PARTITION_SECONDS)
    at = rng.uniform(0, max(0, seconds - duration_seconds))
    mode = rng.choice(PARTITION_MODES)
    return [
        Fault(at, 'partition', number, duration_seconds, mode)
        for number in subjects
    ]


class FaultInjector:
    """Injector that starts each fault at its time and records it."""

    def __init__(
        self,
        subjects: FaultSubjects,
        records: Records,
        now: Callable[[], float],
    ) -> None:
        """Build an injector that adds its faults to ``records``.

        :param now: returns the seconds since the start of the soak.
        """
        self._subjects = subjects
        self._records = records
        self._now = now
        self._actions: dict[str, Callable[[Fault], Awaitable[None]]] = {
            'kill': self._kill,
            'herd_kill': self._kill_all,
            'term': self._stop_gracefully,
            'freeze': self._freeze,
            'hup': self._change_settings,
            'store_link': self._degrade_store_link,
            'store': self._degrade_store,
            'compact': self._compact,
            'restore': self._restore,
            'runner': self._degrade_target,
            'runner_link': self._degrade_target_link,
            'crash': self._crash,
            'leave': self._leave,
            'pause': self._pause,
            'silence': self._silence,
            'storm': partial(_change_configuration, subjects.operator),
            'burst': self._send_burst,
            'partition': partial(_cut_off, subjects),
        }

    async def run(self, faults: Sequence[Fault]) -> None:
        """Inject all faults, which may overlap, and wait for their ends."""
        async with asyncio.TaskGroup() as group:
            for fault in faults:
                group.create_task(self._inject(fault))

    async def _inject(self, fault: Fault) -> None:
        await asyncio.sleep(fault.at)
        started_at = self._now()
        number = len(self._records.faults)
        planned = fault.kind in PLANNED_KINDS
        name = f'{fault.kind} {fault.variant}'.strip()
        latest_end = started_at + LEAVING_SECONDS + GRACE_SECONDS
        injected = InjectedFault(
            name, fault.subject, started_at, latest_end, planned
        )
        self._records.faults.append(injected)
        await self._actions[fault.kind](fault)
        finished = injected._replace(ended_at=self._now())
        self._records.faults[number] = finished

    async def _kill(self, fault: Fault) -> None:
        self._subjects.machines[fault.subject].signal(signal.SIGKILL)

    async def _kill_all(self, fault: Fault) -> None:
        for machine in self._subjects.machines:
            machine.signal(signal.SIGKILL)

    async def _stop_gracefully(self, fault: Fault) -> None:
        await self._subjects.machines[fault.subject].stop_gracefully()

    async def _freeze(self, fault: Fault) -> None:
        machine = self._subjects.machines[fault.subject]
        machine.signal(signal.SIGSTOP)
        await asyncio.sleep(fault.seconds)
        machine.signal(signal.SIGCONT)

    async def _change_settings(self, fault: Fault) -> None:
        self._subjects.machines[fault.subject].change_settings()

    async def _degrade_store_link(self, fault: Fault) -> None:
        proxy = self._subjects.machines[fault.subject].store
        proxy.change_mode(fault.variant)
        await asyncio.sleep(fault.seconds)
        proxy.change_mode('well')

    async def _degrade_store(self, fault: Fault) -> None:
        self._subjects.store.mode = fault.variant
        await asyncio.sleep(fault.seconds)
        self._subjects.store.mode = 'well'

    async def _compact(self, fault: Fault) -> None:
        self._subjects.store.compact_history()

    async def _restore(self, fault: Fault) -> None:
        """Restore the store to its state at the start of the fault."""
        store = self._subjects.store
        copy = store.copy()
        await asyncio.sleep(fault.seconds)
        store.mode = fault.variant
        await asyncio.sleep(RESTORE_SECONDS)
        store.restore(copy)
        store.mode = 'well'

    async def _degrade_target(self, fault: Fault) -> None:
        target = self._subjects.runners[fault.subject]
        target.mode = fault.variant
        await asyncio.sleep(fault.seconds)
        target.mode = 'well'

    async def _degrade_target_link(self, fault: Fault) -> None:
        proxy = self._subjects.runners[fault.subject].proxy
        proxy.change_mode(fault.variant)
        await asyncio.sleep(fault.seconds)
        proxy.change_mode('well')

    async def _crash(self, fault: Fault) -> None:
        """Reset a target's connections and restart it without a notice."""
        await self._subjects.runners[fault.subject].crash(fault.seconds)

    async def _leave(self, fault: Fault) -> None:
        """Restart a target after a leaving notice, during which it serves."""
        target = self._subjects.runners[fault.subject]
        target.state = 'draining'
        target.says_leaving = True
        await asyncio.sleep(LEAVING_SECONDS)
        target.restart()

    async def _pause(self, fault: Fault) -> None:
        """Let a target refuse all requests and ask for none until it ends."""
        self._subjects.runners[fault.subject].pause(fault.seconds)
        await asyncio.sleep(fault.seconds)

    async def _silence(self, fault: Fault) -> None:
        """Let a target, or all of a service, be silent in their answers."""
        silent = [
            target
            for target in self._subjects.runners
            if fault.variant in {target.service, str(target.number)}
        ]
        for target in silent:
            target.change_silences(ALL_SILENCES)
        await asyncio.sleep(fault.seconds)
        for target in silent:
            target.change_silences(())

    async def _send_burst(self, fault: Fault) -> None:
        machine = self._subjects.machines[int(fault.variant)]
        await Burst(machine, self._records, self._now).send()


async def _change_configuration(operator: Operator, fault: Fault) -> None:
    await operator.change_often(fault.seconds)


async def _cut_off(subjects: FaultSubjects, fault: Fault) -> None:
    """Partition a machine from all targets."""
    client = subjects.machines[fault.subject].address
    for target in subjects.runners:
        target.proxy.cut_off(client, fault.variant)
    await asyncio.sleep(fault.seconds)
    for target in subjects.runners:
        target.proxy.reconnect(client)
