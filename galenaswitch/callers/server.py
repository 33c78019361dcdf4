"""HTTP routes that callers use: pipeline requests and health checks.

Each request is authenticated and checked before a request handler runs it.
A refusal gets a JSON document with its reason; a failed event stream ends with
a reset connection, so that it never looks complete.
"""

import asyncio
import contextlib
import secrets
from http import HTTPStatus
from typing import Any, NamedTuple, Protocol, cast

from sanic import HTTPResponse, Request, Sanic
from sanic.exceptions import NotFound, PayloadTooLarge, SanicException
from sanic.http import Http
from sanic.response import json as json_response

from galenaswitch.callers.access import ContractDirectory
from galenaswitch.callers.answers import (
    CollectingSink,
    StreamingSink,
    encode_event,
)
from galenaswitch.callers.bodies import (
    MAX_READ_BYTES,
    CallerBody,
    choose_deadline_ms,
    parse_body,
)
from galenaswitch.operations.logs import describe_error, get_logger
from galenaswitch.operations.metrics import Metrics
from galenaswitch.operations.process import is_cancelled
from galenaswitch.pipelines.execution import TokenSink
from galenaswitch.pipelines.requests import PipelineRequest, Progress
from galenaswitch.refusals import ExecutionState, Reason, RefusedError

REQUEST_ID_BYTES = 8
REQUEST_ID_HEADER = 'X-Request-Id'
IDEMPOTENCY_KEY_HEADER = 'Idempotency-Key'
EVENT_STREAM_TYPE = 'text/event-stream'
MILLISECONDS_PER_SECOND = 1000


class PipelineResult(NamedTuple):
    """Result of a request whose stages have all run.

    :param output: output of the last stage.
    :param replayed: whether the output is the stored outcome of an earlier
        request with the same idempotency key.
    """

    output: dict[str, Any]
    replayed: bool = False


class RequestHandler(Protocol):
    """Runs a checked request under the limits and claims of its contract."""

    async def handle(
        self,
        request: PipelineRequest,
        key: str,
        progress: Progress,
        sink: TokenSink,
    ) -> PipelineResult:
        """Run a request and return the result of its pipeline.

        :param key: idempotency key, empty when the request has none.
        """


class Readiness(Protocol):
    """Tells whether this process can serve callers' requests."""

    def is_ready(self) -> bool:
        """Tell whether the load balancer should route callers here."""

    def can_serve(self) -> bool:
        """Tell whether this process can try to run a request it received."""


