"""Connections that show whether a target can be reached."""

import asyncio
from collections.abc import Callable
from functools import partial

from galenaswitch.connections.dialing import LISTENING_CHECK_SECONDS, Dialer
from galenaswitch.connections.heads import RequestHead
from galenaswitch.connections.outbound import TargetConnection
from galenaswitch.errors import TargetError
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


async def is_answered(
    dialer: Dialer,
    make_connection: Callable[[], TargetConnection],
    head: RequestHead,
    seconds: float,
) -> bool:
    """Tell whether a target answers a probe on a new connection.

    :param dialer: opens the connection.
    :param head: request that runs nothing; any answer counts.
    :param seconds: longest time for connecting and for the answer.
    """
    connection = None
    try:
        async with Timeout(seconds):
            address = make_connection().address
            connection = await dialer.open(address, make_connection)
            await connection.send(head, b'').read_head()
    except (OSError, ValueError, TargetError):
        return False
    finally:
        if connection:
            connection.close()
    return True
