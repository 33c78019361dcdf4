"""HTTP messages of the platform: heads, and bodies of calls for stages.

Some names on the wire differ from the terms of the code:

- ``X-Tenant``: workspace.
- ``X-Attempt-Id``: id that the caller gives to its attempt.
- ``X-Expect-Instance``: name of the target that the request is meant for. A
  target with another name answers 421.
- ``X-Server-Seal``: mark of an answer that a target itself produced.
- ``X-Not-Executed``: statement of a target that it ran nothing.
- ``Server-Brittle``: number of refusals in a second that a target survives.
- ``Server-Leaving``: notice that the target which answers is leaving.
- ``Resumes``: id of the attempt that brought a stream's first event.
- ``X-Pieces``: number of work items of each stage.
- ``X-Piece-Key``: key of the input of stages without earlier stages.
- ``piece``: number of a work item in its stage.
- ``free-mb``: free result memory of a target.
"""

import orjson

from galenaswitch.connections.heads import (
    AnswerHead,
    Header,
    RequestHead,
    filter_end_to_end_headers,
    find_header_text,
    find_header_values,
)
from galenaswitch.errors import InvalidInputError
from galenaswitch.gateway.calls import (
    AnswerFields,
    CallerRequest,
    PromptPart,
    RequestFields,
    WorkItem,
    WorkItemResult,
)
from galenaswitch.membership.lists import Target
from galenaswitch.platform.notices import AnswerNotices
from galenaswitch.platform.numbers import is_number, read_integers

MILLISECONDS = 1000
MEGABYTE = 1_000_000
# Errors that decoding raises when a document lacks a field or has a wrong type.
DECODE_ERRORS = (ValueError, KeyError, TypeError, AttributeError)
CONFLICT = 409
FIRST_SUCCESS = 200
FIRST_REDIRECT = 300
# The wire format gives the time left in whole milliseconds, at least one.
MIN_TIME_LEFT_MS = 1
_ATTEMPT_ID_HEADER = b'X-Attempt-Id'
_DEADLINE_HEADER = b'X-Deadline-Ms'
_INSTANCE_HEADER = b'X-Expect-Instance'
_WORKSPACE_HEADER = b'X-Tenant'
_INPUTS_HEADER = b'X-Inputs'
_LAST_EVENT_HEADER = b'Last-Event-Id'
_SEAL_HEADER = b'x-server-seal'
_JSON_CONTENT_TYPE = (b'Content-Type', b'application/json')
# Headers that are removed from a caller's request before it goes to a target,
# because only galenaswitch may set them.
_RESERVED_HEADERS = frozenset(
    (
        b'authorization',
        b'x-deadline-ms',
        b'x-expect-instance',
        b'x-expect-version',
        b'x-tenant',
        b'x-request-urgency',
        b'x-hold',
        b'x-pin-ms',
        b'x-kv-backup',
        b'x-inputs',
        b'kv-from',
        b'kv-fetch',
        b'last-event-id',
    ),
)


