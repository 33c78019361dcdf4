"""HTTP server of the operators' API: routes, authorisation and errors."""

from http import HTTPStatus
from typing import Any, Protocol

from sanic import HTTPResponse, Request, Sanic
from sanic.exceptions import SanicException
from sanic.response import json as answer_json

from galenaswitch.administration.objects import (
    Change,
    ConfigurationObjects,
    UnknownObjectError,
    UnknownOutcomeError,
    VersionConflictError,
)
from galenaswitch.administration.operators import (
    ForbiddenError,
    OperatorSettings,
    Role,
    UnknownOperatorError,
    check_operator,
)
from galenaswitch.errors import (
    GalenaError,
    InvalidInputError,
    PeerError,
    StoreError,
)
from galenaswitch.operations.logs import get_logger
from galenaswitch.operations.metrics import Metrics
from galenaswitch.store.objects import ABSENT

BEARER_PREFIX = 'Bearer '
STATUS_CODES: dict[type[Exception], int] = {
    UnknownOperatorError: HTTPStatus.UNAUTHORIZED,
    ForbiddenError: HTTPStatus.FORBIDDEN,
    UnknownObjectError: HTTPStatus.NOT_FOUND,
    InvalidInputError: HTTPStatus.BAD_REQUEST,
    VersionConflictError: HTTPStatus.PRECONDITION_FAILED,
    UnknownOutcomeError: HTTPStatus.SERVICE_UNAVAILABLE,
    StoreError: HTTPStatus.SERVICE_UNAVAILABLE,
    PeerError: HTTPStatus.BAD_GATEWAY,
}


class Overview(Protocol):
    """Interface to the system's status and state dumps."""

    async def show_status(self) -> dict[str, Any]:
        """Return the configuration in force in each zone."""

    async def dump(self, node: str, program: str) -> dict[str, Any]:
        """Return the state dump of one process."""


class OperatorApi:
    """Request handlers of the operators' API."""

    def __init__(
        self,
        objects: ConfigurationObjects,
        overview: Overview,
        operators: OperatorSettings,
        metrics: Metrics,
    ) -> None:
        """Build the API from the components behind its routes.

        :param objects: reads and changes contracts and pipelines.
        :param overview: reads the status and state dumps of the system.
        :param operators: token hashes of each operator role.
        :param metrics: counts changes and refused requests.
        """
        self._metrics = metrics
        self._objects = objects
        self._overview = overview
        self._operators = operators

    def mount(self, app: Sanic[Any, Any]) -> None:
        """Add the routes and the error handler to a Sanic application."""
        app.config.FALLBACK_ERROR_FORMAT = 'json'
        path = '/v1/<kind:contracts|pipelines>/<name>'
        app.add_route(self.list_all, '/v1/<kind:contracts|pipelines>')
        app.add_route(self.show, path, methods=['GET'])
        app.add_route(self.put, path, methods=['PUT'])
        app.add_route(self.delete, path, methods=['DELETE'])
        app.add_route(self.show_status, '/v1/status')
        app.add_route(self.dump, '/v1/dump/<node>/<program>')
        app.exception(GalenaError)(self.answer_error)

    async def list_all(self, request: Request, kind: str) -> HTTPResponse:
        """Answer ``GET /v1/<kind>`` with the objects of that kind."""
        self._authorize(request, Role.read)
        found = await self._objects.list_all(kind)
        return answer_json({'objects': found})

    async def show(
        self,
        request: Request,
        kind: str,
        name: str,
    ) -> HTTPResponse:
        """Answer ``GET /v1/<kind>/<name>`` with the version as an ETag."""
        self._authorize(request, Role.read)
        found = await self._objects.show(kind, name)
        return answer_json(
            found.body,
            headers={'ETag': f'"{found.version}"'},
        )

    async def put(
        self,
        request: Request,
        kind: str,
        name: str,
    ) -> HTTPResponse:
        """Answer a ``PUT`` that has ``If-Match`` or ``If-None-Match: *``."""
        self._authorize(request, Role.write)
        document = read_document(request)
        return await self._apply(
            Change(kind, name, read_base_version(request), document),
        )

    async def delete(
        self,
        request: Request,
        kind: str,
        name: str,
    ) -> HTTPResponse:
        """Answer a ``DELETE`` that has ``If-Match``."""
        self._authorize(request, Role.write)
        return await self._apply(
            Change(kind, name, read_base_version(request), None),
        )

    async def show_status(self, request: Request) -> HTTPResponse:
        """Answer ``GET /v1/status`` with the configuration of each zone."""
        self._authorize(request, Role.read)
        return answer_json(await self._overview.show_status())

    async def dump(
        self,
        request: Request,
        node: str,
        program: str,
    ) -> HTTPResponse:
        """Answer ``GET /v1/dump/<node>/<program>`` with a state dump."""
        self._authorize(request, Role.read)
        return answer_json(await self._overview.dump(node, program))

    async def answer_error(
        self,
        request: Request,
        error: GalenaError,
    ) -> HTTPResponse:
        """Answer an error as JSON with the status code of its type."""
        status = next(
            (
                code
                for kind, code in STATUS_CODES.items()
                if isinstance(error, kind)
            ),
            HTTPStatus.INTERNAL_SERVER_ERROR,
        )
        self._metrics.count(f'refused.{type(error).__name__}')
        document = {'type': type(error).__name__, 'detail': str(error)}
        if isinstance(error, VersionConflictError):
            document['current'] = str(error.current)
        return answer_json({'error': document}, status=status)

    async def _apply(self, change: Change) -> HTTPResponse:
        version = await self._objects.apply(change)
        self._metrics.count('changes_accepted')
        get_logger().info(
            'change_accepted',
            kind=change.kind,
            name=change.name,
            version=version,
            deleted=change.document is None,
        )
        return answer_json(
            {'version': version},
            headers={'ETag': f'"{version}"'},
        )

    def _authorize(self, request: Request, required_role: Role) -> None:
        header = request.headers.get('Authorization', '')
        token = header.removeprefix(BEARER_PREFIX)
        check_operator(self._operators, token, required_role)


def read_base_version(request: Request) -> int:
    """Return the object version that a change replaces, from its headers.

    :raises InvalidInputError: when the conditional header is missing or
        invalid.
    """
    if request.headers.get('If-None-Match') == '*':
        return ABSENT
    etag = request.headers.get('If-Match', '').strip('"')
    if not etag.isdigit():
        raise InvalidInputError('If-Match or If-None-Match: * is required')
    return int(etag)


def read_document(request: Request) -> dict[str, Any]:
    """Return the JSON object in a request body.

    :raises InvalidInputError: when the body is not a JSON object.
    """
    try:
        document = request.json
    except SanicException as error:
        raise InvalidInputError('the body is not valid JSON') from error
    if not isinstance(document, dict):
        raise InvalidInputError('the body is not a JSON object')
    return document
