"""Demonstration of a deployment of two zones with fake servers.

The demo applies example contracts and pipelines, sends requests to four
pipelines and exceeds the request rate of one workspace.
"""

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
from standins.launcher import STOP_TIMEOUT_SECONDS, Deployment
from standins.plans import Plan, plan_workers

REPORT_PROMPT = 'Section of skin, margins clear. ' * 200
NOTE_PROMPT = 'The ice house of the goldfields. ' * 100
DEMO_FOLDER = Path('.demo')
LIMITED_TOKEN = 'limited-token'
LIMITED_REQUESTS = 4


def print_line(text: str) -> None:
    """Print a line and flush the output."""
    sys.stdout.write(f'{text}\n')
    sys.stdout.flush()


class Demo:
    """Steps of the demonstration against a running deployment."""

    def __init__(self, deployment: Deployment) -> None:
        """Build a demonstration that uses ``deployment``."""
        self.deployment = deployment
        self.url = deployment.urls['balancer']

    async def run_galenactl(self, *arguments: str) -> None:
        """Run ``galenactl`` and print its output; exit if it fails."""
        print_line(f'$ galenactl {" ".join(arguments)}')
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
        deadline = time.monotonic() + STOP_TIMEOUT_SECONDS
        code = await self.deployment.wait_exit(name, deadline)
        log = self.deployment.folder / f'{name}.log'
        print_line(log.read_text(encoding='utf-8').rstrip())
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
            await self.run_galenactl(kind, 'apply', str(path))
        await self.deployment.wait_ready()

    async def call(
        self,
        pipeline: str,
        token: str,
        key: str = '',
        **body: Any,
    ) -> int:
        """Send one request and print the answer as it arrives.

        :return: HTTP status of the answer.
        """
        headers = {'Authorization': f'Bearer {token}'}
        if key:
            headers['Idempotency-Key'] = key
        print_line(f'--- {pipeline}')
        async with self.deployment.http.post(
            f'{self.url}/v1/pipelines/{pipeline}',
            json=body,
            headers=headers,
        ) as answer:
            async for line in answer.content:
                show_line(line.decode().rstrip())
            return answer.status

    async def show(self) -> None:
        """Send the example requests and print the status of the system."""
        await self.call(
            'summary',
            LAB_TOKEN,
            prompt=REPORT_PROMPT,
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
            prompt=NOTE_PROMPT,
            max_tokens=16,
        )
        await self.call('seats', GUIDES_TOKEN, fields={'tour': 'noon'})
        print_line('--- more requests than the contract of the visitor allows')
        statuses = [
            await self.call('seats', LIMITED_TOKEN, fields={'tour': 'noon'})
            for _ in range(LIMITED_REQUESTS)
        ]
        print_line(f'statuses: {statuses}')
        await self.run_galenactl('status')


def show_line(line: str) -> None:
    """Print the text of a token event, and other lines unchanged."""
    if line.startswith('data: {"index"'):
        text = json.loads(line.removeprefix('data: '))['text']
        sys.stdout.write(text)
        sys.stdout.flush()
        return
    if line and not line.startswith('event: token'):
        print_line(line)


def show_commands(deployment: Deployment) -> None:
    """Print example commands for the running deployment."""
    url = deployment.urls['balancer']
    print_line('The deployment runs until Ctrl-C. Example commands:')
    print_line(
        f'curl -N -H "Authorization: Bearer {LAB_TOKEN}" '
        f'-d \'{{"prompt": "hello", "stream": true}}\' '
        f'{url}/v1/pipelines/summary',
    )
    print_line(f'galenactl status --settings {deployment.folder}/galenactl.ini')


async def run_demo(keep: int) -> None:
    """Start a deployment, run the demonstration, stop all processes."""
    shutil.rmtree(DEMO_FOLDER, ignore_errors=True)
    zones = ('north', 'south')
    plan = Plan(zones=zones, workers=plan_workers(zones))
    async with Deployment(plan, DEMO_FOLDER) as deployment:
        demo = Demo(deployment)
        await demo.set_up()
        await demo.show()
        if keep:
            show_commands(deployment)
            await wait_for_stop()
    exit_codes = {
        name: process.returncode
        for name, process in deployment.processes.items()
    }
    failed = {name: code for name, code in exit_codes.items() if code}
    print_line(
        f'stopped {len(exit_codes)} processes, failed: {failed or "none"}'
    )
    sys.exit(bool(failed))


def main(*, keep: int = 0) -> None:
    """Run the demonstration.

    :param keep: 1 leaves the deployment running until Ctrl-C
    """
    asyncio.run(run_demo(keep))


if __name__ == '__main__':
    defopt.run(main)
