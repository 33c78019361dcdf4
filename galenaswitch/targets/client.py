"""HTTP client of targets for single answers and token streams.

The type of an error tells whether the target may have run the attempt. A
:class:`TargetUnreachableError` means that no byte was sent. A
:class:`TargetBusyError` means that the target refused the attempt without
running it. After a :class:`TargetBrokenError` or a
:class:`MismatchedAnswerError` the attempt may have run.
"""

from collections.abc import AsyncGenerator, AsyncIterator
from typing import Any

import aiohttp
import orjson

from galenaswitch.errors import (
    MismatchedAnswerError,
    TargetBrokenError,
    TargetBusyError,
    TargetLeavingError,
    TargetUnreachableError,
)
from galenaswitch.membership.lists import Target
from galenaswitch.operations.encoding import dump_json
from galenaswitch.operations.timeouts import Timeout
from galenaswitch.targets.messages import (
    StageCall,
    StreamEnd,
    Token,
    echoes_call,
    encode_call,
)

CONNECT_SECONDS = 0.5
MILLISECONDS = 1000
MAX_LINE_BYTES = 65536
MAX_ANSWER_BYTES = 4 * 1024 * 1024
_OK = 200
_UNAVAILABLE = 503
# ``OSError`` includes ``TimeoutError``. Answers that are not valid JSON raise
# ``ValueError``.
_CALL_ERRORS = (aiohttp.ClientError, OSError, ValueError)


class TargetClient:
    """Sends attempts to targets over HTTP.

    Repeatable calls and streams reuse pooled connections. Every other call
    opens a new connection, because a target that closes an idle connection
    while a call is sent would leave unknown whether the call ran.
    """

    def __init__(self) -> None:
        """Build a client with open pools; needs a running event loop."""
        timeout = aiohttp.ClientTimeout(
            total=None,
            sock_connect=CONNECT_SECONDS,
        )
        self._pooled = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0),
            timeout=timeout,
            json_serialize=dump_json,
            read_bufsize=MAX_LINE_BYTES,
        )
        self._unpooled = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0, force_close=True),
            timeout=timeout,
            json_serialize=dump_json,
        )

    async def close(self) -> None:
        """Close all connections."""
        await self._pooled.close()
        await self._unpooled.close()

    async def call(
        self,
        target: Target,
        call: StageCall,
        repeatable: bool,
    ) -> dict[str, Any]:
        """Send one attempt and read its single answer.

        :param repeatable: whether the call may run twice, which allows a
            pooled connection.
        :returns: the stage's output.
        :raises TargetError: when the attempt fails; the type tells whether
            the attempt may have run.
        """
        session = self._pooled if repeatable else self._unpooled
        try:
            async with (
                Timeout(call.left_ms / MILLISECONDS),
                session.post(
                    f'{target.url}{call.path}',
                    json=encode_call(call),
                ) as answer,
            ):
                document = await _read_document(answer)
        except (
            aiohttp.ClientConnectorError,
            aiohttp.ConnectionTimeoutError,
        ) as error:
            raise _make_unreachable_error(target) from error
        except _CALL_ERRORS as error:
            raise _make_broken_error(target, error) from error
        _check_answer(target, call, answer.status, document)
        output: dict[str, Any] = document['output']
        return output

    async def stream(
        self,
        target: Target,
        call: StageCall,
        max_gap_seconds: float,
    ) -> AsyncGenerator[list[Token] | StreamEnd, None]:
        """Send one attempt and read its token stream.

        :param max_gap_seconds: longest pause between two reads from the
            connection after the first one.
        :returns: groups of tokens as they arrive, then the end of the stream.
        :raises TargetError: when the attempt fails. A stream without its end
            message raises :class:`TargetBrokenError`.
        """
        is_complete = False
        timeout = aiohttp.ClientTimeout(
            total=call.left_ms / MILLISECONDS,
            sock_connect=CONNECT_SECONDS,
        )
        try:
            async with self._pooled.post(
                f'{target.url}{call.path}',
                json=encode_call(call),
                timeout=timeout,
            ) as answer:
                if answer.status != _OK:
                    document = await _read_document(answer)
                    _check_answer(target, call, answer.status, document)
                async for batch in _read_token_batches(
                    answer, call, max_gap_seconds
                ):
                    yield batch
                    is_complete = isinstance(batch, StreamEnd)
        except (
            aiohttp.ClientConnectorError,
            aiohttp.ConnectionTimeoutError,
        ) as error:
            raise _make_unreachable_error(target) from error
        except _CALL_ERRORS as error:
            raise _make_broken_error(target, error) from error
        if not is_complete:
            raise TargetBrokenError(
                f'{target.name} ended the stream without an end message'
            )


