"""Networks that runs on one machine take and free."""

import asyncio
import os
import subprocess
import sys

import pytest

from galenaswitch.platform.soak.networks import (
    FIRST_NETWORK,
    LAST_NETWORK,
    Network,
    NoFreeNetworkError,
)
from galenaswitch.platform.soak.soak import Plan, Soak

HOLD_NETWORK = """
import sys
from pathlib import Path
from galenaswitch.platform.soak.networks import Network
network = Network(151, Path(sys.argv[1]))
print(network.number, flush=True)
sys.stdin.read()
"""


# Guards against two runs whose processes listen on the same addresses.
def test_network_of_another_process_is_not_taken(tmp_path):
    with subprocess.Popen(
        (sys.executable, '-c', HOLD_NETWORK, str(tmp_path)),
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
    ) as other:
        assert int(other.stdout.readline()) == 151
        network = Network(151, tmp_path)
        assert network.number == 152
        network.release()
    network = Network(151, tmp_path)
    assert network.number == 151
    network.release()


# Guards against a search that stops at the last number, or never ends.
def test_search_tries_each_network_once(tmp_path):
    taken = [
        Network(LAST_NETWORK - 1, tmp_path)
        for _ in range(FIRST_NETWORK, LAST_NETWORK)
    ]
    assert len({network.number for network in taken}) == len(taken)
    with pytest.raises(NoFreeNetworkError):
        Network(LAST_NETWORK - 1, tmp_path)
    for network in taken:
        network.release()


# Guards against a killed run, whose processes still have the addresses.
def test_network_is_taken_while_a_process_inherits_it(tmp_path):
    network = Network(151, tmp_path)
    with subprocess.Popen(
        (sys.executable, '-c', 'import sys; sys.stdin.read()'),
        stdin=subprocess.PIPE,
        pass_fds=(network.descriptor,),
    ):
        network.release()
        later = Network(151, tmp_path)
        assert later.number == 152
        later.release()


# Guards against a network that is free before its processes have ended.
async def test_closed_soak_has_no_processes(tmp_path):
    soak = Soak(Plan(1, network=152, machines=1), tmp_path)
    machine = soak._machines[0]
    soak._start_task(machine.run())
    while machine._process is None:
        await asyncio.sleep(0.01)
    process = machine._process
    await soak.close()
    with pytest.raises(ProcessLookupError):
        os.kill(process.pid, 0)
    later = Network(soak.network.number)
    assert later.number == soak.network.number
    later.release()
