"""Command line of the soak: ``python -m galenaswitch.platform.soak``."""

import asyncio
import random
import sys
from collections import Counter
from pathlib import Path
from tempfile import mkdtemp

import defopt

from galenaswitch.platform.soak.soak import Plan, Verdict, run_soak

# First of the loopback networks that soaks side by side use.
FIRST_NETWORK = 100
# Lines of broken promises that are printed for one seed.
MOST_LINES = 8


async def _run_one(plan: Plan, gate: asyncio.Semaphore) -> bool:
    async with gate:
        folder = Path(mkdtemp(prefix=f'soak-{plan.seed}-'))
        verdict = await run_soak(plan, folder)
        _print(plan, verdict, folder)
        return not verdict.broken


def _print(plan: Plan, verdict: Verdict, folder: Path) -> None:
    records = verdict.records
    ends = Counter(one.status for one in records.sent)
    told = ' '.join(f'{status}:{ends[status]}' for status in sorted(ends))
    outcome = 'BROKEN' if verdict.broken else 'kept'
    print(
        f'seed={plan.seed} promises={outcome} requests={len(records.sent)}'
        f' answers="{told}" faults={len(records.troubles)} folder={folder}',
        flush=True,
    )
    for line in verdict.broken[:MOST_LINES]:
        print(f'  {line}', flush=True)
    if verdict.broken:
        for trouble in records.troubles:
            print(f'  fault {trouble}', flush=True)


async def _run_all(plans: list[Plan], side_by_side: int) -> bool:
    gate = asyncio.Semaphore(side_by_side)
    runs = [_run_one(plan, gate) for plan in plans]
    return all(await asyncio.gather(*runs))


def soak(
    *,
    seeds: list[int] | None = None,
    count: int = 50,
    side_by_side: int = 2,
    machines: int = 4,
    callers: int = 16,
    seconds: float = 9.0,
) -> int:
    """Soak real processes under random faults.

    :param seeds: seeds to run; fresh ones when none are given
    :param count: number of fresh seeds
    :param side_by_side: soaks that run at one time
    :param machines: processes under test in each soak
    :param callers: callers in each soak
    :param seconds: span of the faults
    """
    chosen = seeds or [random.randrange(10**9) for _ in range(count)]
    plans = [
        Plan(seed, FIRST_NETWORK + turn % 100, machines, callers, seconds)
        for turn, seed in enumerate(chosen)
    ]
    return 0 if asyncio.run(_run_all(plans, side_by_side)) else 1


def main() -> None:
    """Entry point of the command."""
    sys.exit(defopt.run(soak))


if __name__ == '__main__':
    main()
