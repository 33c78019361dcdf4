"""Seats at brittle targets: what counts, what expires, and refusals."""

import math

import pytest

from galenaswitch.limits.seats import (
    HOLD_OFF_SECONDS,
    OVERTAKING_SECONDS,
    REPLY_SECONDS,
    REPORT_SECONDS,
    BrittleServices,
    HeldSeat,
    Seat,
    SeatLedger,
)

SLOTS = 2


@pytest.fixture
def ledger():
    """Return a ledger in which VM ``b`` was given a seat at time 0."""
    ledger = SeatLedger()
    ledger.take('t/1', 'given', Seat('b', 0, 9))
    return ledger


def test_seat_counts_until_it_is_released(ledger):
    ledger.take('t/1', 'two', Seat('a', 0, math.inf))
    assert not ledger.has_room('t/1', SLOTS, 0)
    assert ledger.release('two') == 't/1'
    assert ledger.has_room('t/1', SLOTS, 0)
    assert not ledger.release('two')


# Guards against a report that was sent before its VM knew of a new seat.
def test_new_seat_outlives_a_report_without_it(ledger):
    ledger.report('b', {'t/1'}, (), REPLY_SECONDS / 2)
    assert ledger.count('t/1') == 1
    ledger.report('b', {'t/1'}, (), REPLY_SECONDS)
    assert not ledger.count('t/1')


def test_report_adds_seats_that_an_owner_before_gave(ledger):
    ledger.report('c', {'t/1'}, (HeldSeat('t/1', 'other'),), 0)
    assert not ledger.has_room('t/1', SLOTS, 0)


def test_report_says_nothing_of_other_targets(ledger):
    ledger.report('b', {'t/2'}, (), REPLY_SECONDS)
    assert ledger.count('t/1') == 1


# Guards against seats of killed VMs that are never free again.
def test_seat_expires_when_its_vm_reports_no_more(ledger):
    ledger.report('b', {'t/1'}, (HeldSeat('t/1', 'given'),), 1)
    ledger.drop_expired(1 + REPORT_SECONDS / 2)
    assert ledger.count('t/1') == 1
    ledger.drop_expired(2 + REPORT_SECONDS)
    assert not ledger.count('t/1')


def test_vm_tells_its_own_seats_only(ledger):
    ledger.take('t/1', 'own', Seat('a', 0, math.inf))
    ledger.take('t/2', 'far', Seat('a', 0, math.inf))
    assert ledger.find_held('a', {'t/1'}) == (HeldSeat('t/1', 'own'),)


def test_target_that_refused_has_no_room_for_a_while(ledger):
    assert ledger.hold_off('t/1', 0)
    assert not ledger.hold_off('t/1', 0.1)
    assert not ledger.has_room('t/1', SLOTS, HOLD_OFF_SECONDS)
    assert ledger.has_room('t/1', SLOTS, 0.1 + HOLD_OFF_SECONDS)


# Guards against a notice that an answer ends which was overtaken by others.
def test_notice_ends_some_time_after_the_last_answer_with_it():
    services = BrittleServices()
    services.observe('desk', 3, 0)
    assert not services.observe('desk', None, OVERTAKING_SECONDS / 2)
    assert services.limits == {'desk': 3}
    assert services.observe('desk', None, OVERTAKING_SECONDS)
    assert not services.limits


def test_answers_of_sound_targets_change_nothing():
    services = BrittleServices()
    assert not services.observe('desk', None, 0)
    assert not services.end('desk')


# Guards against seats of lost requests that two owners tell each other of.
def test_seat_that_another_owner_gave_ends_unless_it_is_reported():
    ledger = SeatLedger()
    ledger.end('ended', now=9.5)
    ledger.learn_given(
        [HeldSeat('t/1', ident) for ident in ('one', 'two', 'ended')], now=10
    )
    assert ledger.count('t/1') == 2
    assert not ledger.find_given('me', {'t/1'}, now=10)
    ledger.report('a', {'t/1'}, [HeldSeat('t/1', 'one')], now=10.5)
    ledger.drop_expired(now=11.1)
    assert ledger.count('t/1') == 1
