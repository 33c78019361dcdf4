"""Checks of callers' request bodies and idempotency keys.

A body must be a JSON object with known fields of the right types; any other
body is refused before a stage runs.
"""

import json
from typing import Annotated, Any, NamedTuple

from pydantic import Field, TypeAdapter, ValidationError

from galenaswitch.refusals import Reason, RefusedError

MAX_BODY_BYTES = 1024 * 1024
# A body above MAX_BODY_BYTES is still read up to this size, so that the refusal
# reaches the caller. Closing a connection with unread bytes resets it.
MAX_READ_BYTES = 4 * MAX_BODY_BYTES
MAX_IDEMPOTENCY_KEY_CHARACTERS = 128
DEFAULT_MAX_TOKENS = 64
MAX_TOKENS = 16_384


class CallerBody(NamedTuple):
    """JSON body of ``POST /v1/pipelines/<name>``.

    :param prompt: input text of model stages.
    :param fields: input of plain services.
    :param max_tokens: highest number of tokens to generate.
    :param stream: whether to respond with server-sent events.
    :param deadline_ms: milliseconds allowed for the request; the contract's
        deadline is the upper bound.
    """

    prompt: str = ''
    fields: dict[str, Any] = {}  # noqa: RUF012
    max_tokens: Annotated[int, Field(ge=1, le=MAX_TOKENS)] = DEFAULT_MAX_TOKENS
    stream: bool = False
    deadline_ms: int | None = None


_ADAPTER = TypeAdapter(CallerBody)


def parse_body(text: bytes) -> CallerBody:
    """Parse and check the body of a caller's request.

    :raises RefusedError: ``invalid-body`` or ``body-too-large``.

    >>> parse_body(b'{"prompt": "hello"}').max_tokens
    64
    >>> parse_body(b'{"prompt": 1}')
    Traceback (most recent call last):
    ...
    galenaswitch.refusals.RefusedError: invalid-body (not-run) prompt: Input \
should be a valid string
    """
    if len(text) > MAX_BODY_BYTES:
        raise RefusedError(Reason.body_too_large)
    try:
        document = json.loads(text or b'{}')
    except (ValueError, RecursionError) as error:
        raise RefusedError(Reason.invalid_body, detail='no JSON') from error
    if not isinstance(document, dict):
        raise RefusedError(Reason.invalid_body, detail='no JSON object')
    try:
        return _ADAPTER.validate_python(document, strict=True)
    except ValidationError as error:
        first = error.errors()[0]
        field_path = '.'.join(str(part) for part in first['loc'])
        raise RefusedError(
            Reason.invalid_body,
            detail=f'{field_path}: {first["msg"]}',
        ) from error


def choose_deadline_ms(requested_ms: int | None, contract_ms: int) -> int:
    """Return the milliseconds allowed for a request.

    :param requested_ms: deadline that the caller requested, if any.
    :param contract_ms: deadline of the contract, which is the upper bound.
    :raises RefusedError: ``deadline-past`` when the caller's deadline is not
        positive.

    >>> choose_deadline_ms(None, 5000), choose_deadline_ms(9000, 5000)
    (5000, 5000)
    """
    if requested_ms is None:
        return contract_ms
    if requested_ms <= 0:
        raise RefusedError(Reason.deadline_past)
    return min(requested_ms, contract_ms)


def check_idempotency_key(key: str) -> str:
    """Check an idempotency key and return it.

    :raises RefusedError: when the key is empty, too long or not printable
        ASCII.
    """
    is_printable_ascii = key.isascii() and key.isprintable()
    if (
        not is_printable_ascii
        or not 0 < len(key) <= MAX_IDEMPOTENCY_KEY_CHARACTERS
    ):
        raise RefusedError(Reason.key_required)
    return key
