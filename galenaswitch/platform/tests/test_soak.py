"""The soak finds what breaks a promise, and a short run of it."""

import pytest

from galenaswitch.platform.soak.promises import CHECKS, check_service
from galenaswitch.platform.soak.records import (
    Made,
    Ran,
    Sent,
    Trouble,
    open_records,
)
from galenaswitch.platform.soak.soak import Plan, run_soak

PATHS = {
    'a1': '/once/%20x/3?q=%2f',
    'a2': '/chat/%20x/2?q=%2f',
    'a3': '/notes/%20x/2?q=%2f',
    'a4': '/plain/%20x/2?q=%2f',
}
EVENTS = 'id: 1\ndata: {0}\n\nid: 2\ndata: {0}\n\n'
# Seeds that broke a promise once, with the cause.
FAILED_SEEDS = (
    # A watch that a store swallowed while it was silent hid configurations
    # from all machines for ten seconds.
    5,
)


def send(ident, **changes):
    """Return a request that was served whole."""
    kind = PATHS[ident].split('/')[1]
    body = f'{ident} body-{ident}'
    if kind in {'chat', 'notes'}:
        body = EVENTS.format(ident)
    whole = Sent(ident, kind, 0, 1.0, 1.2, 200, True, body, True, True)
    return whole._replace(**changes)


def run(ident, **changes):
    """Return a run as it should be."""
    made = Ran(
        ident,
        'i-1',
        1.1,
        PATHS[ident],
        f'body-{ident}',
        'lab',
        False,
        3.9,
        0,
    )
    return made._replace(**changes)


def make_pieces(ident):
    """Return the pieces of a request, and what its engine read."""
    first = [Made(ident, 0, n, f'piece-{ident}', ()) for n in (0, 1)]
    inputs = tuple((ident, 0, n) for n in (0, 1))
    second = [Made(ident, 1, n, '', inputs) for n in (0, 1, 2)]
    read = tuple((ident, 1, n) for n in (0, 1, 2))
    return [*first, *second, Made(ident, -1, 0, '', read)]


@pytest.fixture
def records():
    """A soak that went well."""
    seen = open_records()
    seen.asked.update(PATHS)
    seen.sent.extend(map(send, PATHS))
    seen.ran.extend(map(run, PATHS))
    seen.made.extend(make_pieces('a3'))
    return seen


def check(records):
    """Return what the checks find."""
    return [line for one in CHECKS for line in one(records)]


def test_soak_that_went_well_is_kept(records):
    assert check(records) == []
    assert list(check_service(records, 0)) == []


@pytest.mark.parametrize(
    ('ident', 'changes', 'told'),
    [
        ('a4', {'body': 'a3 body-a3'}, 'wrong bytes'),
        ('a4', {'sealed': False}, 'no target made'),
        ('a1', {'status': 503, 'sealed': False}, 'answered 503 and ran'),
        ('a2', {'status': 429, 'sealed': False}, 'answered 429 and ran'),
        ('a3', {'body': EVENTS.format('a2')}, 'of another request'),
        ('a3', {'body': 'id: 2\ndata: a3\n\n', 'whole': False}, 'events [2]'),
        ('a3', {'body': 'id: 1\ndata: a3\n\n'}, 'complete before event 2'),
    ],
)
def test_wrong_answer_is_found(records, ident, changes, told):
    kept = [one for one in records.sent if one.ident != ident]
    records.sent[:] = [*kept, send(ident, **changes)]
    found = check(records)
    assert len(found) == 1
    assert told in found[0]


@pytest.mark.parametrize(
    ('changes', 'told'),
    [
        ({'path': '/once/ x/3?q=/'}, 'ran as'),
        ({'body': 'body'}, 'with body'),
        ({'workspace': 'another'}, 'for workspace'),
        ({'key_leaked': True}, 'for workspace'),
        ({'left': 5.0}, 'was given 5.0 s'),
        ({'left': 0.0}, 'was given 0.0 s'),
    ],
)
def test_changed_run_is_found(records, changes, told):
    records.ran[0] = run('a1', **changes)
    found = check(records)
    assert len(found) == 1
    assert told in found[0]


@pytest.mark.parametrize(('ident', 'found'), [('a1', 1), ('a4', 0)])
def test_second_run_is_found_where_it_is_not_allowed(records, ident, found):
    records.ran.append(run(ident))
    assert len(check(records)) == found


@pytest.mark.parametrize(
    'piece',
    [
        Made('a3', 0, 0, 'piece-a4', ()),
        Made('a3', 1, 0, '', ()),
        Made('a3', 1, 0, '', (('a3', 0, 0),)),
        Made('a3', 1, 0, '', (('a3', 0, 0), ('a4', 0, 1))),
        Made('a3', -1, 0, '', (('a3', 1, 0), ('a3', 1, 1))),
        Made('b9', 0, 0, 'piece-b9', ()),
    ],
)
def test_piece_with_wrong_inputs_is_found(records, piece):
    records.made.append(piece)
    assert len(check(records)) == 1


@pytest.mark.parametrize(
    ('others', 'found'),
    [
        ((), 1),
        ((Trouble('kill', 1, 0.5, 0.6),), 0),
        ((Trouble('hup', 1, 0.5, 0.6, planned=True),), 1),
    ],
)
def test_request_cut_by_planned_work_is_found(records, others, found):
    records.sent[0] = send('a1', whole=False, status=0)
    records.troubles.append(Trouble('term', 0, 0.9, 4.0, planned=True))
    records.troubles.extend(others)
    assert len(check(records)) == found


def test_machines_that_do_not_recover_are_found(records):
    records.sent.extend([send('a1', status=503, whole=True)] * 2)
    assert len(list(check_service(records, 0))) == 1
    assert len(list(check_service(records, 99))) == 1


@pytest.mark.timeout(120)
@pytest.mark.parametrize('seed', FAILED_SEEDS)
async def test_seeds_that_failed_keep_all_promises(seed, tmp_path):
    plan = Plan(seed, network=60, callers=8)
    verdict = await run_soak(plan, tmp_path)
    assert verdict.broken == []
    assert len(verdict.records.sent) > 100
