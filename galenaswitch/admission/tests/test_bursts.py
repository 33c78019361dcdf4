"""Bursts on an idle service, and loads that are made of bursts.

Time is simulated: 24 slots and answers of 1 s, so 24 requests end a second.
"""

import pytest

from galenaswitch.admission.tests import test_overload
from galenaswitch.admission.tests.test_overload import SLOTS, Simulation


@pytest.fixture
def make_idle(monkeypatch):
    """Return a function that builds engines which have served little."""

    def make(deadline):
        monkeypatch.setattr(test_overload, 'DEADLINE', deadline)
        simulation = Simulation(1, run_seconds=1.0)
        simulation.returns = False
        for number in range(20):
            simulation.at(number / 4, simulation.arrive, f'old{number}', 1)
        return simulation

    return make


def offer_burst(simulation, begin, count, seconds=0):
    """Let requests arrive evenly in a time."""
    for number in range(count):
        when = begin + seconds * number / count
        simulation.at(when, simulation.arrive, f'{begin}/{number}', 1)


# Guards against a burst that counts as a lasting overload, so that requests are
# rejected on arrival which can be served, and those that follow it.
@pytest.mark.parametrize('seconds', [0, 0.2])
@pytest.mark.parametrize('deadline', [3.0, 8.0])
def test_burst_on_an_idle_service_waits(make_idle, deadline, seconds):
    simulation = make_idle(deadline)
    offer_burst(simulation, 6, 60, seconds)
    offer_burst(simulation, 7, 8, 1)
    simulation.run(20)
    rejected = [
        one.rejected for one in simulation.ended if one.rejected is not None
    ]
    assert not any(seconds < 0.1 for seconds in rejected)
    assert not (rejected and deadline > 3)


# Guards against an overload that comes in bursts, and whose requests wait for
# long and in vain as each burst is taken for a single one.
@pytest.mark.parametrize('period', [0.5, 1.0, 3.0])
def test_bursts_that_follow_each_other_are_an_overload(make_idle, period):
    simulation = make_idle(3.0)
    for number in range(round(30 / period)):
        size = round(1.8 * SLOTS * period)
        offer_burst(simulation, 6 + number * period, size)
    simulation.run(40)
    in_vain = [one for one in simulation.ended if (one.rejected or 0) > 0.1]
    assert len(in_vain) <= 0.05 * len(simulation.ended)