class CallerApi:
    """HTTP routes for callers.

    ``in_progress`` counts the pipeline requests in progress. ``draining`` is
    set at a graceful shutdown: readiness fails and connections close after
    their response.
    """

    def __init__(
        self,
        directory: ContractDirectory,
        handler: RequestHandler,
        readiness: Readiness,
        metrics: Metrics,
    ) -> None:
        """Build the API, which runs pipeline requests through ``handler``."""
        self._directory = directory
        self._handler = handler
        self._readiness = readiness
        self._metrics = metrics
        self.in_progress = 0
        self.draining = False

    def mount(self, app: Sanic[Any, Any]) -> None:
        """Add the routes and error handlers to a Sanic application."""
        app.config.REQUEST_MAX_SIZE = MAX_READ_BYTES
        app.config.RESPONSE_TIMEOUT = 3600
        app.config.FALLBACK_ERROR_FORMAT = 'json'
        app.add_route(
            self.run_pipeline,
            '/v1/pipelines/<name>',
            methods=['POST'],
            name='run_pipeline',
        )
        app.add_route(self.report_readiness, '/health/ready', name='ready')
        app.add_route(self.report_liveness, '/health/live', name='live')
        app.exception(SanicException)(self.respond_to_http_error)
        app.exception(Exception)(self.respond_to_internal_error)

    async def report_readiness(self, request: Request) -> HTTPResponse:
        """Respond to the load balancer's readiness check."""
        ready = self._readiness.is_ready() and not self.draining
        return json_response({'ready': ready}, status=_READY_STATUSES[ready])

    async def report_liveness(self, request: Request) -> HTTPResponse:
        """Respond to a liveness check."""
        return json_response({'live': True})

    async def respond_to_http_error(
        self,
        request: Request,
        error: SanicException,
    ) -> HTTPResponse:
        """Refuse a request that the HTTP library rejected."""
        reason = _REASONS_BY_HTTP_ERROR.get(type(error), Reason.invalid_body)
        return self._refuse(RefusedError(reason), read_request_id(request))

    async def respond_to_internal_error(
        self,
        request: Request,
        error: Exception,
    ) -> HTTPResponse:
        """Refuse a request after an unexpected exception.

        The refusal says ``unknown``, because a call that may not be repeated
        may have run.
        """
        get_logger().error('request_failed', exc_info=error)
        refusal = RefusedError(Reason.internal, ExecutionState.unknown)
        return self._refuse(refusal, read_request_id(request))

    async def run_pipeline(
        self,
        request: Request,
        name: str,
    ) -> HTTPResponse | None:
        """Respond to ``POST /v1/pipelines/<name>``."""
        ident = read_request_id(request)
        self.in_progress += 1
        if self.draining or not self._readiness.is_ready():
            # The load balancer connects to another process after this
            # connection is closed.
            cast(Http, request.stream).keep_alive = False
        try:
            pipeline_request, body = self._parse_request(request, name, ident)
            if body.stream:
                await self._respond_stream(request, pipeline_request)
                return None
            return await self._respond_complete(request, pipeline_request)
        except RefusedError as error:
            return self._refuse(error, ident)
        finally:
            self.in_progress -= 1

    def _parse_request(
        self,
        request: Request,
        name: str,
        ident: str,
    ) -> tuple[PipelineRequest, CallerBody]:
        """Authenticate and check a request.

        :raises RefusedError: when the request may not run.
        """
        if not self._readiness.can_serve():
            raise RefusedError(Reason.not_ready)
        caller = self._directory.authenticate(
            request.headers.get('Authorization', ''),
        )
        pipeline = self._directory.find_pipeline(caller.contract, name)
        body = parse_body(request.body)
        allowed_ms = choose_deadline_ms(
            body.deadline_ms,
            caller.contract.deadline_ms,
        )
        now = asyncio.get_running_loop().time()
        pipeline_request = PipelineRequest(
            ident,
            caller.contract,
            caller.version,
            pipeline,
            body.prompt,
            body.fields,
            body.max_tokens,
            now + allowed_ms / MILLISECONDS_PER_SECOND,
        )
        return pipeline_request, body

    async def _respond_complete(
        self,
        request: Request,
        pipeline_request: PipelineRequest,
    ) -> HTTPResponse:
        sink = CollectingSink()
        progress = Progress()
        pipeline_result = await self._handle_request(
            request, pipeline_request, progress, sink
        )
        document = build_response_document(
            pipeline_request, pipeline_result, progress, sink
        )
        headers = {REQUEST_ID_HEADER: pipeline_request.ident}
        return json_response(document, headers=headers)

    async def _respond_stream(
        self,
        request: Request,
        pipeline_request: PipelineRequest,
    ) -> None:
        """Respond with server-sent events.

        A failed response ends with an error event and a reset connection, so
        that it never looks complete.
        """
        response = await request.respond(
            content_type=EVENT_STREAM_TYPE,
            headers={REQUEST_ID_HEADER: pipeline_request.ident},
        )
        transport = cast(asyncio.Transport, request.transport)
        sink = StreamingSink(response, transport)
        progress = Progress()
        try:
            pipeline_result = await self._handle_request(
                request, pipeline_request, progress, sink
            )
        except RefusedError as error:
            document = error.document(pipeline_request.ident)
            with contextlib.suppress(RefusedError):
                await sink.write(encode_event('error', document))
            transport.abort()
            return
        done = build_response_document(
            pipeline_request, pipeline_result, progress, sink
        )
        await sink.write(encode_event('done', done))
        await response.eof()

    async def _handle_request(
        self,
        request: Request,
        pipeline_request: PipelineRequest,
        progress: Progress,
        sink: TokenSink,
    ) -> PipelineResult:
        key = request.headers.get(IDEMPOTENCY_KEY_HEADER, '')
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        outcome = 'cancelled'
        try:
            pipeline_result = await self._handler.handle(
                pipeline_request,
                key,
                progress,
                sink,
            )
            outcome = 'answered'
        except RefusedError as error:
            outcome = error.reason.value
            raise
        except (Exception, asyncio.CancelledError) as error:
            if is_cancelled():
                raise
            outcome = Reason.internal.value
            get_logger().error(
                'request_failed',
                request=pipeline_request.ident,
                **describe_error(error),
            )
            raise RefusedError(
                Reason.internal, ExecutionState.unknown
            ) from error
        finally:
            self._metrics.count(f'requests.{outcome}')
            self._metrics.time(
                'request',
                (loop.time() - started_at) * MILLISECONDS_PER_SECOND,
            )
            log_request(pipeline_request, outcome, progress)
        return pipeline_result

    def _refuse(self, error: RefusedError, ident: str) -> HTTPResponse:
        self._metrics.count(f'refused.{error.reason.value}')
        headers = {REQUEST_ID_HEADER: ident}
        if error.response.retry_after_seconds:
            headers['Retry-After'] = str(error.response.retry_after_seconds)
        return json_response(
            error.document(ident),
            status=error.response.status,
            headers=headers,
        )


_READY_STATUSES = {
    True: HTTPStatus.OK,
    False: HTTPStatus.SERVICE_UNAVAILABLE,
}
_REASONS_BY_HTTP_ERROR: dict[type[SanicException], Reason] = {
    NotFound: Reason.unknown_path,
    PayloadTooLarge: Reason.body_too_large,
}


def read_request_id(request: Request) -> str:
    """Return the request id that the caller sent, or a new random one."""
    requested_id = request.headers.get(REQUEST_ID_HEADER, '')
    if requested_id.isalnum() and len(requested_id) <= REQUEST_ID_BYTES * 4:
        return str(requested_id)
    return secrets.token_hex(REQUEST_ID_BYTES)


def build_response_document(
    pipeline_request: PipelineRequest,
    pipeline_result: PipelineResult,
    progress: Progress,
    sink: CollectingSink,
) -> dict[str, Any]:
    """Return the JSON document that describes a complete result.

    ``count`` and ``digest`` let a caller check that it received the complete
    generated text.
    """
    document = {
        'request': pipeline_request.ident,
        'contract_version': pipeline_request.contract_version,
        'output': pipeline_result.output,
        'replayed': pipeline_result.replayed,
        'count': sink.count,
        'digest': sink.digest(),
        'cost': progress.useful_cost,
    }
    text = sink.text()
    return {**document, 'text': text} if text else document


def log_request(
    pipeline_request: PipelineRequest,
    outcome: str,
    progress: Progress,
) -> None:
    """Log the outcome of a request that has ended."""
    get_logger().info(
        'request',
        request=pipeline_request.ident,
        workspace=pipeline_request.contract.workspace,
        pipeline=pipeline_request.pipeline.name,
        contract_version=pipeline_request.contract_version,
        outcome=outcome,
        attempts=progress.attempts,
        tokens=progress.tokens,
    )
