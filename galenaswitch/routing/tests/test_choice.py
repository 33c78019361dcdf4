from galenaswitch.membership.lists import Target
from galenaswitch.membership.messages import LoadReport
from galenaswitch.routing.choice import PredictedFinish, WorkEstimate
from galenaswitch.routing.loads import LoadView
from galenaswitch.routing.prefix import PrefixIndex

NOW = 10
BLOCKS = (8, 16, 24)
USUAL_SPEED = 400


def make_chooser(speeds):
    """Return targets, a chooser and its prefix index.

    :param speeds: tokens per second that each target generates.
    """
    loads, prefixes = LoadView(), PrefixIndex()
    targets = []
    for name, speed in speeds.items():
        targets.append(Target(name, '1', 'north', 'runners', 'http://x'))
        report = LoadReport(
            name,
            '1',
            prompt_tokens_per_second=speed * 20,
            tokens_per_second=speed,
        )
        loads.get_load(name).accept(report, NOW)
    return targets, PredictedFinish(loads, prefixes), prefixes


def test_slow_engine_with_the_prefix_is_avoided():
    targets, chooser, prefixes = make_chooser(
        {'slow': 40, 'usual': USUAL_SPEED}
    )
    prefixes.add('slow', BLOCKS)
    work = WorkEstimate(BLOCKS, 192, 64, 'north', NOW)
    assert {chooser.choose(targets, work).name for _ in range(9)} == {'usual'}


def test_engine_with_the_prefix_is_chosen_among_equal_engines():
    targets, chooser, prefixes = make_chooser(
        {'a': USUAL_SPEED, 'b': USUAL_SPEED}
    )
    prefixes.add('b', BLOCKS)
    work = WorkEstimate(BLOCKS, 192, 64, 'north', NOW)
    assert {chooser.choose(targets, work).name for _ in range(9)} == {'b'}
