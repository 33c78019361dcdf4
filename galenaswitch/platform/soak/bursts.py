"""Bursts of pipelined requests on many connections to one machine."""

import asyncio
import secrets
from collections.abc import Callable
from typing import NamedTuple

from galenaswitch.platform.soak.callers import (
    API_KEY,
    DEADLINE_SECONDS,
    HOST,
)
from galenaswitch.platform.soak.machines import Machine
from galenaswitch.platform.soak.records import Records, SentRequest

CONNECTIONS = 20
# Kinds of the requests that are pipelined on each connection, in their order.
PIPELINED_KINDS = ('plain', 'once', 'plain', 'plain', 'once')
REQUEST = (
    'POST {path} HTTP/1.1\r\nHost: {host}\r\nAuthorization: Bearer {key}\r\n'
    'X-Attempt-Id: {ident}\r\nX-Deadline-Ms: {deadline}\r\n'
    'Content-Length: {length}\r\n\r\n{body}'
)


class Burst:
    """Burst that records the outcome of each of its requests."""

    def __init__(
        self, machine: Machine, records: Records, now: Callable[[], float]
    ) -> None:
        """Build a burst that has not been sent yet.

        :param now: returns the seconds since the start of the soak.
        """
        self._machine = machine
        self._records = records
        self._now = now

    async def send(self) -> None:
        """Send all requests at once and wait for the ends of all."""
        await asyncio.gather(*(self._use() for _ in range(CONNECTIONS)))

    async def _use(self) -> None:
        """Send requests on one connection, if the machine accepts it."""
        host, _, port = self._machine.callers.rpartition(':')
        try:
            reader, writer = await asyncio.open_connection(host, int(port))
        except OSError:
            return
        requests = [self._make(kind) for kind in PIPELINED_KINDS]
        try:
            async with asyncio.timeout(DEADLINE_SECONDS + 1):
                await self._exchange(reader, writer, requests)
        except (OSError, EOFError, TimeoutError):
            ended_at = self._now()
            self._records.sent.extend(
                request._replace(ended_at=ended_at) for request in requests
            )
        finally:
            writer.close()

    def _make(self, kind: str) -> SentRequest:
        """Return a request that got no answer so far."""
        ident = secrets.token_hex(8)
        path = f'/{kind}/%20x/3?q=%2f'
        self._records.paths_by_ident[ident] = path
        self._records.machines_by_ident[ident] = self._machine.number
        return SentRequest(
            ident,
            kind,
            self._machine.number,
            self._now(),
            0,
            0,
            False,
            '',
            False,
            False,
        )

    async def _exchange(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        requests: list[SentRequest],
    ) -> None:
        """Send requests, and remove each one that is answered.

        A machine need not answer what follows an answer that says that the
        connection is closed.
        """
        for request in requests:
            writer.write(self._encode(request))
        while requests:
            answer = await _read_answer(reader)
            self._records.sent.append(
                requests.pop(0)._replace(
                    ended_at=self._now(),
                    status=answer.status,
                    from_target='x-server-seal' in answer.fields,
                    body=answer.body.decode('utf-8', 'replace'),
                    complete=True,
                )
            )
            if answer.fields.get('connection') == 'close':
                requests.clear()

    def _encode(self, request: SentRequest) -> bytes:
        body = f'body-{request.ident}'
        return REQUEST.format(
            path=self._records.paths_by_ident[request.ident],
            host=HOST,
            key=API_KEY,
            ident=request.ident,
            deadline=int(DEADLINE_SECONDS * 1000),
            length=len(body),
            body=body,
        ).encode()


class PipelinedAnswer(NamedTuple):
    """Answer of known length.

    :param fields: header fields by their names in lower case.
    """

    status: int
    fields: dict[str, str]
    body: bytes


async def _read_answer(reader: asyncio.StreamReader) -> PipelinedAnswer:
    """Read an answer.

    :raises EOFError: when the connection ends before the answer.
    """
    head = (await reader.readuntil(b'\r\n\r\n')).decode('latin-1')
    status_line, *lines = head.rstrip().split('\r\n')
    fields = dict(_parse_field(line) for line in lines)
    length = int(fields.get('content-length', '0'))
    body = await reader.readexactly(length)
    return PipelinedAnswer(int(status_line.split()[1]), fields, body)


def _parse_field(line: str) -> tuple[str, str]:
    name, _, content = line.partition(':')
    return name.strip().lower(), content.strip()
