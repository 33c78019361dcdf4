"""JSON encoder for large request bodies.

The journal of a claim shard may be close to a megabyte and each write sends
all of it. With the standard library's encoder, that would block the event
loop for ten milliseconds or more.
"""

from typing import Any

import orjson


def dump_json(document: Any) -> str:
    """Return a document as JSON text; ``aiohttp`` sessions call this.

    >>> dump_json({'records': {'a': [1, 'done']}})
    '{"records":{"a":[1,"done"]}}'
    """
    return orjson.dumps(document).decode()
