"""Links of one process to its peers, which may close at any moment."""

import asyncio
from unittest.mock import Mock

import pytest

from galenaswitch.errors import PeerClosedError
from galenaswitch.membership import mesh as mesh_module
from galenaswitch.membership.handshake import Identity
from galenaswitch.membership.links import LinkService
from galenaswitch.membership.lists import Machine, MemberList, Members
from galenaswitch.membership.mesh import Mesh
from galenaswitch.operations.process import TaskGroup

PEER = Machine('b', 'z', '127.0.0.1', 1)


class ScriptedLink:
    """Link whose serving ends in a given way."""

    def __init__(self, error=None):
        """End the serving with ``error``, or orderly."""
        self.peer = Identity('b', 'z', 'edge', '1')
        self.closed = False
        self._error = error

    async def serve(self):
        """End at once."""
        if self._error:
            raise self._error

    def close(self):
        """Close the link."""
        self.closed = True


@pytest.fixture
async def mesh(monkeypatch):
    """Return the mesh of a VM that redials its peer without a long pause."""
    monkeypatch.setattr(mesh_module, 'REDIAL_SECONDS', 0.01)
    members = Members()
    members.accept(MemberList(1, (PEER,), ()))
    service = Mock(spec=LinkService, identity=Identity('a', 'z', 'edge', '1'))
    tasks = TaskGroup()
    yield Mesh(service, members, tasks)
    await tasks.stop()


@pytest.fixture
def dialled(monkeypatch):
    """Return the links that are opened one after the other."""
    links = []

    async def dial(*_):
        if not links:
            await asyncio.sleep(60)
        return links.pop(0)

    monkeypatch.setattr(mesh_module, 'dial', dial)
    return links


# Guards against a link that closes at once, which ended the request that waited
# for it with an error that nothing foresees.
async def test_link_that_closes_at_once_is_a_peer_error(mesh, dialled):
    dialled.append(ScriptedLink())
    with pytest.raises(PeerClosedError):
        await mesh.connect('b', 1)


# Guards against a peer that is never dialled again after an unexpected error.
async def test_peer_is_dialled_again_after_an_unexpected_error(mesh, dialled):
    dialled.extend([ScriptedLink(KeyError('odd')), ScriptedLink()])
    with pytest.raises(PeerClosedError):
        await mesh.connect('b', 1)
    await asyncio.sleep(0.1)
    assert not dialled


# Guards against a heartbeat that wakes up again and again, since a timer that
# fires early leaves a fraction of a millisecond to wait.
async def test_heartbeat_does_not_spin_before_it_is_due(mesh, monkeypatch):
    link = ScriptedLink()
    pauses = []

    async def pause(seconds):
        pauses.append(seconds)
        link.closed = len(pauses) == 3

    monkeypatch.setattr(mesh_module.asyncio, 'sleep', pause)
    due = mesh_module.MIN_SILENT_SECONDS - 1e-6
    mesh._service.silent_seconds.return_value = due
    await mesh._run_heartbeat(link)
    assert min(pauses) >= 0.02
