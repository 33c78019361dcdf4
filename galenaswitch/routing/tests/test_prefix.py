from galenaswitch.membership.blocks import sample_blocks
from galenaswitch.membership.messages import CacheChange
from galenaswitch.routing.prefix import PrefixIndex, hash_blocks

LONG = hash_blocks('lab', 'a long report ' * 1000)
SHORT = (1, 2, 3)


def test_events_of_a_sample_tell_of_the_whole_prompt():
    index = PrefixIndex()
    half = len(LONG) // 2
    index.apply_change(CacheChange('a', 1, sample_blocks(LONG[:half])))
    share = len(sample_blocks(LONG[:half])) / len(sample_blocks(LONG))
    assert index.estimate_cached_share('a', LONG) == share
    assert index.estimate_cached_share('a', LONG[:half]) == 1


def test_evicted_blocks_count_no_more():
    index = PrefixIndex()
    index.add('a', LONG)
    index.apply_change(CacheChange('a', 1, (), sample_blocks(LONG)))
    assert index.estimate_cached_share('a', LONG) == 0


def test_prompt_without_sampled_blocks_is_known_from_own_sends():
    index = PrefixIndex()
    assert not sample_blocks(SHORT)
    index.add('a', SHORT)
    assert index.estimate_cached_share('a', SHORT) == 1


def test_gap_makes_a_targets_part_uncertain():
    index = PrefixIndex()
    index.apply_change(CacheChange('a', 1, sample_blocks(LONG)))
    index.apply_change(CacheChange('a', 3))
    assert 0 < index.estimate_cached_share('a', LONG) < 1
    assert index.event_gaps == 1
