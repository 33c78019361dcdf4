"""Limit of extra sends and the rules against them."""

import random

import pytest

from galenaswitch.hedging.policy import (
    WINDOW_SECONDS,
    ExtraWorkPolicy,
    LateRequest,
    TargetState,
)

RATIO = 0.1
LATE = LateRequest('desk', True, True, True, 1.0)
IDLE = TargetState('a', True, True, 0.1)


@pytest.fixture
def policy():
    """Return a policy that knows the latencies of a service at 100 s."""
    known = ExtraWorkPolicy(RATIO)
    for number in range(100):
        known.record_first('desk', 100)
        known.record_latency('desk', 0.1 + number / 1000, 100)
    return known


# Guards against extra work beyond the limit in any window, summed over VMs
# that each have a few of the requests and no messages.
def test_limit_holds_in_each_window_over_many_machines():
    rng = random.Random(5)
    machines = [ExtraWorkPolicy(RATIO) for _ in range(60)]
    firsts, extras = [], []
    for step in range(40_000):
        now = step / 1000
        # The load falls to a tenth, which leaves extra sends of the past.
        if now < 15 or step % 10 == 0:
            machine = rng.choice(machines)
            machine.record_first('desk', now)
            firsts.append(now)
        if rng.choice(machines).acquire('desk', now):
            extras.append(now)
    assert len(extras) > 1000
    assert len(extras) <= RATIO * len(firsts)
    for end in range(1, 40):
        start = end - WINDOW_SECONDS
        sent = sum(start < at <= end for at in firsts)
        extra = sum(start < at <= end for at in extras)
        assert extra <= RATIO * sent + 1, end


# Guards against an extra send that a rule forbids.
@pytest.mark.parametrize(
    ('late', 'targets', 'obstacle'),
    [
        (LATE, (IDLE,), ''),
        (LATE._replace(is_repeatable=False), (IDLE,), 'not repeatable'),
        (LATE._replace(has_attempts_left=False), (IDLE,), 'no attempts left'),
        (LATE._replace(has_retries_left=False), (IDLE,), 'no retries left'),
        (LATE._replace(left=0.1), (IDLE,), 'too late'),
        (LATE._replace(service='new'), (IDLE,), 'limit reached'),
        (LATE, (IDLE._replace(is_usable=False),), 'no idle target'),
        (LATE, (IDLE._replace(latency=0.5),), 'no idle target'),
        (LATE, (IDLE._replace(is_idle=False),), 'overloaded'),
        (LATE, (IDLE, *[IDLE._replace(is_idle=False)] * 2), 'overloaded'),
        (LATE, (), 'no idle target'),
    ],
)
def test_rules_forbid_extra_sends(policy, late, targets, obstacle):
    assert policy.find_obstacle(late, targets, 100) == obstacle


# Guards against extra sends that displace first sends at a full service.
def test_refusal_of_a_target_stops_extra_sends_for_a_time(policy):
    policy.record_refusal('desk', 100)
    assert policy.find_obstacle(LATE, (IDLE,), 101.9) == 'overloaded'
    assert policy.find_obstacle(LATE, (IDLE,), 102.1) == ''


def test_limit_ends_extra_sends(policy):
    while policy.acquire('desk', 100):
        continue
    assert policy.find_obstacle(LATE, (IDLE,), 100) == 'limit reached'


# Guards against a limit that is used up by responses that aren't the latest.
@pytest.mark.parametrize(
    ('ratio', 'expected'), [(0.2, 0.9), (0.1, 0.9), (0.05, 0.95), (0.01, 0.99)]
)
def test_smaller_limit_is_for_later_responses(ratio, expected):
    policy = ExtraWorkPolicy(ratio)
    for number in range(200):
        policy.record_latency('desk', number / 200, 100)
    found = policy.find_delay('desk', 100)
    assert found.seconds == pytest.approx(expected, abs=0.01)


# Guards against a delay from too few samples, or from those of another load.
@pytest.mark.parametrize(('count', 'age'), [(19, 0), (100, 61)])
def test_delay_is_unknown_without_recent_samples(count, age):
    policy = ExtraWorkPolicy(RATIO)
    for _ in range(count):
        policy.record_latency('desk', 0.1, 100)
    assert policy.find_delay('desk', 100 + age) is None
