"""The main job on embedded stand-ins: two zones, four requests, a refusal."""

import asyncio
import json
import shutil
import sys
import time
from pathlib import Path
from typing import Any

import defopt

from galenaswitch.operations.process import wait_for_stop
from standins.examples import (
    GUIDES_TOKEN,
    LAB_TOKEN,
    PIPELINES,
    make_contract,
)
from standins.launcher import STOP_SECONDS, Deployment
from standins.plans import Plan, plan_workers

REPORT = 'Section of skin, margins clear. ' * 200
NOTE = 'The ice house of the goldfields. ' * 100
FOLDER = Path('.demo')
LIMITED_TOKEN = 'limited-token'
FIRST_LIMITED = 4


def say(text: str) -> None:
    """Print a line at once."""
    sys.stdout.write(f'{text}\n')
    sys.stdout.flush()


class Demo:
    """The steps of the demonstration."""

    def __init__(self, deployment: Deployment) -> None:
        """Show requests on ``deployment``."""
        self.deployment = deployment
        self.url = deployment.urls['balancer']

    async def ctl(self, *arguments: str) -> None:
        """Run ``galenactl`` as an operator would and show its output."""
        say(f'$ galenactl {" ".join(arguments)}')
        name = f'ctl-{time.monotonic_ns()}'
        settings = self.deployment.folder / 'galenactl.ini'
        self.deployment.run(
            name,
            [
                '-m',
                'galenaswitch.programs.ctl',
                *arguments,
                '--settings',
                str(settings),
            ],
        )
        end = time.monotonic() + STOP_SECONDS
        code = await self.deployment.wait_exit(name, end)
        log = self.deployment.folder / f'{name}.log'
        say(log.read_text(encoding='utf-8').rstrip())
        if code:
            raise SystemExit(code)

    async def set_up(self) -> None:
        """Apply the example pipelines and contracts."""
        contracts = (
            make_contract('lab', LAB_TOKEN),
            make_contract('guides', GUIDES_TOKEN, deadline_ms=10_000),
            make_contract(
                'visitor',
                LIMITED_TOKEN,
                requests_per_second=1,
                shortage='shed',
            ),
        )
        documents = [('pipeline', document) for document in PIPELINES]
        documents += [('contract', document) for document in contracts]
        for kind, document in documents:
            name = document.get('workspace') or document['name']
            path = self.deployment.folder / f'{name}.json'
            path.write_text(json.dumps(document, indent=2), encoding='utf-8')
            await self.ctl(kind, 'apply', str(path))
        await self.deployment.wait_ready()

    async def call(
        self,
        pipeline: str,
        token: str,
        key: str = '',
        **body: Any,
    ) -> int:
        """Send one request and show the answer as it arrives."""
        headers = {'Authorization': f'Bearer {token}'}
        if key:
            headers['Idempotency-Key'] = key
        say(f'--- {pipeline}')
        async with self.deployment.http.post(
            f'{self.url}/v1/pipelines/{pipeline}',
            json=body,
            headers=headers,
        ) as answer:
            async for line in answer.content:
                show_line(line.decode().rstrip())
            return answer.status

    async def show(self) -> None:
        """Send the requests of the example deployments."""
        await self.call(
            'summary',
            LAB_TOKEN,
            prompt=REPORT,
            max_tokens=48,
            stream=True,
        )
        for _ in range(2):
            await self.call(
                'rescan',
                LAB_TOKEN,
                'rescan-17',
                fields={'order': 'slide-17'},
            )
        await self.call(
            'tour-note',
            GUIDES_TOKEN,
            prompt=NOTE,
            max_tokens=16,
        )
        await self.call('seats', GUIDES_TOKEN, fields={'tour': 'noon'})
        say('--- more than the contract of the visitor allows')
        statuses = [
            await self.call('seats', LIMITED_TOKEN, fields={'tour': 'noon'})
            for _ in range(FIRST_LIMITED)
        ]
        say(f'statuses: {statuses}')
        await self.ctl('status')


def show_line(line: str) -> None:
    """Print the text of a token event, other lines as they are."""
    if line.startswith('data: {"index"'):
        text = json.loads(line.removeprefix('data: '))['text']
        sys.stdout.write(text)
        sys.stdout.flush()
        return
    if line and not line.startswith('event: token'):
        say(line)


def show_commands(deployment: Deployment) -> None:
    """Print commands to try by hand."""
    url = deployment.urls['balancer']
    say('Running; end with Ctrl-C. Try:')
    say(
        f'curl -N -H "Authorization: Bearer {LAB_TOKEN}" '
        f'-d \'{{"prompt": "hello", "stream": true}}\' '
        f'{url}/v1/pipelines/summary',
    )
    say(f'galenactl status --settings {deployment.folder}/galenactl.ini')


async def run_demo(keep: int) -> None:
    """Start the deployment, show the requests, stop everything."""
    shutil.rmtree(FOLDER, ignore_errors=True)
    zones = ('north', 'south')
    plan = Plan(zones=zones, workers=plan_workers(zones))
    async with Deployment(plan, FOLDER) as deployment:
        demo = Demo(deployment)
        await demo.set_up()
        await demo.show()
        if keep:
            show_commands(deployment)
            await wait_for_stop()
    codes = {
        name: process.returncode
        for name, process in deployment.processes.items()
    }
    failed = {name: code for name, code in codes.items() if code}
    say(f'stopped {len(codes)} processes, failed: {failed or "none"}')
    sys.exit(bool(failed))


def main(*, keep: int = 0) -> None:
    """Run the demonstration.

    :param keep: 1 leaves everything running
    """
    asyncio.run(run_demo(keep))


if __name__ == '__main__':
    defopt.run(main)
