"""Decision whether the silence of the targets is a lost path."""

import pytest

from galenaswitch.paths.silences import (
    CHECK_INTERVAL_SECONDS,
    SILENCE_SECONDS,
    SilenceMonitor,
)

TARGETS = ('a:1', 'b:1', 'c:1')
LOOK_SECONDS = 0.1
# Seconds for which a target works or is frozen while others are heard.
LONG_SECONDS = 5


@pytest.fixture
def look():
    """Return a function that looks at a monitor for a time."""

    def count_checks(monitor, seconds, on_look=lambda: None, *, since=0):
        checks = 0
        for number in range(round(seconds / LOOK_SECONDS) + 1):
            on_look()
            now = since + number * LOOK_SECONDS
            checks += monitor.is_check_due(len(TARGETS), now)
        return checks

    return count_checks


@pytest.fixture
def monitor():
    """Return a monitor with unanswered requests at two targets."""
    monitor = SilenceMonitor()
    for address in TARGETS[:2]:
        monitor.begin(address)
    return monitor


# Guards against checks as one target alone is slow, silent or frozen, with any
# number of requests.
def test_one_silent_target_is_not_checked(look):
    monitor = SilenceMonitor()
    for _ in range(20):
        monitor.begin(TARGETS[0])
    assert look(monitor, LONG_SECONDS) == 0


# Guards against checks while targets are heard, though others are silent.
def test_path_with_any_byte_is_not_checked(monitor, look):
    assert look(monitor, LONG_SECONDS, monitor.hear) == 0


# Guards against checks as requests come slowly, or end at once.
def test_answered_requests_are_no_silence(monitor, look):
    monitor.end(TARGETS[0])
    assert look(monitor, LONG_SECONDS) == 0
    monitor.begin(TARGETS[1])
    monitor.end(TARGETS[1])
    assert list(monitor.waiting) == [TARGETS[1]]


# Guards against a silence that is found late, and against a check at each look.
def test_silence_of_several_targets_is_checked_at_intervals(monitor, look):
    assert look(monitor, SILENCE_SECONDS - LOOK_SECONDS) == 0
    assert look(monitor, LOOK_SECONDS, since=SILENCE_SECONDS) == 1
    seconds = 3 * CHECK_INTERVAL_SECONDS
    assert look(monitor, seconds, since=SILENCE_SECONDS + LOOK_SECONDS) <= 3


# Guards against a path that counts as lost as a service with all targets is
# overloaded, or all targets are frozen: a peer gets no answer there either.
@pytest.mark.parametrize('reached', [(), TARGETS[:1], (TARGETS[0],) * 2])
def test_silence_that_peers_share_is_no_lost_path(monitor, look, reached):
    assert look(monitor, 1) == 1
    assert not monitor.is_lost(monitor.heard, reached, len(TARGETS))


# Guards against a path that counts as lost as the targets that were silent go
# on during a check.
def test_byte_during_a_check_proves_the_path(monitor):
    heard = monitor.heard
    monitor.hear()
    assert not monitor.is_lost(heard, TARGETS, len(TARGETS))


# Guards against silence that goes on though a peer gets answers.
@pytest.mark.parametrize(('reached', 'probed'), [(TARGETS[1:], 3), ('a:1', 1)])
def test_answers_that_only_a_peer_gets_prove_a_lost_path(
    monitor, reached, probed
):
    reached = (reached,) if isinstance(reached, str) else reached
    assert monitor.is_lost(monitor.heard, reached, probed)


# Guards against checks after the process itself was frozen for a while.
def test_own_pause_is_no_silence(monitor):
    assert not monitor.is_check_due(len(TARGETS), 1)
    assert not monitor.is_check_due(len(TARGETS), 1 + LONG_SECONDS)
