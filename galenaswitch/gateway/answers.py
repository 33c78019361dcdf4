"""Answers to callers: the checked answer of a target, or a refusal."""

from enum import StrEnum

from galenaswitch.connections.handlers import AnswerWriter
from galenaswitch.connections.heads import (
    AnswerHead,
    filter_end_to_end_headers,
    find_header_text,
)
from galenaswitch.errors import (
    InputsLostError,
    MismatchedAnswerError,
    TargetBrokenError,
    TargetBusyError,
)
from galenaswitch.gateway.calls import AnswerFields, CallerRequest, Wire
from galenaswitch.gateway.events import EventBuffer
from galenaswitch.refusals import RefusedError
from galenaswitch.routing.returns import TargetReplacedError

MIN_SUCCESS_STATUS = 200
MIN_REDIRECT_STATUS = 300
MIN_SERVER_ERROR_STATUS = 500
EVENT_STREAM = 'text/event-stream'
FRAMING_HEADERS = (b'content-length', b'transfer-encoding')
# Callers take these statuses as a promise that their request has not run, so a
# target's answer with one of them is not forwarded.
_NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))


class Ending(StrEnum):
    """What a caller got for its request.

    An answer that is ``cut`` had begun, and its connection was reset.
    """

    answered = 'answered'
    refused = 'refused'
    cut = 'cut'


def check_answer(
    request: CallerRequest, head: AnswerHead, wire: Wire
) -> AnswerFields:
    """Check that the answer of a target may be forwarded to the caller.

    An answer that doesn't name the request says nothing about it: a target may
    write the answer to an earlier request again on the same connection.

    :raises MismatchedAnswerError: when the answer is for another request.
    :raises InputsLostError: when stage results that the request reads are
        lost.
    :raises TargetBusyError: when the target has not run the request.
    :raises TargetBrokenError: when the target itself did not produce the
        answer, or its status promises that the request has not run.
    """
    fields = wire.read_answer(request, head)
    if not fields.echoes_attempt_id:
        raise MismatchedAnswerError('the answer is for another request')
    if fields.inputs_lost:
        raise InputsLostError(f'the target answered {fields.status}')
    if fields.misdirected:
        raise TargetReplacedError(f'the target answered {fields.status}')
    if fields.not_run:
        raise TargetBusyError(f'the target answered {fields.status}')
    if not fields.genuine or fields.status in _NOT_RUN_STATUSES:
        raise TargetBrokenError(f'status {fields.status} may not be forwarded')
    return fields


def check_continuation(head: AnswerHead) -> None:
    """Check that an answer can continue a stream that has begun.

    The caller has the status of the answer that began it.

    :raises TargetBrokenError: when the answer is an error or no event stream.
    """
    if head.status != MIN_SUCCESS_STATUS:
        raise TargetBrokenError(f'the target answered {head.status}')
    content_type = find_header_text(head.headers, b'content-type')
    if content_type and not content_type.startswith(EVENT_STREAM):
        raise TargetBrokenError(f'the target answered {content_type}')


def check_end(events: EventBuffer, head: AnswerHead) -> None:
    """Check that the end of an answer is the end of its stream.

    The rest of a stream has no event if the stream broke off behind its last
    one. Any other empty answer may be an error, or one that was cut off.

    :raises TargetBrokenError: when the stream may not be complete.
    """
    if events.has_partial_event:
        raise TargetBrokenError('the stream ended within an event')
    if events.has_events or not events.last_id:
        return
    content_type = find_header_text(head.headers, b'content-type')
    is_framed = any(
        find_header_text(head.headers, name) for name in FRAMING_HEADERS
    )
    if not (is_framed and content_type.startswith(EVENT_STREAM)):
        raise TargetBrokenError('the rest of the stream has no event')


def is_success(fields: AnswerFields) -> bool:
    """Tell whether the status of an answer is a success."""
    return MIN_SUCCESS_STATUS <= fields.status < MIN_REDIRECT_STATUS


def make_caller_head(head: AnswerHead) -> AnswerHead:
    """Return a target's head without its hop-by-hop headers."""
    return AnswerHead(
        head.status, tuple(filter_end_to_end_headers(head.headers))
    )


async def send_complete(
    writer: AnswerWriter,
    head: AnswerHead,
    body: bytes,
) -> None:
    """Send the complete answer of a target to the caller."""
    writer.start(make_caller_head(head), len(body))
    await writer.write(body)
    writer.finish()


async def send_events(
    writer: AnswerWriter,
    head: AnswerHead,
    events: bytes,
) -> None:
    """Send complete events of a stream, after the head if it is due."""
    if not writer.started:
        writer.start(make_caller_head(head), None)
    await writer.write(events)


def finish_events(writer: AnswerWriter, head: AnswerHead) -> None:
    """End a stream as complete, after the head if it is due."""
    if not writer.started:
        writer.start(make_caller_head(head), None)
    writer.finish()


def find_ending(writer: AnswerWriter) -> Ending:
    """Return how a request ends that is given up now."""
    if writer.finished:
        return Ending.answered
    return Ending.cut if writer.started else Ending.refused


def refuse(
    writer: AnswerWriter,
    wire: Wire,
    ident: str,
    error: RefusedError,
) -> Ending:
    """Send a refusal, or abort an answer that has already started.

    A complete answer stays, since its last bytes may not be sent yet.

    :returns: what the caller gets.
    """
    ending = find_ending(writer)
    if ending is Ending.cut:
        writer.abort()
    elif ending is Ending.refused:
        head = wire.make_refusal(
            ident, error.response.status, error.retry_after
        )
        writer.start(head, 0)
        writer.finish()
    return ending
