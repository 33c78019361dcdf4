"""Fake platform: versioned object store and list of machines and targets.

A control API injects faults (outage, delay, lost requests and answers, rate
limits, lagging lists) and reports how many calls arrived.
"""

import asyncio
import sys
import time
from collections import Counter
from typing import Any

import uvloop
from sanic import HTTPResponse, Request, Sanic
from sanic.response import json as answer_json

from standins.serving import serve_application

UNAVAILABLE_STATUS = 503
TOO_MANY_REQUESTS_STATUS = 429
PRECONDITION_FAILED_STATUS = 412
NOT_FOUND_STATUS = 404
HANG_SECONDS = 30


class Platform:
    """State, faults and call counts of the fake platform.

    :ivar revision: number of the last write to the store.
    :ivar lists: versions of the membership list with the time of each.
    """

    def __init__(self) -> None:
        """Build a platform with an empty store and no faults."""
        self.revision = 0
        self.objects: dict[tuple[str, str], dict[str, Any]] = {}
        self.changed = asyncio.Condition()
        self.calls: Counter[str] = Counter()
        self.faults: dict[str, Any] = {}
        self.lists: list[tuple[float, dict[str, Any]]] = []
        self.calls_by_second: Counter[tuple[str, int]] = Counter()

    async def write(self, key: tuple[str, str], body: Any, base: int) -> Any:
        """Write an object if its version is ``base``.

        :return: HTTP status and document of the answer.
        """
        stored = self.objects.get(key)
        version = stored['version'] if stored else 0
        if version != base:
            return PRECONDITION_FAILED_STATUS, {'version': version}
        self.revision += 1
        self.objects[key] = {
            'kind': key[0],
            'name': key[1],
            'version': self.revision,
            'body': body,
        }
        async with self.changed:
            self.changed.notify_all()
        return 200, {'version': self.revision}

    def select_objects(
        self, kinds: str, since: int = 0
    ) -> list[dict[str, Any]]:
        """Return the objects of these kinds that changed after a revision.

        :param kinds: comma-separated kinds.
        :param since: revision of the store.
        """
        wanted_kinds = set(kinds.split(','))
        return [
            entry
            for entry in self.objects.values()
            if entry['kind'] in wanted_kinds and entry['version'] > since
        ]

    def consume_fault(self, fault: str) -> bool:
        """Tell whether a counted fault applies now, and count it down."""
        left = self.faults.get(fault, 0)
        if left:
            self.faults[fault] = left - 1
        return bool(left)

    def exceeds_rate_limit(self, call_kind: str) -> bool:
        """Count a call; tell whether its kind exceeds its rate limit."""
        self.calls[call_kind] += 1
        rate_key = (call_kind, int(time.monotonic()))
        self.calls_by_second[rate_key] += 1
        return self.calls_by_second[rate_key] > self.faults.get(
            f'max_{call_kind}', 1e9
        )

    def find_visible_list(self) -> dict[str, Any]:
        """Return the newest membership list that is older than the lag."""
        visible_before = time.monotonic() - self.faults.get('list_lag', 0)
        found: dict[str, Any] = {
            'revision': 0,
            'machines': [],
            'targets': [],
        }
        for published_at, document in self.lists:
            if published_at <= visible_before or found['revision'] == 0:
                found = document
        return found


app = Sanic('platform', configure_logging=False)
platform = Platform()


@app.on_request
async def inject_faults(request: Request) -> HTTPResponse | None:
    """Apply outage, rate limits and delay to a call of the platform API."""
    if request.path.startswith('/control'):
        return None
    call_kind = 'writes' if request.method == 'PUT' else 'reads'
    if platform.faults.get('outage'):
        return answer_json({}, status=UNAVAILABLE_STATUS)
    if platform.exceeds_rate_limit(call_kind):
        return answer_json({}, status=TOO_MANY_REQUESTS_STATUS)
    await asyncio.sleep(platform.faults.get('delay', 0))
    return None


@app.get('/objects/<kind>/<name>')
async def read_object(request: Request, kind: str, name: str) -> HTTPResponse:
    """Handle a read of one object."""
    stored = platform.objects.get((kind, name))
    if stored is None:
        return answer_json({'version': 0}, status=NOT_FOUND_STATUS)
    return answer_json(stored)


@app.put('/objects/<kind>/<name>')
async def write_object(request: Request, kind: str, name: str) -> HTTPResponse:
    """Handle a conditional write, with faults applied.

    The faults lose the request, lose the answer after the write, or apply
    the write after the answer that reports a failure.
    """
    base = int(request.headers['If-Match'])
    if platform.consume_fault('lose_requests'):
        return answer_json({}, status=UNAVAILABLE_STATUS)
    if platform.consume_fault('late_writes'):
        request.app.add_task(
            write_after_delay((kind, name), request.json, base)
        )
        return answer_json({}, status=UNAVAILABLE_STATUS)
    status, document = await platform.write((kind, name), request.json, base)
    if platform.consume_fault('lose_answers'):
        return answer_json({}, status=UNAVAILABLE_STATUS)
    return answer_json(document, status=status)


async def write_after_delay(key: tuple[str, str], body: Any, base: int) -> None:
    """Apply a write some time after its caller was told that it failed."""
    await asyncio.sleep(platform.faults.get('late_seconds', 1))
    await platform.write(key, body, base)


@app.get('/objects')
async def list_objects(request: Request) -> HTTPResponse:
    """Handle a request for all objects of some kinds."""
    found = platform.select_objects(request.args.get('kinds'))
    return answer_json({'revision': platform.revision, 'objects': found})


@app.get('/watch')
async def watch_objects(request: Request) -> HTTPResponse:
    """Handle a long poll for objects that change after a revision."""
    kinds = request.args.get('kinds')
    since = int(request.args.get('since'))
    deadline = time.monotonic() + float(request.args.get('seconds'))
    found = platform.select_objects(kinds, since)
    while not found and time.monotonic() < deadline:
        try:
            async with asyncio.timeout(deadline - time.monotonic()):
                async with platform.changed:
                    await platform.changed.wait()
        except TimeoutError:
            break
        found = platform.select_objects(kinds, since)
    if platform.consume_fault('miss_events'):
        found = []
    return answer_json({'revision': platform.revision, 'objects': found})


@app.get('/lists/members')
async def read_members(request: Request) -> HTTPResponse:
    """Handle a read of the membership list.

    The answer is 304 if the caller has the current revision already.
    """
    found = platform.find_visible_list()
    if request.headers.get('If-None-Match') == f'"{found["revision"]}"':
        return HTTPResponse(status=304)
    return answer_json(found)


@app.put('/control/lists')
async def set_members(request: Request) -> HTTPResponse:
    """Handle a request that publishes a new membership list."""
    platform.lists.append((time.monotonic(), request.json))
    return answer_json({})


@app.put('/control/faults')
async def set_faults(request: Request) -> HTTPResponse:
    """Handle a request that sets faults, such as outage or lose_answers."""
    platform.faults.update(request.json)
    return answer_json(platform.faults)


@app.get('/control/state')
async def show_state(request: Request) -> HTTPResponse:
    """Handle a request for the call counts and all objects."""
    return answer_json(
        {
            'calls': platform.calls,
            'objects': list(platform.objects.values()),
        },
    )


def main(port: int) -> None:
    """Run the fake platform on a loopback port until SIGTERM or SIGINT."""
    uvloop.run(serve_application(app, '127.0.0.1', port))


if __name__ == '__main__':
    main(int(sys.argv[1]))
