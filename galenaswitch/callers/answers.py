"""Answers to callers: one JSON document or server-sent events."""

import asyncio
from collections.abc import Sequence
from hashlib import sha256
from typing import Any, Protocol

from galenaswitch.operations.encoding import dump_json
from galenaswitch.refusals import ExecutionState, Reason, RefusedError
from galenaswitch.targets.messages import Token

SLOW_CALLER_SECONDS = 10
# Below the level at which a paused transport takes bytes again.
FREE_BYTES = 8192


class EventWriter(Protocol):
    """Writes text to the caller, waiting while the caller doesn't read."""

    async def send(self, text: str) -> None:
        """Write some text."""


class Backlog(Protocol):
    """Tells how much the caller has not read yet."""

    def get_write_buffer_size(self) -> int:
        """Return the bytes that wait to be sent."""


class CollectingSink:
    """Collects the tokens of an answer that is sent whole."""

    def __init__(self) -> None:
        """Start empty."""
        self.count = 0
        self._digest = sha256()
        self._parts: list[str] = []

    async def send(self, tokens: Sequence[Token]) -> None:
        """Take some tokens."""
        self.take(tokens)
        self._parts.extend(token.text for token in tokens)

    def take(self, tokens: Sequence[Token]) -> None:
        """Count tokens and add them to the digest."""
        self.count += len(tokens)
        for token in tokens:
            self._digest.update(token.text.encode())

    def text(self) -> str:
        """Return the text so far."""
        return ''.join(self._parts)

    def digest(self) -> str:
        """Return the SHA-256 of the text so far, in hex."""
        return self._digest.hexdigest()


class StreamingSink(CollectingSink):
    """Passes tokens on as server-sent events."""

    def __init__(self, writer: EventWriter, backlog: Backlog) -> None:
        """Write to ``writer``, whose unsent bytes ``backlog`` tells."""
        super().__init__()
        self._writer = writer
        self._backlog = backlog

    async def send(self, tokens: Sequence[Token]) -> None:
        """Write one event for each token, all in one piece.

        :raises RefusedError: when the caller doesn't read.
        """
        self.take(tokens)
        text = ''.join(
            encode_event('token', {'index': token.number, 'text': token.text})
            for token in tokens
        )
        await self.write(text)

    async def write(self, text: str) -> None:
        """Write events, within a time limit.

        A writer whose caller keeps up doesn't wait, so it needs no timer.
        """
        if self._backlog.get_write_buffer_size() < FREE_BYTES:
            await self._writer.send(text)
            return
        try:
            async with asyncio.timeout(SLOW_CALLER_SECONDS):
                await self._writer.send(text)
        except TimeoutError as error:
            raise RefusedError(
                Reason.deadline,
                ExecutionState.partial,
                'the caller does not read',
            ) from error


def encode_event(name: str, fields: dict[str, Any]) -> str:
    r"""Return one server-sent event.

    >>> encode_event('token', {'index': 0})
    'event: token\ndata: {"index":0}\n\n'

    Reference: WHATWG HTML Living Standard, section "Server-sent events".
    """
    line = dump_json(fields)
    return f'event: {name}\ndata: {line}\n\n'
