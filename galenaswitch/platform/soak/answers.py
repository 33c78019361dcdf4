"""Answers of the fake targets."""

import asyncio
from typing import NamedTuple

from aiohttp import web

from galenaswitch.platform.soak.silences import Silence

MISDIRECTED = 421
FREE_MEMORY_MB = 2.0
# Pause behind each event of an answer that a crash cuts off.
EVENT_PAUSE_SECONDS = 0.03


class Harm(NamedTuple):
    """Requests that end a target which begins to answer them.

    :param part: id of a prompt part, empty for none.
    :param body: body of a whole request, empty for none.
    :param events: events of the answer that leave the target before it ends.
    """

    part: str = ''
    body: str = ''
    events: int = 0

    def concerns(self, request: web.Request, body: str) -> bool:
        """Tell whether a request with a body ends the target."""
        prompt = request.headers.get('X-Prompt-Prefix', '')
        return (self.body != '' and body == self.body) or (
            self.part != '' and f'{self.part}:' in prompt
        )


async def answer_report(request: web.Request) -> web.Response:
    """Tell how much memory is free."""
    return web.json_response({'free-mb': FREE_MEMORY_MB, 'waiting': 0})


def check_instance(request: web.Request, name: str) -> web.Response | None:
    """Reject a request that names another target than this one.

    :param name: name of this target.
    """
    expected = request.headers.get('X-Expect-Instance', name)
    return None if expected == name else refuse(request, MISDIRECTED)


def refuse(
    request: web.Request, status: int, retry_after: float = 0
) -> web.Response:
    """Refuse a request that has not run.

    :param retry_after: seconds for which no request shall come, 0 for none.
    """
    headers = {'X-Not-Executed': '1'}
    ident = request.headers.get('X-Attempt-Id')
    if ident:
        headers['X-Attempt-Id'] = ident
    if retry_after:
        headers['Retry-After'] = f'{retry_after:.2f}'
    return web.Response(status=status, headers=headers)


def make_limit_header(rate: float) -> dict[str, str]:
    """Return the header that names a limit in requests per second, if any."""
    return {'Server-Limit': str(rate)} if rate else {}


async def send_in_parts(
    request: web.Request,
    silence: Silence,
    headers: dict[str, str],
    body: bytes,
) -> web.StreamResponse:
    """Send an answer of known length with a silence."""
    answer = web.StreamResponse(headers=headers)
    answer.content_length = len(body)
    await silence.keep('head')
    await answer.prepare(request)
    middle = len(body) // 2
    await answer.write(body[:middle])
    await silence.keep('middle')
    await answer.write(body[middle:-1])
    await silence.keep('end')
    await answer.write(body[-1:])
    await answer.write_eof()
    return answer


async def send_events(
    request: web.Request, headers: dict[str, str], count: int
) -> None:
    """Send the first events of a stream that goes no further."""
    after = int(request.headers.get('Last-Event-Id', '0'))
    answer = web.StreamResponse(headers=headers)
    answer.content_type = 'text/event-stream'
    await answer.prepare(request)
    for number in range(after + 1, after + 1 + count):
        await answer.write(f'id: {number}\ndata: x\n\n'.encode())
        await asyncio.sleep(EVENT_PAUSE_SECONDS)
