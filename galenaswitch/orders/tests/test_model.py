from minicheck import check_liveness

from galenaswitch.orders.model import GUARDS, make_protocol


def test_all_invariants_hold_with_all_guards(find_broken):
    assert not find_broken(make_protocol(GUARDS))


def test_fencing_tokens_must_grow(find_broken):
    broken = find_broken(make_protocol(GUARDS - {'growing_number'}))
    assert 'one_holder_per_number' in broken


def test_engine_without_fencing_obeys_old_tokens(find_broken):
    assert 'refuses_old_numbers' in find_broken(
        make_protocol(GUARDS - {'engine_checks'})
    )


def test_desired_models_are_reached_with_and_without_fencing():
    assert check_liveness(make_protocol(GUARDS))['holds'] is True
    without_fencing = make_protocol(GUARDS - {'engine_checks'})
    assert check_liveness(without_fencing)['holds'] is True


def test_old_command_can_persist_without_reading_back():
    without_read_back = make_protocol(GUARDS - {'engine_checks', 'read_back'})
    assert check_liveness(without_read_back)['holds'] is False
