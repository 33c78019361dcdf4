import pytest

from galenaswitch.following.model import GUARDS, make_protocol


def test_all_invariants_hold_with_all_guards(find_broken):
    assert not find_broken(make_protocol(GUARDS))


@pytest.mark.parametrize(
    ('guard', 'broken'),
    [
        ('skip_older_changes', 'never_goes_back'),
        ('ask_after_gap', 'true_copy'),
        ('skip_older_listing', 'never_goes_back'),
        ('digests', 'true_copy'),
    ],
)
def test_each_guard_is_needed(find_broken, guard, broken):
    assert broken in find_broken(make_protocol(GUARDS - {guard}))
