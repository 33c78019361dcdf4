"""Checks of the soak that no answer of a sound target ends early."""

import pytest

from galenaswitch.platform.soak.callers import DEADLINE_SECONDS
from galenaswitch.platform.soak.records import (
    InjectedFault,
    RunSpan,
    open_records,
)
from galenaswitch.platform.soak.soundness import (
    check_cut_answers,
    check_overlaps,
    check_words,
)
from galenaswitch.platform.tests.test_soak import make_request


def make_span(service='llm', **changes):
    """Return the time in which target 6 worked on a request."""
    span = RunSpan(('a3',), 'i-6-aa', service, 1.0, 1.5, 2.2, 'closed')
    return span._replace(**changes)


# Guards against excuses for an answer that was cut while its target was sound,
# and against blame for what a fault, a stop or a long silence has cut.
@pytest.mark.parametrize(
    ('changes', 'fault', 'found'),
    [
        ({}, None, 1),
        ({'status': 502, 'complete': True, 'from_target': False}, None, 1),
        ({'status': 503, 'complete': True, 'from_target': False}, None, 1),
        ({'complete': True}, None, 0),
        ({}, InjectedFault('silence llm', -2, 0.5, 3, planned=True), 1),
        ({}, InjectedFault('storm', -2, 0.5, 3, planned=True), 1),
        ({}, InjectedFault('hup', 0, 0.5, 0.6, planned=True), 1),
        ({}, InjectedFault('term', 0, 0.5, 6.5, planned=True), 1),
        ({'ended_at': 5.9}, InjectedFault('term', 0, 0.5, 6.5, True), 0),
        ({}, InjectedFault('store busy', -1, 0.5, 3), 1),
        ({}, InjectedFault('kill', 1, 0.5, 0.5), 1),
        ({}, InjectedFault('kill', 0, 0.5, 0.5), 0),
        ({}, InjectedFault('runner cut', 6, 0.5, 3), 0),
        ({}, InjectedFault('runner cut', 5, 0.5, 3), 1),
    ],
)
def test_cut_answer_of_a_sound_target_is_a_violation(changes, fault, found):
    records = open_records()
    records.sent.append(make_request('a3', complete=False)._replace(**changes))
    records.spans.append(make_span())
    records.faults.extend([fault] if fault else [])
    assert len(list(check_cut_answers(records))) == found


# Guards against a refusal that is taken for a cut when only a stage has run.
@pytest.mark.parametrize(
    ('span', 'status', 'found'),
    [
        (make_span('scan'), 503, 0),
        (make_span('scan'), 502, 1),
        (make_span('scan', silent_seconds=2.5), 502, 1),
        (make_span(silent_seconds=2.5), 502, 1),
    ],
)
def test_refusal_after_a_stage_is_no_violation(span, status, found):
    records = open_records()
    records.sent.append(
        make_request('a3', status=status, from_target=False, complete=True)
    )
    records.spans.append(span)
    assert len(list(check_cut_answers(records))) == found


# Guards against blame for a request that silences left too little time, and
# against that excuse for one that ended before its deadline.
@pytest.mark.parametrize(
    ('silences', 'seconds', 'found'),
    [
        ((('scan', 1.5),), DEADLINE_SECONDS, 0),
        ((('scan', 1.5),), DEADLINE_SECONDS - 1, 1),
        ((('llm', 1.5), ('llm', 2.5)), DEADLINE_SECONDS, 0),
        ((('llm', 1.5), ('llm', 2.5)), DEADLINE_SECONDS - 1, 1),
        ((('llm', 2.5),), DEADLINE_SECONDS, 1),
    ],
)
def test_silences_excuse_a_request_at_its_deadline_only(
    silences, seconds, found
):
    records = open_records()
    request = make_request('a3', status=502, complete=True, from_target=False)
    ended_at = request.sent_at + seconds
    records.sent.append(request._replace(ended_at=ended_at))
    for service, silent_seconds in silences:
        span = make_span(service, silent_seconds=silent_seconds)
        records.spans.append(span)
    assert len(list(check_cut_answers(records))) == found


# Guards against requests that get no answer of any kind.
@pytest.mark.parametrize(
    ('ended_at', 'faults', 'found'),
    [
        (1.2, (), 1),
        (1.2, (InjectedFault('term', 0, 0.5, 3, planned=True),), 0),
        (1.8, (InjectedFault('term', 0, 0.5, 3, planned=True),), 1),
        (1.2, (InjectedFault('term', 1, 0.5, 3, planned=True),), 1),
        (1.2, (InjectedFault('hup', 0, 0.5, 3, planned=True),), 1),
        (1.2, (InjectedFault('kill', 0, 0.5, 0.5),), 0),
    ],
)
def test_request_without_a_word_is_a_violation(ended_at, faults, found):
    records = open_records()
    records.sent.append(
        make_request('a4', status=0, complete=False, ended_at=ended_at)
    )
    records.faults.extend(faults)
    assert len(list(check_words(records))) == found


# Guards against a request on which two engines work at once.
@pytest.mark.parametrize(
    ('started_at', 'service', 'found'),
    [(1.5, 'llm', 1), (1.9, 'llm', 0), (2.3, 'llm', 0), (1.5, 'scan', 0)],
)
def test_overlap_of_two_engines_is_a_violation(started_at, service, found):
    records = open_records()
    second = make_span(
        service, target='i-7-bb', started_at=started_at, ended_at=3
    )
    records.spans.extend((make_span(), second))
    assert len(list(check_overlaps(records))) == found
