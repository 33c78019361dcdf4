import json

import pytest
from hypothesis import given
from hypothesis import strategies as st

from galenaswitch.callers.bodies import (
    CallerBody,
    check_idempotency_key,
    parse_body,
)
from galenaswitch.refusals import ExecutionState, RefusedError

DOCUMENTS = st.recursive(
    st.none() | st.booleans() | st.integers() | st.text(),
    lambda parts: st.lists(parts) | st.dictionaries(st.text(), parts),
)


def parse_or_refuse(text):
    """Parse a body; return its type, or ``run`` of the refusal."""
    try:
        return type(parse_body(text))
    except RefusedError as error:
        return error.run


@given(st.binary())
def test_random_bytes_are_parsed_or_refused(text):
    assert parse_or_refuse(text) in {CallerBody, ExecutionState.not_run}


@given(DOCUMENTS)
def test_random_document_is_parsed_or_refused(document):
    text = json.dumps(document).encode()
    assert parse_or_refuse(text) in {CallerBody, ExecutionState.not_run}


def test_deeply_nested_body_is_refused():
    with pytest.raises(RefusedError):
        parse_body(b'[' * 100_000)


@pytest.mark.parametrize('key', ['', 'k' * 129, 'a\nb', 'ü'])
def test_invalid_idempotency_keys_are_refused(key):
    with pytest.raises(RefusedError):
        check_idempotency_key(key)