class PlatformWire(AnswerNotices):
    """Codec of request and answer heads and of the bodies of batches."""

    def read_request(self, head: RequestHead) -> RequestFields:
        """Decode a request's head; a malformed header counts as absent."""
        headers = head.headers
        prompt, answer = _read_token_usage(
            find_header_text(headers, b'x-token-usage')
        )
        return RequestFields(
            ident=find_header_text(headers, b'x-attempt-id'),
            host=find_header_text(headers, b'host').partition(':')[0].lower(),
            path=head.path.partition(b'?')[0].decode('latin-1'),
            key=_read_api_key(find_header_text(headers, b'authorization')),
            timeout=_read_seconds(find_header_text(headers, b'x-deadline-ms')),
            prompt_tokens=prompt,
            answer_tokens=answer,
            prompt_parts=_read_prompt_parts(
                find_header_text(headers, b'x-prompt-prefix')
            ),
            work_items=read_integers(find_header_text(headers, b'x-pieces')),
            work_item_key=find_header_text(headers, b'x-piece-key'),
            last_event=find_header_text(headers, b'last-event-id'),
            origin=find_header_text(headers, b'resumes'),
        )

    def make_request(
        self,
        request: CallerRequest,
        target: Target,
        seconds: float,
        inputs: tuple[str, ...],
        last_event: str,
    ) -> RequestHead:
        """Encode the head of a request to a target.

        :param seconds: time left for the answer.
        :param inputs: handles of the stage results that the request reads.
        :param last_event: id of the event after which a stream resumes.
        """
        headers = [
            header
            for header in filter_end_to_end_headers(request.head.headers)
            if header[0].lower() not in _RESERVED_HEADERS
        ]
        headers.append((_DEADLINE_HEADER, b'%d' % _to_milliseconds(seconds)))
        headers.append((_INSTANCE_HEADER, target.name.encode('latin-1')))
        optional = (
            (_WORKSPACE_HEADER, request.workspace),
            (_INPUTS_HEADER, ','.join(inputs)),
            (_LAST_EVENT_HEADER, last_event),
        )
        headers.extend(
            (name, field.encode('latin-1')) for name, field in optional if field
        )
        return RequestHead(
            request.head.method, request.head.path, tuple(headers)
        )

    def read_answer(
        self, request: CallerRequest, head: AnswerHead
    ) -> AnswerFields:
        """Decode the head of a target's answer."""
        headers = head.headers
        sealed = bool(find_header_values(headers, _SEAL_HEADER))
        encoded = bool(find_header_values(headers, b'content-encoding'))
        return AnswerFields(
            status=head.status,
            echoes_attempt_id=self.read_answer_ident(head) == request.ident,
            genuine=sealed and not encoded,
            not_run=self.is_not_run(head),
            misdirected=self.is_misdirected(head),
            inputs_lost=head.status == CONFLICT and self.is_not_run(head),
            load=self.read_load(head),
        )

    def read_answer_ident(self, head: AnswerHead) -> str:
        """Decode the id of the request that an answer names, empty if none."""
        return find_header_text(head.headers, b'x-attempt-id')

    def make_batch(
        self,
        work_items: tuple[WorkItem, ...],
        seconds: tuple[float, ...],
        target: Target,
    ) -> tuple[RequestHead, bytes]:
        """Encode the head and body of a batch.

        :param seconds: time left for each work item.
        """
        items = [
            _encode_work_item(work_item, seconds_left)
            for work_item, seconds_left in zip(work_items, seconds, strict=True)
        ]
        return _make_json_post(b'/api/stage-run', target, {'items': items})

    def read_batch(self, body: bytes) -> tuple[WorkItemResult, ...]:
        """Decode the outcome of each work item of a batch.

        :raises InvalidInputError: when the body is not valid.
        """
        try:
            return tuple(
                WorkItemResult(
                    str(item.get('handle', '')),
                    str(item.get('reason', '')),
                )
                for item in orjson.loads(body)['items']
            )
        except DECODE_ERRORS as error:
            raise InvalidInputError(
                f'invalid outcomes of a batch: {error}',
            ) from error

    def make_free_bytes_query(self, target: Target) -> RequestHead:
        """Encode the query for a target's free result memory."""
        headers = (
            (b'Host', target.url.encode()),
            (_INSTANCE_HEADER, target.name.encode('latin-1')),
        )
        return RequestHead(b'GET', b'/api/report', headers)

    def read_free_bytes(self, body: bytes) -> float:
        """Decode the size of a target's free result memory in bytes.

        :raises InvalidInputError: when the body is not valid.
        """
        try:
            return float(orjson.loads(body)['free-mb']) * MEGABYTE
        except DECODE_ERRORS as error:
            raise InvalidInputError(
                f'invalid report of free result memory: {error}',
            ) from error

    def make_release(
        self,
        handles: tuple[str, ...],
        target: Target,
    ) -> tuple[RequestHead, bytes]:
        """Encode the head and body of a call that releases results."""
        return _make_json_post(b'/api/stage-free', target, {'handles': handles})

    def make_refusal(
        self,
        ident: str,
        status: int,
        retry_after: float,
    ) -> AnswerHead:
        """Encode the head of a refusal.

        :param ident: id of the caller's attempt, empty when not sent.
        :param retry_after: seconds after which the caller may retry, 0 to
            leave the header out.
        """
        headers: list[Header] = []
        if ident:
            headers.append((_ATTEMPT_ID_HEADER, ident.encode('latin-1')))
        if retry_after:
            headers.append((b'Retry-After', b'%.2f' % retry_after))
        return AnswerHead(status, tuple(headers))

    def find_producer(self, handle: str) -> str:
        """Return the address of the target that produced and holds a result."""
        return handle.partition('/')[0]


def _make_json_post(
    path: bytes,
    target: Target,
    document: dict[str, object],
) -> tuple[RequestHead, bytes]:
    headers = (
        (b'Host', target.url.encode()),
        (_INSTANCE_HEADER, target.name.encode('latin-1')),
        _JSON_CONTENT_TYPE,
    )
    return RequestHead(b'POST', path, headers), orjson.dumps(document)


def _encode_work_item(work_item: WorkItem, seconds: float) -> dict[str, object]:
    document: dict[str, object] = {
        'id': work_item.ident,
        'stage': work_item.stage,
        'piece': work_item.number,
        'remaining-ms': _to_milliseconds(seconds),
    }
    if work_item.inputs:
        return {**document, 'inputs': work_item.inputs}
    return {**document, 'key': work_item.key}


def _to_milliseconds(seconds: float) -> int:
    return max(MIN_TIME_LEFT_MS, int(seconds * MILLISECONDS))


def _read_api_key(field: str) -> str:
    scheme, _, key = field.partition(' ')
    return key.strip() if scheme.lower() == 'bearer' else ''


def _read_seconds(field: str) -> float | None:
    return int(field) / MILLISECONDS if is_number(field) else None


def _read_token_usage(field: str) -> tuple[int, int]:
    counts = read_integers(field)
    return (counts[0], counts[1]) if len(counts) == 2 else (0, 0)


def _read_prompt_parts(field: str) -> tuple[PromptPart, ...]:
    """Decode the ids and lengths of a prompt's parts; skip malformed entries.

    >>> _read_prompt_parts('5c1e:800,91bd:410')[1].tokens
    410
    """
    parts = []
    for entry in filter(None, field.split(',')):
        ident, _, tokens = entry.strip().partition(':')
        if is_number(tokens):
            parts.append(PromptPart(ident, int(tokens)))
    return tuple(parts)
