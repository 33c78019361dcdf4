from galenaswitch.membership.blocks import sample_hashes
from galenaswitch.membership.messages import CacheChange
from galenaswitch.routing.prefix import PrefixIndex, hash_blocks

LONG_PROMPT = hash_blocks('lab', 'a long report ' * 1000)
SHORT_PROMPT = (1, 2, 3)


def test_sampled_cache_events_give_the_share_of_the_prompt():
    index = PrefixIndex()
    half = len(LONG_PROMPT) // 2
    index.apply_change(CacheChange('a', 1, sample_hashes(LONG_PROMPT[:half])))
    share = len(sample_hashes(LONG_PROMPT[:half])) / len(
        sample_hashes(LONG_PROMPT)
    )
    assert index.estimate_cached_share('a', LONG_PROMPT) == share
    assert index.estimate_cached_share('a', LONG_PROMPT[:half]) == 1


def test_evicted_blocks_no_longer_count():
    index = PrefixIndex()
    index.add('a', LONG_PROMPT)
    index.apply_change(CacheChange('a', 1, (), sample_hashes(LONG_PROMPT)))
    assert index.estimate_cached_share('a', LONG_PROMPT) == 0


def test_prompt_without_sampled_blocks_uses_own_requests():
    index = PrefixIndex()
    assert not sample_hashes(SHORT_PROMPT)
    index.add('a', SHORT_PROMPT)
    assert index.estimate_cached_share('a', SHORT_PROMPT) == 1


def test_event_gap_lowers_the_estimated_share():
    index = PrefixIndex()
    index.apply_change(CacheChange('a', 1, sample_hashes(LONG_PROMPT)))
    index.apply_change(CacheChange('a', 3))
    assert 0 < index.estimate_cached_share('a', LONG_PROMPT) < 1
    assert index.event_gaps == 1
