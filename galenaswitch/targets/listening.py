"""Checks whether a target accepts connections."""

import asyncio
from urllib.parse import urlsplit

from galenaswitch.operations.timeouts import Timeout
from galenaswitch.targets.client import CONNECT_SECONDS

# Time in which a process that is ending closes the connections it accepted.
LISTENING_CHECK_SECONDS = 0.05


async def is_listening(url: str) -> bool:
    """Tell whether a target accepts a connection and keeps it open."""
    address = urlsplit(url)
    try:
        async with Timeout(CONNECT_SECONDS):
            reader, writer = await asyncio.open_connection(
                address.hostname, address.port
            )
    except OSError:
        return False
    try:
        async with Timeout(LISTENING_CHECK_SECONDS):
            return bool(await reader.read(1))
    except TimeoutError:
        return True
    except OSError:
        return False
    finally:
        writer.close()
