"""Token sinks for responses to callers.

The tokens of a generated text are either collected for one JSON document or
sent one by one as server-sent events.
"""

import asyncio
from collections.abc import Sequence
from hashlib import sha256
from typing import Any, Protocol

from galenaswitch.operations.encoding import dump_json
from galenaswitch.refusals import ExecutionState, Reason, RefusedError
from galenaswitch.targets.messages import Token

# Longest time in seconds that one write may wait for a slow caller.
SLOW_CALLER_TIMEOUT_SECONDS = 10
# Unsent bytes below which a write does not wait. The bound is lower than the
# level at which a paused transport accepts bytes again.
SMALL_BACKLOG_BYTES = 8192


class EventWriter(Protocol):
    """Writes text to the caller and waits while the caller is slow."""

    async def send(self, text: str) -> None:
        """Write text to the response body."""


class Backlog(Protocol):
    """Tells how many bytes wait to be sent to the caller."""

    def get_write_buffer_size(self) -> int:
        """Return the number of unsent bytes."""


class CollectingSink:
    """Collects the tokens of a text that is sent as one JSON document.

    ``count`` is the number of tokens.
    """

    def __init__(self) -> None:
        """Build a sink without tokens."""
        self.count = 0
        self._digest = sha256()
        self._texts: list[str] = []

    async def send(self, tokens: Sequence[Token]) -> None:
        """Append tokens to the collected text."""
        self.record_tokens(tokens)
        self._texts.extend(token.text for token in tokens)

    def record_tokens(self, tokens: Sequence[Token]) -> None:
        """Add tokens to the token count and to the digest."""
        self.count += len(tokens)
        for token in tokens:
            self._digest.update(token.text.encode())

    def text(self) -> str:
        """Return the text of all collected tokens."""
        return ''.join(self._texts)

    def digest(self) -> str:
        """Return the SHA-256 of the text of all tokens, in hex."""
        return self._digest.hexdigest()


class StreamingSink(CollectingSink):
    """Sends tokens to the caller as server-sent events."""

    def __init__(self, writer: EventWriter, backlog: Backlog) -> None:
        """Build a sink on ``writer``; ``backlog`` counts its unsent bytes."""
        super().__init__()
        self._writer = writer
        self._backlog = backlog

    async def send(self, tokens: Sequence[Token]) -> None:
        """Send one event for each token, all events in a single write.

        :raises RefusedError: when the caller stops reading.
        """
        self.record_tokens(tokens)
        text = ''.join(
            encode_event('token', {'index': token.number, 'text': token.text})
            for token in tokens
        )
        await self.write(text)

    async def write(self, text: str) -> None:
        """Write encoded events within a time limit.

        With few unsent bytes the write does not wait, so no timer is started.

        :raises RefusedError: when the caller stops reading.
        """
        if self._backlog.get_write_buffer_size() < SMALL_BACKLOG_BYTES:
            await self._writer.send(text)
            return
        try:
            async with asyncio.timeout(SLOW_CALLER_TIMEOUT_SECONDS):
                await self._writer.send(text)
        except TimeoutError as error:
            raise RefusedError(
                Reason.deadline,
                ExecutionState.partial,
                'the caller does not read',
            ) from error


def encode_event(name: str, fields: dict[str, Any]) -> str:
    r"""Return the text of one server-sent event.

    >>> encode_event('token', {'index': 0})
    'event: token\ndata: {"index":0}\n\n'

    Reference: WHATWG HTML Living Standard, section "Server-sent events".
    """
    line = dump_json(fields)
    return f'event: {name}\ndata: {line}\n\n'
