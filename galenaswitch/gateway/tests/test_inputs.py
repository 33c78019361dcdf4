"""Inputs are given up once they were read, and not while they may be needed."""

import asyncio
import time

import pytest

from galenaswitch.gateway.calls import Piece
from galenaswitch.gateway.inputs import READ_SECONDS, InputReleases
from galenaswitch.gateway.messages import HeldResults
from galenaswitch.membership.lists import Target
from galenaswitch.pipelines.demands import Demand, Standing
from galenaswitch.pipelines.gathering import PieceCall
from galenaswitch.pipelines.workers import Worker

TARGET = Target('t', 't/1', 'z', 'courier', '127.0.0.1:1')
HELD = HeldResults('billing', 'b', ('127.0.0.1:2/x',))


@pytest.fixture
def given_up():
    """Results that were given up."""
    return []


@pytest.fixture
def releases(given_up):
    """Inputs of a service."""
    return InputReleases(given_up.append)


@pytest.fixture
def demand():
    """Two pieces that are the last to read some results."""
    pieces = [Piece('r', 1, number, '', HELD.handles) for number in (0, 1)]
    now = time.monotonic()
    return Demand('r', pieces, 1000, '', Standing(now + 1, now + 5), (HELD,))


def start(demand, count):
    """Return a call that takes some pieces of a demand."""
    taken = demand.unsent[:count]
    demand.unsent = demand.unsent[count:]
    return PieceCall(TARGET, tuple((demand, piece) for piece in taken), 0.3)


async def wait_until_read():
    """Wait until an idle target has read its inputs."""
    await asyncio.sleep(READ_SECONDS * 1.5)


async def test_inputs_are_given_up_when_the_last_piece_has_begun(
    releases,
    demand,
    given_up,
):
    releases.watch(start(demand, 1), Worker())
    await wait_until_read()
    assert given_up == []
    releases.watch(start(demand, 1), Worker())
    assert given_up == []
    await wait_until_read()
    assert given_up == [HELD]
    assert demand.inputs_freed


async def test_inputs_are_kept_for_a_piece_that_waits_again(
    releases,
    demand,
    given_up,
):
    call = start(demand, 2)
    releases.watch(call, Worker())
    demand.unsent.append(call.pieces[0][1])
    await wait_until_read()
    assert given_up == []
    assert not demand.inputs_freed


async def test_inputs_are_kept_while_others_use_the_target(
    releases,
    demand,
    given_up,
):
    worker = Worker()
    worker.share(time.monotonic())
    releases.watch(start(demand, 2), worker)
    await wait_until_read()
    assert given_up == []


async def test_inputs_are_given_up_once(releases, demand, given_up):
    call = start(demand, 2)
    releases.watch(call, Worker())
    releases.watch(call, Worker())
    await wait_until_read()
    assert given_up == [HELD]
