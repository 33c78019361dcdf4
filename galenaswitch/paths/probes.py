"""Connections that only show whether a target can be reached."""

import asyncio
from functools import partial

from galenaswitch.connections.dialing import LISTENING_CHECK_SECONDS, Dialer
from galenaswitch.connections.outbound import TargetConnection
from galenaswitch.operations.timeouts import Timeout


async def stays_open(dialer: Dialer, address: str, seconds: float) -> bool:
    """Tell whether a new connection to a target stays open.

    :param dialer: opens the connection.
    :param seconds: longest time for opening it.
    """
    try:
        async with Timeout(seconds):
            connection = await dialer.open(
                address, partial(TargetConnection, address)
            )
    except (OSError, TimeoutError, ValueError):
        return False
    await asyncio.sleep(LISTENING_CHECK_SECONDS)
    is_open = connection.reusable
    connection.close()
    return is_open
