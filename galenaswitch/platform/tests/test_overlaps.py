"""Overlaps of two engines on a loop that is held up meanwhile."""

import asyncio
import time

import pytest

from galenaswitch.platform.tests.engines import BEGUN, FOREVER, REST
from galenaswitch.platform.tests.test_silent_streams import generate

__all__ = ['generate']


# Guards against two engines that work on one request for too long since the
# loop was held up for a part of that time.
@pytest.mark.parametrize('begin', [0.01, 0.04])
async def test_hold_up_does_not_prolong_the_overlap(
    start_engines, generate, begin
):
    loop = asyncio.get_running_loop()
    engines = await start_engines([BEGUN, FOREVER], [1.5, REST])

    def hold_up():
        if len(engines.works) < 2:
            loop.call_later(0.002, hold_up)
        else:
            loop.call_later(begin, time.sleep, 0.24)

    hold_up()
    assert await generate(engines) is None
