"""Answers to callers: a target's own, or a refusal."""

from galenaswitch.connections.heads import AnswerHead, keep_end_to_end
from galenaswitch.connections.inbound import AnswerWriter
from galenaswitch.errors import (
    InputsLostError,
    MismatchedAnswerError,
    TargetBrokenError,
    TargetBusyError,
)
from galenaswitch.gateway.calls import AnswerFields, CallerRequest, Wire
from galenaswitch.refusals import RefusedError

FIRST_SUCCESS = 200
FIRST_REDIRECT = 300
FIRST_SERVER_ERROR = 500
# Statuses that promise a caller that its request has not run.
_PROMISES = frozenset((408, 421, 429, 503))


def check_answer(
    request: CallerRequest, head: AnswerHead, wire: Wire
) -> AnswerFields:
    """Make sure that an answer may be passed on.

    :raises InputsLostError: when the results that it reads are gone.
    :raises TargetBusyError: when the target says that it has not run it.
    :raises MismatchedAnswerError: when it answers another request.
    :raises TargetBrokenError: when it isn't the target's own whole answer.
    """
    fields = wire.read_answer(request, head)
    if fields.inputs_lost and fields.echoes:
        raise InputsLostError(f'the target answered {fields.status}')
    if fields.misdirected or (fields.not_run and fields.echoes):
        raise TargetBusyError(f'the target answered {fields.status}')
    if not fields.echoes:
        raise MismatchedAnswerError('an answer to another request')
    if not fields.genuine or fields.status in _PROMISES:
        raise TargetBrokenError(f'a status {fields.status} that is not its own')
    return fields


def is_success(fields: AnswerFields) -> bool:
    """Tell whether a target answered with success."""
    return FIRST_SUCCESS <= fields.status < FIRST_REDIRECT


def pass_on(head: AnswerHead) -> AnswerHead:
    """Return a target's head as its caller gets it."""
    return AnswerHead(head.status, tuple(keep_end_to_end(head.headers)))


async def send_whole(
    writer: AnswerWriter,
    head: AnswerHead,
    body: bytes,
) -> None:
    """Send a target's whole answer."""
    writer.start(pass_on(head), len(body))
    await writer.write(body)
    writer.finish()


def refuse(
    writer: AnswerWriter,
    wire: Wire,
    ident: str,
    error: RefusedError,
) -> None:
    """Send a refusal, or break off an answer that has begun."""
    if writer.started:
        writer.abort()
        return
    head = wire.make_refusal(ident, error.response.status, error.retry_after)
    writer.start(head, 0)
    writer.finish()
