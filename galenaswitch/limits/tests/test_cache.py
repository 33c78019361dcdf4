import pytest

from galenaswitch.limits.cache import PermitPool, Permits
from galenaswitch.limits.messages import PermitReply

GRANTED_RATE = 60
# Time without grants, in which fallback permits are used.
UNANSWERED_SECONDS = 4


def count_fallback_permits(demand, granted=GRANTED_RATE):
    """Return the fallback permits used after one second of grants."""
    pool = PermitPool(0.0)
    for step in range(1, demand + 1):
        pool.observe_demand(Permits(1, 0), step / demand)
    for step in range(1, granted + 1):
        pool.add_grant(PermitReply(1, 0), step / granted)
    steps = demand * UNANSWERED_SECONDS
    return sum(
        pool.use_fallback(1 + step / demand) for step in range(1, steps + 1)
    )


@pytest.mark.parametrize('factor', [2, 3, 10])
def test_fallback_follows_grant_rate_not_demand(factor):
    used = count_fallback_permits(GRANTED_RATE * factor)
    # Integral of half the grant rate, halved each second: 1 / (2 ln 2).
    assert used <= GRANTED_RATE * 0.722 + 1
    assert used >= GRANTED_RATE * 0.5


def test_no_fallback_without_grants():
    assert count_fallback_permits(GRANTED_RATE, granted=0) == 0
