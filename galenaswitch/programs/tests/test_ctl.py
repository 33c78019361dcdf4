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
async def deployment(tmp_path_factory):
    """A running deployment of one machine without contracts."""
    folder = tmp_path_factory.mktemp('ctl')
    async with Deployment(PLAN, folder) as started:
        yield started


async def run_galenactl(deployment, *arguments, settings=''):
    """Run galenactl; return its exit code, standard output and error."""
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
    """Write a contract without pipelines to a file; return the path."""
    contract = make_contract('lab', LAB_TOKEN, pipelines=[], **changes)
    path = deployment.folder / 'lab.json'
    path.write_text(json.dumps(contract))
    return str(path)


async def test_contract_is_created_shown_and_deleted(deployment):
    path = write(deployment)
    code, output, _ = await run_galenactl(deployment, 'contract', 'apply', path)
    assert code == 0
    version = output.split()[1]
    stale = ('--version', '999')
    code, _, errors = await run_galenactl(
        deployment, 'contract', 'apply', path, *stale
    )
    assert code == 1
    assert version in errors
    code, output, _ = await run_galenactl(
        deployment,
        'contract',
        'show',
        'lab',
        '--output',
        'json',
    )
    assert json.loads(output)['workspace'] == 'lab'
    code, output, _ = await run_galenactl(
        deployment, 'contract', 'delete', 'lab'
    )
    assert code == 0
    code, output, _ = await run_galenactl(deployment, 'contract', 'list')
    assert 'lab' not in output
    code, output, _ = await run_galenactl(deployment, 'contract', 'apply', path)
    assert int(output.split()[1]) > int(version)


@pytest.mark.parametrize(
    ('changes', 'message_part'),
    [
        ({'requests_per_second': -1}, 'requests_per_second'),
        ({'pipelines_': 1}, 'pipelines_'),
        ({'shortage': 'panic'}, 'shortage'),
    ],
)
async def test_refusal_of_contract_names_invalid_field(
    deployment, changes, message_part
):
    path = write(deployment, **changes)
    code, _, errors = await run_galenactl(deployment, 'contract', 'apply', path)
    assert code == 1
    assert message_part in errors


async def test_contract_with_unknown_pipeline_is_refused(deployment):
    contract = make_contract('other', 't', pipelines=['nowhere'])
    path = deployment.folder / 'other.json'
    path.write_text(json.dumps(contract))
    code, _, errors = await run_galenactl(
        deployment, 'contract', 'apply', str(path)
    )
    assert (code, 'nowhere' in errors) == (1, True)


async def test_reader_may_not_write(deployment):
    text = (deployment.folder / 'galenactl.ini').read_text()
    reader = deployment.folder / 'reader.ini'
    reader.write_text(text.replace('operator-token', READER_TOKEN))
    code, _, _ = await run_galenactl(
        deployment, 'contract', 'list', settings=str(reader)
    )
    assert code == 0
    path = write(deployment)
    code, _, errors = await run_galenactl(
        deployment,
        'contract',
        'apply',
        path,
        settings=str(reader),
    )
    assert (code, 'Forbidden' in errors) == (1, True)


async def test_unreachable_admin_gives_exit_code_three(deployment):
    path = deployment.folder / 'nowhere.ini'
    path.write_text('[admin]\nurl=http://127.0.0.1:9\ntoken=x\n')
    code, _, errors = await run_galenactl(
        deployment, 'status', settings=str(path)
    )
    assert (code, 'cannot reach' in errors) == (3, True)


async def test_state_dumps_contain_no_secret(deployment):
    for program in ('entry', 'control', 'admin'):
        code, output, _ = await run_galenactl(
            deployment,
            'dump',
            'north-1',
            '--program',
            program,
        )
        assert code == 0
        assert PEER_SECRET not in output
        assert LAB_TOKEN not in output
