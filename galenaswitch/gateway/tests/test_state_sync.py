"""What a VM learns, and how long it relies on one watch."""

import pytest

from galenaswitch.gateway.state_sync import (
    NON_RELAY_WATCH_SECONDS,
    StateSync,
    read_machine,
)
from galenaswitch.membership.directory import Directory
from galenaswitch.membership.lists import Machine, Members
from galenaswitch.store.client import StoredObject

APPLY_SECONDS = 2.0


class StubRelay:
    """Passes configuration on, or not."""

    def __init__(self, *, relays):
        """Say whether it does."""
        self.relays = relays


@pytest.fixture
def state_sync():
    """What a VM without store has learned."""
    own = Machine('a', 'z', '127.0.0.1', 1)
    return StateSync(None, None, Directory(Members(), own), own, None)


@pytest.fixture
def body():
    """Entry of a VM in the store."""
    return Machine('b', 'z', '127.0.0.2', 1, cores=2.0)._asdict()


def read_entry(body):
    """Read the entry of a VM."""
    return read_machine(StoredObject('galena-vms', 'b', 3, body))


def test_entry_of_a_machine_is_read(body):
    assert read_entry(body).cores == 2


def test_fields_that_a_newer_version_adds_are_ignored(body):
    assert read_entry({**body, 'memory': 300}).name == 'b'


@pytest.mark.parametrize(
    'changes',
    [{'cores': 'many'}, {'cores': 0}, {'port': 'x'}, {'port': None}],
)
def test_torn_entry_of_a_machine_is_skipped(body, changes):
    assert read_entry({**body, **changes}) is None


@pytest.mark.parametrize('body', [None, [], 'x', {}])
def test_entry_of_another_form_is_skipped(body):
    assert read_entry(body) is None


def test_who_passes_configuration_on_watches_for_less_than_its_bound(
    state_sync,
):
    """A watch that the store swallowed is missed until its end."""
    state_sync.use_relay(StubRelay(relays=True))
    assert state_sync._find_watch_seconds() < APPLY_SECONDS


def test_others_hear_from_those_and_watch_longer(state_sync):
    state_sync.use_relay(StubRelay(relays=False))
    assert state_sync._find_watch_seconds() == NON_RELAY_WATCH_SECONDS


def test_machine_on_its_own_watches_like_one_that_passes_on(state_sync):
    assert state_sync._find_watch_seconds() < APPLY_SECONDS
