"""HTTP client of the operators' API, used by ``galenactl``."""

import asyncio
from typing import Any, NamedTuple

import aiohttp

from galenaswitch.errors import GalenaError

CALL_TIMEOUT_SECONDS = 15
CURRENT_VERSION = -1
_STATUS_OK = 200
_NOT_FOUND = 404
_FIRST_SERVER_ERROR = 500


class RefusedByAdminError(GalenaError):
    """The operators' API refused the request."""


class UnreachableAdminError(GalenaError):
    """The operators' API is unreachable, or a change's outcome is unknown."""


class Reply(NamedTuple):
    """HTTP response of the operators' API.

    :param status: HTTP status code.
    :param version: object version in the ETag header, 0 without the header.
    :param document: JSON object in the body.
    """

    status: int
    version: int
    document: dict[str, Any]


class AdminClient:
    """Blocking client of the operators' API.

    Each call runs in its own event loop.
    """

    def __init__(self, url: str, token: str) -> None:
        """Build a client for the API at ``url`` with an operator's token."""
        self._url = url.rstrip('/')
        self._token = token

    def fetch(self, path: str) -> dict[str, Any]:
        """Return the JSON document at a URL path."""
        return self._call('GET', path).document

    def show(self, kind: str, name: str) -> Reply:
        """Return a configuration object with its version."""
        return self._call('GET', f'/v1/{kind}/{name}')

    def apply(
        self,
        kind: str,
        name: str,
        document: dict[str, Any],
        version: int,
    ) -> dict[str, Any]:
        """Create or replace a configuration object.

        :param version: version to replace, 0 to create the object;
            ``CURRENT_VERSION`` replaces whichever version is stored.
        """
        condition = self._condition(kind, name, version)
        path = f'/v1/{kind}/{name}'
        return self._call('PUT', path, condition, document).document

    def delete(self, kind: str, name: str, version: int) -> dict[str, Any]:
        """Delete a configuration object.

        :param version: version to delete; ``CURRENT_VERSION`` deletes
            whichever version is stored.
        """
        condition = self._condition(kind, name, version)
        return self._call('DELETE', f'/v1/{kind}/{name}', condition).document

    def _condition(self, kind: str, name: str, version: int) -> dict[str, str]:
        if version == CURRENT_VERSION:
            found = self._send('GET', f'/v1/{kind}/{name}')
            version = found.version if found.status == _STATUS_OK else 0
        if version == 0:
            return {'If-None-Match': '*'}
        return {'If-Match': f'"{version}"'}

    def _call(
        self,
        method: str,
        path: str,
        headers: dict[str, str] | None = None,
        document: dict[str, Any] | None = None,
    ) -> Reply:
        reply = self._send(method, path, headers, document)
        if reply.status == _STATUS_OK:
            return reply
        error = reply.document.get('error', {})
        reason = f'{error.get("type")}: {error.get("detail")}'
        if reply.status >= _FIRST_SERVER_ERROR:
            raise UnreachableAdminError(reason)
        raise RefusedByAdminError(reason)

    def _send(
        self,
        method: str,
        path: str,
        headers: dict[str, str] | None = None,
        document: dict[str, Any] | None = None,
    ) -> Reply:
        try:
            return asyncio.run(self._exchange(method, path, headers, document))
        except (aiohttp.ClientError, OSError, TimeoutError) as error:
            raise UnreachableAdminError(
                f'cannot reach {self._url}; check [admin] url',
            ) from error

    async def _exchange(
        self,
        method: str,
        path: str,
        headers: dict[str, str] | None,
        document: dict[str, Any] | None,
    ) -> Reply:
        sent = {'Authorization': f'Bearer {self._token}', **(headers or {})}
        timeout = aiohttp.ClientTimeout(total=CALL_TIMEOUT_SECONDS)
        async with (
            aiohttp.ClientSession(timeout=timeout) as session,
            session.request(
                method,
                f'{self._url}{path}',
                headers=sent,
                json=document,
            ) as response,
        ):
            etag = response.headers.get('ETag', '0').strip('"')
            return Reply(response.status, int(etag), await response.json())
