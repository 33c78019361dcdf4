from hypothesis import given
from hypothesis import strategies as st

from galenaswitch.membership.lists import (
    LEAVING,
    LIVE,
    MAX_UNLISTED_NOTICES,
    LeavingSign,
    Machine,
    MemberList,
    Members,
    Target,
    apply_change,
    find_change,
)

STATES = st.sampled_from((LIVE, LEAVING))
NAMES = st.sampled_from('abcdef')
MACHINES = st.builds(
    Machine,
    NAMES,
    st.just('north'),
    st.just('127.0.0.1'),
    st.integers(1, 3),
    STATES,
)
TARGETS = st.builds(
    Target,
    NAMES,
    st.sampled_from('12'),
    st.just('north'),
    st.just('runners'),
    st.just('http://127.0.0.1:1'),
    state=STATES,
)


def lists_with_unique_names(entries):
    """Return a strategy for tuples of entries with unique names."""
    return st.lists(entries, unique_by=lambda entry: entry.name).map(tuple)


LISTS = st.builds(
    MemberList,
    st.integers(1, 9),
    lists_with_unique_names(MACHINES),
    lists_with_unique_names(TARGETS),
)


@given(LISTS, LISTS)
def test_delta_between_any_two_lists_leads_from_one_to_the_other(old, new):
    result = apply_change(old, find_change(old, new))
    assert result.revision == new.revision
    assert set(result.machines) == set(new.machines)
    assert set(result.targets) == set(new.targets)


# Guards against notices of targets long gone that fill the memory.
def test_newest_notices_of_unlisted_targets_are_kept():
    members = Members()
    signs = [LeavingSign(f't{n}', '1') for n in range(MAX_UNLISTED_NOTICES + 2)]
    for sign in signs:
        members.record_leaving(sign)
    listed = Target('t0', '1', 'north', 'runners', 'http://127.0.0.1:1')
    members.accept(MemberList(1, (), (listed,)))
    assert set(members.leaving_notices()) == {signs[0], *signs[2:]}


# Guards against a request that was placed before the list marked its target.
def test_target_of_an_earlier_list_is_leaving_when_the_newest_says_so():
    members = Members()
    target = Target('t', '1', 'north', 'runners', 'http://127.0.0.1:1')
    members.accept(MemberList(1, (), (target,)))
    members.accept(MemberList(2, (), (target._replace(state=LEAVING),)))
    assert members.is_leaving(target)
