"""Tests of the codec of request and answer heads and of batch bodies."""

import orjson
import pytest
from structlog.testing import capture_logs

from galenaswitch.connections.heads import AnswerHead, RequestHead
from galenaswitch.errors import InvalidInputError
from galenaswitch.gateway.calls import WorkItem
from galenaswitch.membership.lists import Target
from galenaswitch.platform.headers import PlatformWire

WIRE = PlatformWire()
TARGET = Target('i-1', 'i-1/1', 'z', 'scan', '127.0.0.1:80')


def decode_request(**headers):
    """Decode a request with the headers; ``X_A`` stands for ``X-A``."""
    pairs = tuple(
        (name.replace('_', '-').encode(), field.encode())
        for name, field in headers.items()
    )
    return WIRE.read_request(RequestHead(b'POST', b'/a/b?c', pairs))


def test_headers_of_a_request_are_decoded():
    fields = decode_request(
        Host='H.example:80',
        X_Attempt_Id='9c',
        X_Token_Usage='1460,80',
        X_Prompt_Prefix='5c:800, 91:410',
        X_Deadline_Ms='8000',
        X_Pieces='0,2',
        X_Piece_Key='pk',
        Authorization='Bearer key',
    )
    assert (fields.host, fields.path) == ('h.example', '/a/b')
    assert (fields.ident, fields.key, fields.timeout) == ('9c', 'key', 8)
    assert (fields.prompt_tokens, fields.answer_tokens) == (1460, 80)
    assert [part.tokens for part in fields.prompt_parts] == [800, 410]
    assert (fields.work_items, fields.work_item_key) == ((0, 2), 'pk')


def test_malformed_headers_count_as_absent():
    fields = decode_request(
        X_Token_Usage='many',
        X_Prompt_Prefix='5c,:,9:x',
        X_Deadline_Ms='-1',
        X_Pieces='one',
        Authorization='Basic key',
    )
    assert fields.timeout is None
    assert (fields.prompt_tokens, fields.prompt_parts, fields.work_items) == (
        0,
        (),
        (),
    )
    assert not fields.key


def test_work_items_are_encoded_with_key_or_inputs():
    first = WorkItem('a', 0, 2, 'k', ())
    second = WorkItem('b', 1, 0, '', ('x/1', 'y/2'))
    head, body = WIRE.make_batch((first, second), (0.9, 2), TARGET)
    assert head.path == b'/api/stage-run'
    assert orjson.loads(body)['items'] == [
        {'id': 'a', 'stage': 0, 'piece': 2, 'remaining-ms': 900, 'key': 'k'},
        {
            'id': 'b',
            'stage': 1,
            'piece': 0,
            'remaining-ms': 2000,
            'inputs': ['x/1', 'y/2'],
        },
    ]


def test_outcomes_of_work_items_are_decoded():
    outcomes = WIRE.read_batch(
        b'{"items":[{"handle":"h/1"},{"reason":"gone"}]}'
    )
    assert [(outcome.handle, outcome.failure) for outcome in outcomes] == [
        ('h/1', ''),
        ('', 'gone'),
    ]
    for body in (b'', b'[]', b'{"items":[5]}', b'{"items":5}'):
        with pytest.raises(InvalidInputError):
            WIRE.read_batch(body)


def test_free_result_memory_of_a_target_is_decoded():
    assert WIRE.read_free_bytes(b'{"free-mb":7}') == 7_000_000
    with pytest.raises(InvalidInputError):
        WIRE.read_free_bytes(b'{}')


@pytest.mark.parametrize(
    ('status', 'header', 'not_run'),
    [
        (503, b'X-Not-Executed', True),
        (421, b'X-Other', True),
        (503, b'X-Other', False),
        (500, b'X-Other', False),
    ],
)
def test_only_the_header_or_a_misdirected_status_states_not_run(
    status, header, not_run
):
    head = AnswerHead(status, ((header, b'1'),))
    assert WIRE.is_not_run(head) is not_run


def make_load_head(field):
    return AnswerHead(200, ((b'X-Server-Load', field.encode()),))