async def _read_document(answer: aiohttp.ClientResponse) -> dict[str, Any]:
    length = answer.content_length or 0
    if length > MAX_ANSWER_BYTES:
        raise TargetBrokenError('the answer of the target is too large')
    text = await answer.content.read(MAX_ANSWER_BYTES)
    while not answer.content.at_eof():
        text += await answer.content.read(MAX_ANSWER_BYTES)
        if len(text) > MAX_ANSWER_BYTES:
            raise TargetBrokenError('the answer of the target is too large')
    document = orjson.loads(text)
    if not isinstance(document, dict):
        raise TargetBrokenError('the answer of the target is not a JSON object')
    return document


def _check_answer(
    target: Target,
    call: StageCall,
    status: int,
    document: dict[str, Any],
) -> None:
    if not echoes_call(call, document):
        raise MismatchedAnswerError(
            f'{target.name} sent the answer of another attempt',
        )
    if status == _UNAVAILABLE and document.get('ran') is False:
        kind = _REFUSALS.get(str(document.get('refused')), TargetBusyError)
        raise kind(f'{target.name} refused: {document.get("refused")}')
    if status != _OK or not isinstance(document.get('output'), dict):
        raise TargetBrokenError(
            f'{target.name} failed with HTTP status {status}'
        )


_REFUSALS = {'leaving': TargetLeavingError, 'busy': TargetBusyError}


async def _read_token_batches(
    answer: aiohttp.ClientResponse,
    call: StageCall,
    max_gap_seconds: float,
) -> AsyncIterator[list[Token] | StreamEnd]:
    remainder = b''
    has_gap_limit = False
    async for chunk in answer.content.iter_any():
        if not has_gap_limit:
            has_gap_limit = True
            _limit_gaps(answer, max_gap_seconds)
        *lines, remainder = (remainder + chunk).split(b'\n')
        if len(remainder) > MAX_LINE_BYTES:
            raise TargetBrokenError('a line of the token stream is too long')
        events = [orjson.loads(line) for line in lines if line]
        if not all(echoes_call(call, event) for event in events):
            raise MismatchedAnswerError(
                'the stream has a token of another attempt'
            )
        tokens = _decode_tokens(events)
        if tokens:
            yield tokens
        counts = [event['count'] for event in events if 'count' in event]
        if counts:
            yield StreamEnd(counts[0])
            return


def _limit_gaps(answer: aiohttp.ClientResponse, seconds: float) -> None:
    """Set the longest pause between two reads from a connection.

    The connection fails after a longer pause. The timer of the connection
    costs less than a separate timeout for each token.
    """
    connection = answer.connection
    if connection is None or connection.protocol is None:
        return
    connection.protocol.read_timeout = seconds
    connection.protocol.start_timeout()


def _decode_tokens(events: list[dict[str, Any]]) -> list[Token]:
    return [
        Token(event['index'], event['text'])
        for event in events
        if 'index' in event
    ]


def _make_unreachable_error(target: Target) -> TargetUnreachableError:
    return TargetUnreachableError(f'cannot connect to {target.name}')


def _make_broken_error(target: Target, error: Exception) -> TargetBrokenError:
    return TargetBrokenError(f'{target.name}: {type(error).__name__}')
