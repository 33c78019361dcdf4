"""Callers' HTTP API."""

import asyncio
import contextlib
import secrets
from http import HTTPStatus
from typing import Any, NamedTuple, Protocol, cast

from sanic import HTTPResponse, Request, Sanic
from sanic.exceptions import NotFound, PayloadTooLarge, SanicException
from sanic.http import Http
from sanic.response import json as answer_json

from galenaswitch.callers.access import Directory
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
from galenaswitch.operations.logs import get_logger
from galenaswitch.operations.metrics import Metrics
from galenaswitch.pipelines.execution import TokenSink
from galenaswitch.pipelines.requests import PipelineRequest, Progress
from galenaswitch.refusals import ExecutionState, Reason, RefusedError

REQUEST_ID_BYTES = 8
REQUEST_HEADER = 'X-Request-Id'
KEY_HEADER = 'Idempotency-Key'
EVENT_STREAM = 'text/event-stream'
MILLISECONDS = 1000


class Answer(NamedTuple):
    """A whole answer.

    :param output: output of the last stage.
    :param replayed: whether it is the first outcome of a repeated key.
    """

    output: dict[str, Any]
    replayed: bool = False


class Handling(Protocol):
    """Runs a checked request under its contract's limits and claims."""

    async def handle(
        self,
        request: PipelineRequest,
        key: str,
        progress: Progress,
        sink: TokenSink,
    ) -> Answer:
        """Run a request; an empty ``key`` means that it has none."""


class Readiness(Protocol):
    """Tells whether this entry should get callers."""

    def is_ready(self) -> bool:
        """Tell whether the balancer should send callers here."""

    def can_serve(self) -> bool:
        """Tell whether a request that has come can be tried."""


