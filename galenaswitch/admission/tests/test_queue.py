"""Order of waiting requests, and the work of one pass over them."""

import itertools

import pytest

from galenaswitch.admission.queue import (
    MAX_MISSES,
    MAX_PLACEMENTS,
    PlacementQueue,
    Waiting,
)


class Engines:
    """Engines with free slots that record the trials to place on them."""

    def __init__(self, **slots):
        """Build engines with a number of free slots each."""
        self.slots = slots
        self.wanted = {}
        self.trials = []
        self.placed = []

    @property
    def engines(self):
        """Return the names of all engines."""
        return self.slots.keys()

    def find_wanted(self, ident):
        """Return the engines that a request may use."""
        return frozenset(self.wanted.get(ident, self.slots))

    def place(self, ident, names):
        """Place a request on the first engine with a free slot."""
        self.trials.append(ident)
        free = [name for name in sorted(names) if self.slots[name]]
        if free:
            self.slots[free[0]] -= 1
            self.placed.append((ident, free[0]))
        return bool(free)

    def run_pass(self, queue):
        """Run a pass over a queue."""
        return queue.run_pass(self)


@pytest.fixture
def queue():
    """Return a queue in which no request waits."""
    return PlacementQueue()


@pytest.fixture
def add(queue):
    """Return a function that adds a request to the queue."""
    numbers = itertools.count()

    def add_request(ident, priority=1, *, late=False, new=True, start_by=1.0):
        queue.add(Waiting(ident, late, priority, new, start_by, next(numbers)))

    return add_request


def test_requests_are_placed_by_lateness_priority_return_and_start(queue, add):
    add('late', 0, late=True)
    add('second', start_by=3.0)
    add('first', start_by=2.0)
    add('returned', new=False, start_by=9.0)
    add('urgent', 0, start_by=9.0)
    engines = Engines(e=9)
    assert not engines.run_pass(queue)
    assert [ident for ident, _ in engines.placed] == [
        'urgent',
        'returned',
        'first',
        'second',
        'late',
    ]
    assert not len(queue)


# Guards against work on each change that grows with the number waiting.
@pytest.mark.parametrize('count', [50, 400])
def test_pass_tries_one_request_more_than_fit(queue, add, count):
    for number in range(count):
        add(str(number))
    engines = Engines(e1=2, e2=1)
    engines.run_pass(queue)
    assert engines.trials == ['0', '1', '2', '3']
    for _ in range(100):
        engines.slots['e1'] += 1
        engines.trials.clear()
        engines.run_pass(queue)
        assert len(engines.trials) == min(2, len(queue) + 1)
        add('more')


# Guards against a service whose free engines stay unused behind a request that
# waits for another one.
def test_request_leaves_engines_that_it_may_not_use_to_others(queue, add):
    add('pinned', 0)
    for number in range(300):
        add(str(number))
    engines = Engines(full=0, free=2)
    engines.wanted['pinned'] = {'full'}
    engines.run_pass(queue)
    assert engines.placed == [('0', 'free'), ('1', 'free')]
    assert engines.trials == ['pinned', '0', '1', '2']


def test_engine_is_left_to_the_first_request_that_waits_for_it(queue, add):
    add('pinned', 0)
    add('other')
    engines = Engines(one=0, two=0)
    engines.wanted['pinned'] = {'one'}
    engines.run_pass(queue)
    engines.slots['two'] = 1
    engines.run_pass(queue)
    assert engines.placed == [('other', 'two')]


# Guards against a pass that holds up the event loop.
def test_pass_is_bounded(queue, add):
    for number in range(300):
        add(str(number))
    engines = Engines(e=1000)
    assert engines.run_pass(queue)
    assert len(engines.placed) == MAX_PLACEMENTS
    pinned = {f'e{number}': 0 for number in range(99)}
    engines = Engines(**pinned)
    engines.wanted = {
        waiting.ident: {f'e{number % 99}'}
        for number, waiting in enumerate(queue)
    }
    engines.run_pass(queue)
    assert len(engines.trials) == MAX_MISSES


# Guards against requests that wait behind all that no engine can serve.
def test_requests_for_reserved_engines_cost_no_trial(queue, add):
    for number in range(200):
        add(f'pinned{number}', 0)
    add('other')
    engines = Engines(full=0, free=1)
    engines.wanted = {f'pinned{n}': {'full'} for n in range(200)}
    engines.run_pass(queue)
    assert engines.trials == ['pinned0', 'other']


def test_request_that_can_no_longer_be_on_time_gives_way(queue, add):
    add('old', start_by=1.0)
    add('new', 2, start_by=5.0)
    queue.demote_late(2.0)
    assert [waiting.ident for waiting in queue] == ['new', 'old']
    queue.remove('old')
    queue.remove('new')
    queue.demote_late(9.0)
    assert not len(queue)
