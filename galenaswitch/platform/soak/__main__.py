"""Command line of the soak test: ``python -m galenaswitch.platform.soak``.

The command prints one line for each seed. ``promises=BROKEN`` in it says that
an invariant was violated; the violations and the injected faults follow.
"""

import asyncio
import random
import sys
from collections import Counter
from pathlib import Path
from tempfile import mkdtemp

import defopt

from galenaswitch.platform.soak.soak import Plan, Verdict, run_soak

# Second number of the loopback addresses of the first soak. Concurrent soaks
# have different numbers, so that they don't share addresses.
FIRST_NETWORK = 100
# Most violations that are printed for one seed.
MAX_PRINTED_VIOLATIONS = 8


async def _run_plan(plan: Plan, semaphore: asyncio.Semaphore) -> bool:
    async with semaphore:
        folder = Path(mkdtemp(prefix=f'soak-{plan.seed}-'))
        verdict = await run_soak(plan, folder)
        _print_verdict(plan, verdict, folder)
        return not verdict.violations


def _print_verdict(plan: Plan, verdict: Verdict, folder: Path) -> None:
    records = verdict.records
    status_counts = Counter(request.status for request in records.sent)
    answers = ' '.join(
        f'{status}:{status_counts[status]}' for status in sorted(status_counts)
    )
    outcome = 'BROKEN' if verdict.violations else 'kept'
    print(
        f'seed={plan.seed} promises={outcome} requests={len(records.sent)}'
        f' answers="{answers}" faults={len(records.faults)} folder={folder}',
        flush=True,
    )
    for line in verdict.violations[:MAX_PRINTED_VIOLATIONS]:
        print(f'  {line}', flush=True)
    if verdict.violations:
        for fault in records.faults:
            print(f'  fault {fault}', flush=True)


async def _run_all(plans: list[Plan], side_by_side: int) -> bool:
    semaphore = asyncio.Semaphore(side_by_side)
    runs = [_run_plan(plan, semaphore) for plan in plans]
    return all(await asyncio.gather(*runs))


def soak(
    *,
    seeds: list[int] | None = None,
    count: int = 50,
    side_by_side: int = 2,
    machines: int = 4,
    callers: int = 16,
    seconds: float = 9.0,
    planned_only: bool = False,
) -> int:
    """Run soak tests of real processes under random faults.

    :param seeds: seeds to run; random ones when none are given
    :param count: number of random seeds when none are given
    :param side_by_side: number of soaks that run at the same time
    :param machines: number of processes under test in each soak
    :param callers: number of callers in each soak
    :param seconds: span in seconds in which all faults start and end
    :param planned_only: inject only planned work and silences of targets
    """
    chosen = seeds or [random.randrange(10**9) for _ in range(count)]
    plans = [
        Plan(
            seed,
            FIRST_NETWORK + index % 100,
            machines,
            callers,
            seconds,
            planned_only=planned_only,
        )
        for index, seed in enumerate(chosen)
    ]
    return 0 if asyncio.run(_run_all(plans, side_by_side)) else 1


def main() -> None:
    """Run the command and exit with status 1 if any soak failed."""
    sys.exit(defopt.run(soak))


if __name__ == '__main__':
    main()
