import pytest

from galenaswitch.limits.cache import PermitPool, Permits
from galenaswitch.limits.messages import PermitReply

GRANTED_RATE = 60
# Seconds without an answer in which the reserve is used.
SILENT_SECONDS = 4


def use_fallback(demand, granted=GRANTED_RATE):
    """Return the requests permitted by reserve after a second of answers."""
    pool = PermitPool(0.0)
    for step in range(1, demand + 1):
        pool.observe_demand(Permits(1, 0), step / demand)
    for step in range(1, granted + 1):
        pool.add_grant(PermitReply(1, 0), step / granted)
    steps = demand * SILENT_SECONDS
    return sum(
        pool.use_fallback(1 + step / demand) for step in range(1, steps + 1)
    )


@pytest.mark.parametrize('factor', [2, 3, 10])
def test_reserve_goes_by_grants_and_not_by_demand(factor):
    used = use_fallback(GRANTED_RATE * factor)
    # Half of the rate, halved each second, integrated: 1 / (2 ln 2).
    assert used <= GRANTED_RATE * 0.722 + 1
    assert used >= GRANTED_RATE * 0.5


def test_reserve_without_grants_is_empty():
    assert use_fallback(GRANTED_RATE, granted=0) == 0
