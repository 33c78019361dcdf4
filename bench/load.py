"""Open-loop load generator that checks whether each answer is complete."""

import asyncio
import json
import time
from hashlib import sha256
from typing import Any, NamedTuple

import aiohttp

from bench.trace import ANSWER_TOKENS, Arrival, make_prompt
from standins.launcher import Deployment

REQUEST_TIMEOUT_SECONDS = 15
EMPTY_DIGEST = sha256().hexdigest()


class Outcome(NamedTuple):
    """Result of one request of the trace.

    :param at: scheduled send time in seconds after the start of the trace.
    :param complete: whether the complete answer arrived.
    :param seconds: time to the last byte.
    :param first: time to the first token in seconds, 0 without tokens.
    :param token_gaps: seconds between successive tokens.
    :param reason: type of the error, empty without an error.
    :param cost: cost units that the answer reports.
    """

    at: float
    workspace: str
    pipeline: str
    complete: bool
    seconds: float
    first: float = 0
    token_gaps: tuple[float, ...] = ()
    reason: str = ''
    cost: float = 0


class AnswerReader:
    """Parser of one answer that records token times and a digest."""

    def __init__(self, started_at: float) -> None:
        """Build a reader for a request sent at this monotonic time."""
        self.started_at = started_at
        self.token_times: list[float] = []
        self.digest = sha256()
        self.done: dict[str, Any] = {}
        self.reason = ''

    def receive_line(self, line: str) -> None:
        """Parse one line of an event stream."""
        if not line.startswith('data: '):
            return
        fields = json.loads(line.removeprefix('data: '))
        if 'index' in fields:
            self.token_times.append(time.monotonic())
            self.digest.update(fields['text'].encode())
        elif 'error' in fields:
            self.reason = fields['error']['type']
        else:
            self.done = fields

    def is_complete(self, streamed: bool) -> bool:
        """Tell whether the answer is complete.

        The last event of a stream holds the token count and digest.
        """
        if not self.done:
            return False
        if not streamed:
            return True
        same = self.done['digest'] == self.digest.hexdigest()
        return same and self.done['count'] == len(self.token_times)


async def send_request(deployment: Deployment, arrival: Arrival) -> Outcome:
    """Send one request, read its answer and return the outcome."""
    started_at = time.monotonic()
    reader = AnswerReader(started_at)
    streamed = arrival.pipeline != 'seats'
    body: dict[str, Any] = {'fields': {'tour': 'noon'}}
    if streamed:
        body = {
            'prompt': make_prompt(arrival),
            'max_tokens': ANSWER_TOKENS,
            'stream': True,
        }
    headers = {'Authorization': f'Bearer {arrival.workspace.token}'}
    url = f'{deployment.urls["balancer"]}/v1/pipelines/{arrival.pipeline}'
    try:
        async with asyncio.timeout(REQUEST_TIMEOUT_SECONDS):
            async with deployment.http.post(
                url,
                json=body,
                headers=headers,
            ) as answer:
                await read(answer, reader)
    except (aiohttp.ClientError, OSError, ValueError) as error:
        reader.reason = reader.reason or type(error).__name__
    return make_outcome(arrival, reader, streamed)


async def read(answer: aiohttp.ClientResponse, reader: AnswerReader) -> None:
    """Read an answer: an event stream or one JSON document."""
    if answer.content_type == 'text/event-stream':
        async for line in answer.content:
            reader.receive_line(line.decode().rstrip())
        return
    document = await answer.json()
    if 'error' in document:
        reader.reason = document['error']['type']
        return
    reader.done = document


def make_outcome(
    arrival: Arrival, reader: AnswerReader, streamed: bool
) -> Outcome:
    """Return the outcome of a request whose answer has been read."""
    token_times = reader.token_times
    later = zip(token_times, token_times[1:], strict=False)
    return Outcome(
        arrival.at,
        arrival.workspace.name,
        arrival.pipeline,
        reader.is_complete(streamed),
        time.monotonic() - reader.started_at,
        token_times[0] - reader.started_at if token_times else 0,
        tuple(after - before for before, after in later),
        reader.reason,
        reader.done.get('cost', 0),
    )


async def run_open_loop(
    deployment: Deployment,
    trace: tuple[Arrival, ...],
) -> list[Outcome]:
    """Send all requests of a trace, each at its arrival time.

    A request doesn't wait for the answers to earlier requests.
    """
    started_at = time.monotonic()
    tasks = []
    for arrival in trace:
        await asyncio.sleep(max(0, started_at + arrival.at - time.monotonic()))
        tasks.append(asyncio.create_task(send_request(deployment, arrival)))
    return list(await asyncio.gather(*tasks))
