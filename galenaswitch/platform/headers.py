"""HTTP heads of the platform's callers and targets."""

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
    Load,
    PromptPart,
    RequestFields,
    WorkItem,
    WorkItemResult,
)
from galenaswitch.membership.lists import Target

MILLISECONDS = 1000
MEGABYTE = 1_000_000
# What reading a document of another form than expected raises.
MALFORMED = (ValueError, KeyError, TypeError, AttributeError)
CONFLICT = 409
MISDIRECTED = 421
FIRST_SUCCESS = 200
FIRST_REDIRECT = 300
# Targets take the time left as whole milliseconds, at least one.
MIN_LEFT_MS = 1
_ATTEMPT = b'X-Attempt-Id'
_DEADLINE = b'X-Deadline-Ms'
_INSTANCE = b'X-Expect-Instance'
_WORKSPACE = b'X-Tenant'
_INPUTS = b'X-Inputs'
_LAST_EVENT = b'Last-Event-Id'
_SEAL = b'x-server-seal'
_NOT_RUN = b'x-not-executed'
_JSON = (b'Content-Type', b'application/json')
# Headers that only the system may set on the way to a target.
_OWN = frozenset(
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


class PlatformWire:
    """Decodes and encodes heads, and bodies of calls for work items."""

    def read_request(self, head: RequestHead) -> RequestFields:
        """Decode a request's head; what can't be read counts as absent."""
        headers = head.headers
        prompt, answer = _read_usage(
            find_header_text(headers, b'x-token-usage')
        )
        return RequestFields(
            ident=find_header_text(headers, b'x-attempt-id'),
            host=find_header_text(headers, b'host').partition(':')[0].lower(),
            path=head.path.partition(b'?')[0].decode('latin-1'),
            key=_read_key(find_header_text(headers, b'authorization')),
            timeout=_read_seconds(find_header_text(headers, b'x-deadline-ms')),
            prompt_tokens=prompt,
            answer_tokens=answer,
            prompt_parts=_read_parts(
                find_header_text(headers, b'x-prompt-prefix')
            ),
            work_items=_read_counts(find_header_text(headers, b'x-pieces')),
            work_item_key=find_header_text(headers, b'x-piece-key'),
            last_event=find_header_text(headers, b'last-event-id'),
        )

    def make_request(
        self,
        request: CallerRequest,
        target: Target,
        seconds: float,
        inputs: tuple[str, ...],
        last_event: str,
    ) -> RequestHead:
        """Encode the head for a target, with the time left in seconds."""
        headers = [
            header
            for header in filter_end_to_end_headers(request.head.headers)
            if header[0].lower() not in _OWN
        ]
        headers.append((_DEADLINE, b'%d' % _to_milliseconds(seconds)))
        headers.append((_INSTANCE, target.name.encode('latin-1')))
        optional = (
            (_WORKSPACE, request.workspace),
            (_INPUTS, ','.join(inputs)),
            (_LAST_EVENT, last_event),
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
        sealed = bool(find_header_values(headers, _SEAL))
        encoded = bool(find_header_values(headers, b'content-encoding'))
        return AnswerFields(
            status=head.status,
            echoes_attempt_id=find_header_text(headers, b'x-attempt-id')
            == request.ident,
            genuine=sealed and not encoded,
            not_run=self.is_not_run(head),
            misdirected=head.status == MISDIRECTED,
            inputs_lost=head.status == CONFLICT and self.is_not_run(head),
            load=self.read_load(head),
        )

    def read_load(self, head: AnswerHead) -> Load | None:
        """Decode the load that an answer tells."""
        numbers = _read_counts(find_header_text(head.headers, b'x-server-load'))
        return Load(*numbers) if len(numbers) == len(Load._fields) else None

    def is_not_run(self, head: AnswerHead) -> bool:
        """Tell whether a target says that it has not run a call."""
        told = bool(find_header_values(head.headers, _NOT_RUN))
        return told or head.status == MISDIRECTED

    def make_batch(
        self,
        work_items: tuple[WorkItem, ...],
        seconds: tuple[float, ...],
        target: Target,
    ) -> tuple[RequestHead, bytes]:
        """Encode a call for work items, with the time left of each."""
        items = [
            _encode_work_item(work_item, left)
            for work_item, left in zip(work_items, seconds, strict=True)
        ]
        return _make_post(b'/api/stage-run', target, {'items': items})

    def read_batch(self, body: bytes) -> tuple[WorkItemResult, ...]:
        """Decode the outcomes of a call for work items.

        :raises InvalidInputError: when the body is no such answer.
        """
        try:
            return tuple(
                WorkItemResult(
                    str(item.get('handle', '')),
                    str(item.get('reason', '')),
                )
                for item in orjson.loads(body)['items']
            )
        except MALFORMED as error:
            raise InvalidInputError(f'no outcomes: {error}') from error

    def make_free_bytes_query(self, target: Target) -> RequestHead:
        """Encode the question how much room a target has left."""
        headers = (
            (b'Host', target.url.encode()),
            (_INSTANCE, target.name.encode('latin-1')),
        )
        return RequestHead(b'GET', b'/api/report', headers)

    def read_free_bytes(self, body: bytes) -> float:
        """Decode the bytes of room that a target has left.

        :raises InvalidInputError: when the body doesn't tell it.
        """
        try:
            return float(orjson.loads(body)['free-mb']) * MEGABYTE
        except MALFORMED as error:
            raise InvalidInputError(f'no room told: {error}') from error

    def make_release(
        self,
        handles: tuple[str, ...],
        target: Target,
    ) -> tuple[RequestHead, bytes]:
        """Encode a call that gives results up."""
        return _make_post(b'/api/stage-free', target, {'handles': handles})

    def make_refusal(
        self,
        ident: str,
        status: int,
        retry_after: float,
    ) -> AnswerHead:
        """Encode the head of an answer of our own."""
        headers: list[Header] = []
        if ident:
            headers.append((_ATTEMPT, ident.encode('latin-1')))
        if retry_after:
            headers.append((b'Retry-After', b'%.2f' % retry_after))
        return AnswerHead(status, tuple(headers))

    def find_producer(self, handle: str) -> str:
        """Return the address of the target that holds a result."""
        return handle.partition('/')[0]


def _make_post(
    path: bytes,
    target: Target,
    document: dict[str, object],
) -> tuple[RequestHead, bytes]:
    headers = (
        (b'Host', target.url.encode()),
        (_INSTANCE, target.name.encode('latin-1')),
        _JSON,
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
    return max(MIN_LEFT_MS, int(seconds * MILLISECONDS))


def _read_key(field: str) -> str:
    scheme, _, key = field.partition(' ')
    return key.strip() if scheme.lower() == 'bearer' else ''


def _read_seconds(field: str) -> float | None:
    return int(field) / MILLISECONDS if field.isdecimal() else None


def _read_counts(field: str) -> tuple[int, ...]:
    """Decode a list of numbers, empty when one can't be read.

    >>> _read_counts('2, 0,1'), _read_counts('x')
    ((2, 0, 1), ())
    """
    numbers = [part.strip() for part in field.split(',')]
    if all(number.isdecimal() for number in numbers):
        return tuple(map(int, numbers))
    return ()


def _read_usage(field: str) -> tuple[int, int]:
    counts = _read_counts(field)
    return (counts[0], counts[1]) if len(counts) == 2 else (0, 0)


def _read_parts(field: str) -> tuple[PromptPart, ...]:
    """Decode the parts of a prompt.

    >>> _read_parts('5c1e:800,91bd:410')[1].tokens
    410
    """
    parts = []
    for entry in filter(None, field.split(',')):
        ident, _, tokens = entry.strip().partition(':')
        if tokens.isdecimal():
            parts.append(PromptPart(ident, int(tokens)))
    return tuple(parts)
