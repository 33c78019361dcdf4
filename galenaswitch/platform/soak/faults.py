"""Faults of one soak, drawn from a seed."""

import asyncio
import random
import signal
from collections.abc import Awaitable, Callable, Sequence
from typing import NamedTuple

from galenaswitch.platform.soak.machines import GRACE_SECONDS, Machine
from galenaswitch.platform.soak.proxy import MODES
from galenaswitch.platform.soak.records import Records, Trouble
from galenaswitch.platform.soak.runners import Runner
from galenaswitch.platform.soak.store import SoakStore

# Bounds of the number and the length in seconds of faults.
FEWEST, MOST = 6, 14
SHORTEST_SECONDS, LONGEST_SECONDS = 0.4, 3.0
# Seconds after which a target that leaves is gone: longer than the bound in
# which machines stop sending to it.
LEAVE_SECONDS = 3.0
STORE_MODES = ('busy', 'silent', 'slow', 'mute')
RUNNER_MODES = ('slow', 'errors', 'hang', 'cut')


class Fault(NamedTuple):
    """One fault.

    :param at: seconds since faults begin.
    :param subject: number of the machine or target, -1 for the store.
    :param seconds: how long it lasts, where that fits.
    :param variant: mode of a proxy, the store or a target.
    """

    at: float
    kind: str
    subject: int
    seconds: float
    variant: str = ''


class Stage(NamedTuple):
    """What faults are done to."""

    machines: Sequence[Machine]
    runners: Sequence[Runner]
    store: SoakStore


Draw = Callable[[random.Random, int, int], tuple[int, str]]
_KINDS: dict[str, Draw] = {
    'kill': lambda luck, machines, _: (luck.randrange(machines), ''),
    'term': lambda luck, machines, _: (luck.randrange(machines), ''),
    'freeze': lambda luck, machines, _: (luck.randrange(machines), ''),
    'hup': lambda luck, machines, _: (luck.randrange(machines), ''),
    'store_link': lambda luck, machines, _: (
        luck.randrange(machines),
        luck.choice(MODES),
    ),
    'store': lambda luck, *_: (-1, luck.choice(STORE_MODES)),
    'compact': lambda luck, *_: (-1, ''),
    'runner': lambda luck, _, runners: (
        luck.randrange(runners),
        luck.choice(RUNNER_MODES),
    ),
    'runner_link': lambda luck, _, runners: (
        luck.randrange(runners),
        luck.choice(MODES),
    ),
    'crash': lambda luck, _, runners: (luck.randrange(runners), ''),
    'leave': lambda luck, _, runners: (luck.randrange(runners), ''),
}
PLANNED = frozenset(('term', 'hup', 'leave'))


def draw_faults(
    seed: int,
    seconds: float,
    machines: int,
    runners: int,
) -> list[Fault]:
    """Return the faults of a seed in their order.

    >>> draw_faults(1, 9, 4, 7) == draw_faults(1, 9, 4, 7)
    True
    """
    luck = random.Random(seed)
    faults = []
    for _ in range(luck.randint(FEWEST, MOST)):
        kind = luck.choice(sorted(_KINDS))
        subject, variant = _KINDS[kind](luck, machines, runners)
        lasting = luck.uniform(SHORTEST_SECONDS, LONGEST_SECONDS)
        at = luck.uniform(0, seconds - lasting)
        faults.append(Fault(at, kind, subject, lasting, variant))
    return sorted(faults)


class Injector:
    """Does faults at their times."""

    def __init__(
        self,
        stage: Stage,
        records: Records,
        now: Callable[[], float],
    ) -> None:
        """Note in ``records`` what is done when."""
        self._stage = stage
        self._records = records
        self._now = now
        self._acts: dict[str, Callable[[Fault], Awaitable[None]]] = {
            'kill': self._kill,
            'term': self._term,
            'freeze': self._freeze,
            'hup': self._hup,
            'store_link': self._harm_store_link,
            'store': self._harm_store,
            'compact': self._compact,
            'runner': self._harm_runner,
            'runner_link': self._harm_runner_link,
            'crash': self._crash,
            'leave': self._leave,
        }

    async def run(self, faults: Sequence[Fault]) -> None:
        """Do all faults; they may overlap."""
        async with asyncio.TaskGroup() as group:
            for fault in faults:
                group.create_task(self._inject(fault))

    async def _inject(self, fault: Fault) -> None:
        await asyncio.sleep(fault.at)
        begun = self._now()
        number = len(self._records.troubles)
        planned = fault.kind in PLANNED
        name = f'{fault.kind} {fault.variant}'.strip()
        open_end = begun + LEAVE_SECONDS + GRACE_SECONDS
        trouble = Trouble(name, fault.subject, begun, open_end, planned)
        self._records.troubles.append(trouble)
        await self._acts[fault.kind](fault)
        ended = trouble._replace(ended=self._now())
        self._records.troubles[number] = ended

    async def _kill(self, fault: Fault) -> None:
        self._stage.machines[fault.subject].signal(signal.SIGKILL)

    async def _term(self, fault: Fault) -> None:
        await self._stage.machines[fault.subject].stop_gracefully()

    async def _freeze(self, fault: Fault) -> None:
        machine = self._stage.machines[fault.subject]
        machine.signal(signal.SIGSTOP)
        await asyncio.sleep(fault.seconds)
        machine.signal(signal.SIGCONT)

    async def _hup(self, fault: Fault) -> None:
        self._stage.machines[fault.subject].change_settings()

    async def _harm_store_link(self, fault: Fault) -> None:
        proxy = self._stage.machines[fault.subject].store
        proxy.harm(fault.variant)
        await asyncio.sleep(fault.seconds)
        proxy.harm('well')

    async def _harm_store(self, fault: Fault) -> None:
        self._stage.store.mode = fault.variant
        await asyncio.sleep(fault.seconds)
        self._stage.store.mode = 'well'

    async def _compact(self, fault: Fault) -> None:
        self._stage.store.forget_history()

    async def _harm_runner(self, fault: Fault) -> None:
        runner = self._stage.runners[fault.subject]
        runner.mode = fault.variant
        await asyncio.sleep(fault.seconds)
        runner.mode = 'well'

    async def _harm_runner_link(self, fault: Fault) -> None:
        proxy = self._stage.runners[fault.subject].proxy
        proxy.harm(fault.variant)
        await asyncio.sleep(fault.seconds)
        proxy.harm('well')

    async def _crash(self, fault: Fault) -> None:
        """Let a target vanish without a word and start anew."""
        runner = self._stage.runners[fault.subject]
        runner.proxy.harm('reset')
        runner.begin_life()
        await asyncio.sleep(fault.seconds)
        runner.proxy.harm('well')

    async def _leave(self, fault: Fault) -> None:
        """Let a target tell that it leaves, serve on, and start anew."""
        runner = self._stage.runners[fault.subject]
        runner.state = 'draining'
        await asyncio.sleep(LEAVE_SECONDS)
        runner.begin_life()
