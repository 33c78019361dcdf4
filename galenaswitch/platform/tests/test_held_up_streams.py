"""Token streams whose tokens arrive while the loop is held up."""

import asyncio

import pytest

from galenaswitch.membership.lists import Target
from galenaswitch.pipelines.streams import StallWatch, order_tokens
from galenaswitch.platform.tests.test_held_up import (
    CALL,
    HEAD,
    LOOPS,
    hold_up,
    make_part,
    open_engine,
)
from galenaswitch.targets.client import TargetClient
from galenaswitch.targets.sequence import TokenSequence


async def read_tokens(address):
    """Read a token stream, the loop held up from 0.1 s on."""
    client = TargetClient()
    target = Target('t', '1', 'z', 'p', f'http://{address}')
    hold_up((0.1, 1.3))
    stream = client.stream(target, CALL, 4)
    watch = StallWatch(lambda: True)
    groups = order_tokens(stream, [4], TokenSequence(), watch)
    try:
        return ''.join([one.text async for group in groups for one in group])
    finally:
        await client.close()


# Guards against a token stream that is left as stalled, and a retry that is
# spent, though its tokens have arrived while the loop was held up.
@pytest.mark.parametrize('new_loop', LOOPS, ids=('uvloop', 'asyncio'))
def test_stream_is_not_left_for_a_pause_of_the_own_loop(new_loop):
    first = make_part(index=0, text='a')
    last = make_part(index=1, text='b') + make_part(count=2) + b'0\r\n\r\n'
    with (
        open_engine([(0, HEAD + first), (0.5, last)]) as address,
        asyncio.Runner(loop_factory=new_loop) as runner,
    ):
        assert runner.run(read_tokens(address)) == 'ab'
