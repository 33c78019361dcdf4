"""Puts the tokens of one stream in order and checks that none is missing."""

import asyncio
from collections.abc import AsyncGenerator, AsyncIterator, Iterable

from galenaswitch.errors import TargetBrokenError
from galenaswitch.targets.messages import StreamEnd, Token
from galenaswitch.targets.sequence import TokenSequence

STALL_SECONDS = 1.0


async def order_tokens(
    stream: AsyncGenerator[list[Token] | StreamEnd, None],
    waits: Iterable[float],
    sequence: TokenSequence,
) -> AsyncIterator[list[Token]]:
    """Yield tokens in order until the answer is complete.

    :param stream: groups of tokens; the stream itself fails when it stalls
        after the first group.
    :param waits: timeouts in seconds of successive waits for the first group.
    :raises TargetBrokenError: when no token arrives in time or the answer is
        incomplete.
    """
    received = await _wait_first_tokens(stream, waits)
    while not isinstance(received, StreamEnd):
        ready = sequence.accept(received)
        if ready:
            yield ready
        received = await anext(stream)
    _check_complete(sequence, received)


async def _wait_first_tokens(
    stream: AsyncGenerator[list[Token] | StreamEnd, None],
    waits: Iterable[float],
) -> list[Token] | StreamEnd:
    first = asyncio.ensure_future(anext(stream))
    try:
        for seconds in waits:
            await asyncio.wait((first,), timeout=seconds)
            if first.done():
                return first.result()
    finally:
        first.cancel()
        await asyncio.gather(first, return_exceptions=True)
    raise TargetBrokenError('no token arrived in time')


def _check_complete(sequence: TokenSequence, end: StreamEnd) -> None:
    if not sequence.is_complete(end.tokens):
        raise TargetBrokenError('the stream ended with missing tokens')
