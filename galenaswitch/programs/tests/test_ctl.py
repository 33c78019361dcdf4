import asyncio
import json
import sys

import pytest
import pytest_asyncio

from standins.examples import LAB_TOKEN, make_contract
from standins.launcher import PEER_SECRET, READER_TOKEN, Deployment
from standins.plans import Plan, WorkerPlan

pytestmark = pytest.mark.asyncio(loop_scope='module')
PLAN = Plan(
    zones=('north',),
    entries_per_zone=1,
    engines=(),
    workers=(WorkerPlan('north', 'bookings'),),
)


@pytest_asyncio.fixture(scope='module', loop_scope='module')
async def small(tmp_path_factory):
    """A deployment of one machine without contracts."""
    folder = tmp_path_factory.mktemp('ctl')
    async with Deployment(PLAN, folder) as deployment:
        yield deployment


async def ctl(deployment, *arguments, settings=''):
    """Run galenactl; return exit code, output and errors."""
    path = settings or str(deployment.folder / 'galenactl.ini')
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        '-m',
        'galenaswitch.programs.ctl',
        *arguments,
        '--settings',
        path,
        stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.PIPE,
    )
    output, errors = await process.communicate()
    return process.returncode, output.decode(), errors.decode()


def write(deployment, **changes):
    """Write a contract without pipelines to a file."""
    contract = make_contract('lab', LAB_TOKEN, pipelines=[], **changes)
    path = deployment.folder / 'lab.json'
    path.write_text(json.dumps(contract))
    return str(path)


async def test_life_of_a_contract(small):
    path = write(small)
    code, output, _ = await ctl(small, 'contract', 'apply', path)
    assert code == 0
    version = output.split()[1]
    stale = ('--version', '999')
    code, _, errors = await ctl(small, 'contract', 'apply', path, *stale)
    assert code == 1
    assert version in errors
    code, output, _ = await ctl(
        small,
        'contract',
        'show',
        'lab',
        '--output',
        'json',
    )
    assert json.loads(output)['workspace'] == 'lab'
    code, output, _ = await ctl(small, 'contract', 'delete', 'lab')
    assert code == 0
    code, output, _ = await ctl(small, 'contract', 'list')
    assert 'lab' not in output
    code, output, _ = await ctl(small, 'contract', 'apply', path)
    assert int(output.split()[1]) > int(version)


@pytest.mark.parametrize(
    ('changes', 'words'),
    [
        ({'requests_per_second': -1}, 'requests_per_second'),
        ({'pipelines_': 1}, 'pipelines_'),
        ({'shortage': 'panic'}, 'shortage'),
    ],
)
async def test_wrong_contract_is_refused_by_field(small, changes, words):
    path = write(small, **changes)
    code, _, errors = await ctl(small, 'contract', 'apply', path)
    assert code == 1
    assert words in errors


async def test_contract_with_unknown_pipeline_is_refused(small):
    contract = make_contract('other', 't', pipelines=['nowhere'])
    path = small.folder / 'other.json'
    path.write_text(json.dumps(contract))
    code, _, errors = await ctl(small, 'contract', 'apply', str(path))
    assert (code, 'nowhere' in errors) == (1, True)


async def test_reader_may_not_write(small):
    text = (small.folder / 'galenactl.ini').read_text()
    reader = small.folder / 'reader.ini'
    reader.write_text(text.replace('operator-token', READER_TOKEN))
    code, _, _ = await ctl(small, 'contract', 'list', settings=str(reader))
    assert code == 0
    path = write(small)
    code, _, errors = await ctl(
        small,
        'contract',
        'apply',
        path,
        settings=str(reader),
    )
    assert (code, 'Forbidden' in errors) == (1, True)


async def test_unreachable_admin_is_exit_code_three(small):
    path = small.folder / 'nowhere.ini'
    path.write_text('[admin]\nurl=http://127.0.0.1:9\ntoken=x\n')
    code, _, errors = await ctl(small, 'status', settings=str(path))
    assert (code, 'cannot reach' in errors) == (3, True)


async def test_dumps_hold_no_secret(small):
    for program in ('entry', 'control', 'admin'):
        code, output, _ = await ctl(
            small,
            'dump',
            'north-1',
            '--program',
            program,
        )
        assert code == 0
        assert PEER_SECRET not in output
        assert LAB_TOKEN not in output
