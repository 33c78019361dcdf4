"""Client of the platform's object API.

An object has a kind, a name, a version that grows with each write, and a JSON
body. Every write is a compare-and-swap on the object's version.
"""

from collections import Counter
from typing import Any

import aiohttp
import orjson

from galenaswitch.errors import (
    StoreConflictError,
    StoreError,
    StoreUnavailableError,
)
from galenaswitch.operations.timeouts import Timeout
from galenaswitch.store.objects import Listing, StoredObject

MAX_BODY_BYTES = 1_000_000
_OK = 200
_NOT_MODIFIED = 304
_NOT_FOUND = 404
_CONFLICT = 412


class StoreClient:
    """HTTP client of the store; each call has a timeout and is counted."""

    def __init__(
        self,
        session: aiohttp.ClientSession,
        url: str,
        seconds: float = 2,
    ) -> None:
        """Build a client of the store at ``url``.

        :param seconds: timeout of one call.
        """
        self._session = session
        self._url = url.rstrip('/')
        self._timeout_seconds = seconds
        self.calls: Counter[str] = Counter()

    async def read(self, kind: str, name: str) -> StoredObject | None:
        """Return an object, or ``None`` when it doesn't exist.

        :raises StoreUnavailableError: when the store doesn't answer.
        """
        status, document = await self._call(
            'GET',
            f'/objects/{kind}/{name}',
        )
        if status == _NOT_FOUND:
            return None
        return StoredObject(kind, name, document['version'], document['body'])

    async def write(
        self,
        kind: str,
        name: str,
        body: dict[str, Any],
        replaces: int,
    ) -> int:
        """Write an object if its current version is the expected one.

        :param replaces: expected current version, ``ABSENT`` to create.
        :returns: the new version.
        :raises StoreConflictError: when the object is at another version.
        :raises StoreUnavailableError: when the store doesn't answer; the write
            may have taken effect or may do so later.
        """
        status, document = await self._call(
            'PUT',
            f'/objects/{kind}/{name}',
            json=body,
            headers={'If-Match': str(replaces)},
        )
        if status == _CONFLICT:
            raise StoreConflictError(document['version'])
        version: int = document['version']
        return version

    async def list_kinds(self, *kinds: str) -> Listing:
        """Return all objects of some kinds."""
        _, document = await self._call(
            'GET',
            '/objects',
            query={'kinds': ','.join(kinds)},
        )
        return _read_listing(document)

    async def watch(
        self,
        revision: int,
        seconds: float,
        *kinds: str,
    ) -> Listing:
        """Wait for changes of objects of some kinds after a revision.

        :param seconds: longest wait for the first change.
        :returns: the objects that have changed, empty when none has.
        """
        _, document = await self._call(
            'GET',
            '/watch',
            wait_seconds=seconds,
            query={
                'kinds': ','.join(kinds),
                'since': str(revision),
                'seconds': str(seconds),
            },
        )
        return _read_listing(document)

    async def read_list(
        self,
        name: str,
        known_revision: int = 0,
    ) -> dict[str, Any] | None:
        """Return one of the platform's lists, which lag behind its state.

        :param known_revision: revision of the caller's copy of the list.
        :returns: the list, or ``None`` when its revision is the known one.
        """
        status, document = await self._call(
            'GET',
            f'/lists/{name}',
            headers={'If-None-Match': f'"{known_revision}"'},
        )
        return None if status == _NOT_MODIFIED else document

    async def _call(
        self,
        method: str,
        path: str,
        wait_seconds: float = 0,
        query: dict[str, str] | None = None,
        **options: Any,
    ) -> tuple[int, dict[str, Any]]:
        self.calls[method] += 1
        try:
            async with (
                Timeout(
                    self._timeout_seconds + wait_seconds,
                    is_measured=not wait_seconds,
                ),
                self._session.request(
                    method,
                    f'{self._url}{path}',
                    params=query,
                    **options,
                ) as answer,
            ):
                return await _read_answer(answer)
        except (aiohttp.ClientError, OSError, ValueError) as error:
            raise StoreUnavailableError(
                f'the store does not answer: {type(error).__name__}',
            ) from error


async def _read_answer(
    answer: aiohttp.ClientResponse,
) -> tuple[int, dict[str, Any]]:
    if answer.status == _NOT_MODIFIED:
        return answer.status, {}
    if answer.status not in {_OK, _NOT_FOUND, _CONFLICT}:
        raise StoreUnavailableError(f'the store answers {answer.status}')
    document = await answer.json(loads=orjson.loads)
    if not isinstance(document, dict):
        raise StoreError('the answer of the store is not a JSON object')
    return answer.status, document


def _read_listing(document: dict[str, Any]) -> Listing:
    return Listing(
        document['revision'],
        tuple(
            StoredObject(
                entry['kind'],
                entry['name'],
                entry['version'],
                entry['body'],
            )
            for entry in document['objects']
        ),
    )