class CallerApi:
    """The routes that callers use."""

    def __init__(
        self,
        directory: Directory,
        handling: Handling,
        readiness: Readiness,
        metrics: Metrics,
    ) -> None:
        """Serve requests through ``handling``."""
        self._directory = directory
        self._handling = handling
        self._readiness = readiness
        self._metrics = metrics
        self.in_progress = 0
        self.draining = False

    def mount(self, app: Sanic[Any, Any]) -> None:
        """Add routes and error answers to an application."""
        app.config.REQUEST_MAX_SIZE = MAX_READ_BYTES
        app.config.RESPONSE_TIMEOUT = 3600
        app.config.FALLBACK_ERROR_FORMAT = 'json'
        app.add_route(
            self.run_pipeline,
            '/v1/pipelines/<name>',
            methods=['POST'],
            name='run_pipeline',
        )
        app.add_route(self.show_ready, '/health/ready', name='ready')
        app.add_route(self.show_live, '/health/live', name='live')
        app.exception(SanicException)(self.answer_exception)
        app.exception(Exception)(self.answer_failure)

    async def show_ready(self, request: Request) -> HTTPResponse:
        """Tell the balancer whether to send callers here."""
        ready = self._readiness.is_ready() and not self.draining
        return answer_json({'ready': ready}, status=_READY_STATUSES[ready])

    async def show_live(self, request: Request) -> HTTPResponse:
        """Tell that the process runs."""
        return answer_json({'live': True})

    async def answer_exception(
        self,
        request: Request,
        error: SanicException,
    ) -> HTTPResponse:
        """Answer errors that the HTTP library found."""
        reason = _HTTP_REASONS.get(type(error), Reason.invalid_body)
        return self._refuse(RefusedError(reason), read_ident(request))

    async def answer_failure(
        self,
        request: Request,
        error: Exception,
    ) -> HTTPResponse:
        """Answer a fault of this program; what ran is not known."""
        get_logger().error('request_failed', exc_info=error)
        refusal = RefusedError(Reason.internal, ExecutionState.unknown)
        return self._refuse(refusal, read_ident(request))

    async def run_pipeline(
        self,
        request: Request,
        name: str,
    ) -> HTTPResponse | None:
        """Answer ``POST /v1/pipelines/<name>``."""
        ident = read_ident(request)
        self.in_progress += 1
        if self.draining or not self._readiness.is_ready():
            # The balancer must open its next connection elsewhere.
            cast(Http, request.stream).keep_alive = False
        try:
            checked, body = self._check(request, name, ident)
            if body.stream:
                await self._stream(request, checked)
                return None
            return await self._answer(request, checked)
        except RefusedError as error:
            return self._refuse(error, ident)
        finally:
            self.in_progress -= 1

    def _check(
        self,
        request: Request,
        name: str,
        ident: str,
    ) -> tuple[PipelineRequest, CallerBody]:
        """Authenticate and check a request."""
        if not self._readiness.can_serve():
            raise RefusedError(Reason.not_ready)
        caller = self._directory.authenticate(
            request.headers.get('Authorization', ''),
        )
        pipeline = self._directory.find_pipeline(caller.contract, name)
        body = parse_body(request.body)
        allowed = choose_deadline_ms(
            body.deadline_ms,
            caller.contract.deadline_ms,
        )
        now = asyncio.get_running_loop().time()
        checked = PipelineRequest(
            ident,
            caller.contract,
            caller.version,
            pipeline,
            body.prompt,
            body.fields,
            body.max_tokens,
            now + allowed / MILLISECONDS,
        )
        return checked, body

    async def _answer(
        self,
        request: Request,
        checked: PipelineRequest,
    ) -> HTTPResponse:
        sink = CollectingSink()
        progress = Progress()
        answer = await self._handle(request, checked, progress, sink)
        document = describe_answer(checked, answer, progress, sink)
        headers = {REQUEST_HEADER: checked.ident}
        return answer_json(document, headers=headers)

    async def _stream(
        self,
        request: Request,
        checked: PipelineRequest,
    ) -> None:
        """Answer by events; a failed answer never ends like a whole one."""
        response = await request.respond(
            content_type=EVENT_STREAM,
            headers={REQUEST_HEADER: checked.ident},
        )
        transport = cast(asyncio.Transport, request.transport)
        sink = StreamingSink(response, transport)
        progress = Progress()
        try:
            answer = await self._handle(request, checked, progress, sink)
        except RefusedError as error:
            document = error.document(checked.ident)
            with contextlib.suppress(RefusedError):
                await sink.write(encode_event('error', document))
            transport.abort()
            return
        done = describe_answer(checked, answer, progress, sink)
        await sink.write(encode_event('done', done))
        await response.eof()

    async def _handle(
        self,
        request: Request,
        checked: PipelineRequest,
        progress: Progress,
        sink: TokenSink,
    ) -> Answer:
        key = request.headers.get(KEY_HEADER, '')
        loop = asyncio.get_running_loop()
        begun = loop.time()
        outcome = 'cancelled'
        try:
            answer = await self._handling.handle(
                checked,
                key,
                progress,
                sink,
            )
            outcome = 'answered'
        except RefusedError as error:
            outcome = error.reason.value
            raise
        finally:
            self._metrics.count(f'requests.{outcome}')
            self._metrics.time(
                'request',
                (loop.time() - begun) * MILLISECONDS,
            )
            log_request(checked, outcome, progress)
        return answer

    def _refuse(self, error: RefusedError, ident: str) -> HTTPResponse:
        self._metrics.count(f'refused.{error.reason.value}')
        headers = {REQUEST_HEADER: ident}
        if error.response.retry_after_seconds:
            headers['Retry-After'] = str(error.response.retry_after_seconds)
        return answer_json(
            error.document(ident),
            status=error.response.status,
            headers=headers,
        )


_READY_STATUSES = {
    True: HTTPStatus.OK,
    False: HTTPStatus.SERVICE_UNAVAILABLE,
}
_HTTP_REASONS: dict[type[SanicException], Reason] = {
    NotFound: Reason.unknown_path,
    PayloadTooLarge: Reason.body_too_large,
}


def read_ident(request: Request) -> str:
    """Return the caller's request id, or a new one."""
    asked = request.headers.get(REQUEST_HEADER, '')
    if asked.isalnum() and len(asked) <= REQUEST_ID_BYTES * 4:
        return str(asked)
    return secrets.token_hex(REQUEST_ID_BYTES)


def describe_answer(
    checked: PipelineRequest,
    answer: Answer,
    progress: Progress,
    sink: CollectingSink,
) -> dict[str, Any]:
    """Return the JSON document of a whole answer.

    ``count`` and ``digest`` let a caller check that the text is whole.
    """
    document = {
        'request': checked.ident,
        'contract_version': checked.contract_version,
        'output': answer.output,
        'replayed': answer.replayed,
        'count': sink.count,
        'digest': sink.digest(),
        'cost': progress.useful_cost,
    }
    text = sink.text()
    return {**document, 'text': text} if text else document


def log_request(
    checked: PipelineRequest,
    outcome: str,
    progress: Progress,
) -> None:
    """Log one line for a request that has ended."""
    get_logger().info(
        'request',
        request=checked.ident,
        workspace=checked.contract.workspace,
        pipeline=checked.pipeline.name,
        contract_version=checked.contract_version,
        outcome=outcome,
        attempts=progress.attempts,
        tokens=progress.tokens,
    )
