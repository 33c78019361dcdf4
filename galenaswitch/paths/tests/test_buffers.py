"""Memory of batches and tunnels in the account of a process."""

from contextlib import nullcontext
from unittest.mock import Mock

import pytest

from galenaswitch.connections.memory import HeldKind, MemoryAccount
from galenaswitch.errors import TargetUnreachableError
from galenaswitch.gateway.sending import Sender
from galenaswitch.membership.lists import Target
from galenaswitch.paths.exits import _TargetEnd, _TunnelEnd

TARGET = Target('t', 't/1', 'z', 'desk', 't:1')


@pytest.fixture
def account():
    """Return an account of which bodies may take three quarters."""
    return MemoryAccount(400_000)


# Guards against batches and tunnels that are broken off for a body which
# arrives, and against bodies for which they leave no memory.
def test_body_gives_way_to_internal_bytes(account):
    given_up = []
    with account.hold(300_000):
        body = account.open(lambda: given_up.append('body'), HeldKind.body)
        body.opened_at -= 9
        body.resize(150_000)
        assert given_up == ['body']
        assert account.total == 300_000
    assert account.total == 0


# Guards against bodies of batches that take memory outside the account.
@pytest.mark.parametrize('is_own', [True, False])
async def test_body_of_a_batch_is_accounted_for(account, is_own):
    counted = []

    async def acquire(*args):
        counted.append(account.total)
        raise TargetUnreachableError('x')

    turns = Mock(**{'seats.hold.return_value': nullcontext()})
    pool = Mock(memory=account, acquire=acquire)
    sender = Sender(pool, turns, Mock(), Mock())
    with pytest.raises(TargetUnreachableError):
        async with sender.send(TARGET, Mock(), b'x' * 9, 3, is_own=is_own):
            pytest.fail('the batch was sent')
    assert (counted, account.total) == ([9 * is_own], 0)


# Guards against buffers of tunnels that take memory outside the account, or
# count for good when a tunnel has ended.
@pytest.mark.parametrize('is_lost', [True, False])
@pytest.mark.parametrize('is_target', [True, False])
def test_buffers_of_a_tunnel_are_accounted_for(account, is_lost, is_target):
    target = _TargetEnd(account)
    end = (
        target if is_target else _TunnelEnd(Mock(), '', Mock(), set(), account)
    )
    end.connection_made(Mock(**{'get_write_buffer_size.return_value': 70_000}))
    end.write(b'x')
    assert account.total == 0
    end.pause_writing()
    assert account.sums[HeldKind.internal] == 70_000
    if is_lost:
        end.connection_lost(None)
    else:
        end.resume_writing()
    assert account.total == 0