# Guards against a report that is dropped since it has more values than known.
@pytest.mark.parametrize(
    ('field', 'load'),
    [
        ('3,0,8', (3, 0, 8, 1.0)),
        ('3,0,8,100', (3, 0, 8, 1.0)),
        ('3, 0,8,250', (3, 0, 8, 2.5)),
        ('3,0,8,80,x,', (3, 0, 8, 0.8)),
    ],
)
def test_load_header_of_an_answer_is_decoded(field, load):
    with capture_logs() as lines:
        assert PlatformWire().read_load(make_load_head(field), 't') == load
        assert WIRE.read_load(AnswerHead(200, ())) is None
    assert not lines


# Guards against values that are guessed, and against a line for each answer.
@pytest.mark.parametrize(
    ('field', 'load'),
    [('3,0', None), ('3,0,', None), ('3,x,8,100', None), ('3,-1,8,9', None)]
    + [
        (f'3,0,8,{pace}', (3, 0, 8, 1.0))
        for pace in ('', '0', '-5', 'nan', 'inf', '1e9', '9' * 400)
    ],
)
def test_malformed_load_yields_what_is_certain(field, load):
    wire = PlatformWire()
    with capture_logs() as lines:
        for _ in range(3):
            assert wire.read_load(make_load_head(field), 't') == load
    assert [line['event'] for line in lines] == ['load_malformed']


def test_refusal_has_the_attempt_id_and_retry_after():
    head = WIRE.make_refusal('a1', 503, 0.25)
    assert head.headers == (
        (b'X-Attempt-Id', b'a1'),
        (b'Retry-After', b'0.25'),
    )
    assert not WIRE.make_refusal('', 404, 0).headers


# Guards against a number in a header that ends the answering of its request.
@pytest.mark.parametrize('number', ['9' * 400, '9' * 5000])
def test_numbers_with_too_many_digits_count_as_absent(number):
    fields = decode_request(
        X_Deadline_Ms=number,
        X_Token_Usage=f'{number},1',
        X_Pieces=f'0,{number}',
        X_Prompt_Prefix=f'5c:{number}',
    )
    assert fields.timeout is None
    assert (fields.prompt_tokens, fields.answer_tokens) == (0, 0)
    assert (fields.work_items, fields.prompt_parts) == ((), ())
    limit = ((b'Server-Limit', number.encode()),)
    assert WIRE.read_rate_limit(AnswerHead(200, limit)) is None
    load = ((b'X-Server-Load', f'1,{number},1'.encode()),)
    assert WIRE.read_load(AnswerHead(200, load)) is None


@pytest.mark.parametrize(
    ('fields', 'is_leaving'),
    [((b'1',), True), ((b' 1 ',), True), ((b'0', b'1'), True)]
    + [((), False), ((b'0',), False), ((b'',), False), ((b'yes',), False)],
)
def test_leaving_notice_is_decoded(fields, is_leaving):
    headers = tuple((b'Server-Leaving', field) for field in fields)
    assert WIRE.is_leaving(AnswerHead(503, headers)) is is_leaving


@pytest.mark.parametrize(
    ('status', 'fields', 'seconds'),
    [
        (503, (b'2',), 2.0),
        (503, (b' 0.25 ',), 0.25),
        (503, (b'0',), 0.0),
        (503, (b'1', b'3'), 3.0),
        (503, (b'1, 3',), 3.0),
        (503, (b'x', b'1'), 1.0),
        (503, (b'9' * 400,), float('inf')),
        (503, (b'-1',), None),
        (503, (b'1e3',), None),
        (503, (b'nan',), None),
        (503, (b'\xb2',), None),
        (503, (b'Sat, 05 Dec 2026 07:00:00 GMT',), None),
        (503, (), None),
        (429, (b'2',), None),
        (200, (b'2',), None),
    ],
)
def test_pause_of_a_refusal_is_decoded(status, fields, seconds):
    headers = tuple((b'Retry-After', field) for field in fields)
    assert WIRE.read_pause(AnswerHead(status, headers)) == seconds


# Guards against a target that is taken for warm, or for cold without an end.
@pytest.mark.parametrize(
    ('field', 'seconds'),
    [('1500', 1.5), (' 0 ', 0), ('', None), ('-1', None), ('9' * 400, None)],
)
def test_cold_time_of_an_answer_is_decoded(field, seconds):
    head = AnswerHead(200, ((b'X-Cold-Ms', field.encode()),))
    assert WIRE.read_cold_seconds(head) == seconds
