"""Refusals: every way in which a caller's request is not answered whole.

A refusal says what is known of the request: ``not-run`` when no stage ran,
``partial`` when repeatable stages ran, ``unknown`` when a call that may not
be repeated may have run.
"""

from enum import StrEnum
from http import HTTPStatus
from typing import Any, NamedTuple

from galenaswitch.errors import GalenaError

HOUR_SECONDS = 3600


class ExecutionState(StrEnum):
    """What is known of a request that was not answered."""

    not_run = 'not-run'
    partial = 'partial'
    unknown = 'unknown'


class RefusalResponse(NamedTuple):
    """How one kind of refusal is answered.

    :param status: HTTP status.
    :param retry_after_seconds: value of the Retry-After header, 0 when a
        retry cannot succeed.
    """

    status: int
    retry_after_seconds: int = 0


class Reason(StrEnum):
    """Kinds of refusal; the texts are part of the callers' API."""

    unauthorized = 'unauthorized'
    forbidden = 'pipeline-not-in-contract'
    unknown_pipeline = 'unknown-pipeline'
    unknown_path = 'unknown-path'
    invalid_body = 'invalid-body'
    body_too_large = 'body-too-large'
    deadline_past = 'deadline-past'
    rate_limit = 'over-requests-per-second'
    token_limit = 'over-tokens-per-second'
    progress_limit = 'over-in-progress'
    cost_limit = 'over-cost-per-day'
    limits_unreachable = 'limits-unreachable'
    capacity = 'out-of-capacity'
    hopeless = 'deadline-unreachable'
    no_target = 'no-target'
    not_ready = 'not-ready'
    claims_unreachable = 'claims-unreachable'
    claims_full = 'claims-full'
    key_required = 'idempotency-key-invalid'
    key_reused = 'idempotency-key-reused'
    key_running = 'still-running'
    key_unknown = 'outcome-unknown'
    stage_failed = 'stage-failed'
    deadline = 'deadline-exceeded'
    internal = 'internal-error'


REFUSAL_RESPONSES: dict[Reason, RefusalResponse] = {
    Reason.unauthorized: RefusalResponse(HTTPStatus.UNAUTHORIZED),
    Reason.forbidden: RefusalResponse(HTTPStatus.FORBIDDEN),
    Reason.unknown_pipeline: RefusalResponse(HTTPStatus.NOT_FOUND),
    Reason.unknown_path: RefusalResponse(HTTPStatus.NOT_FOUND),
    Reason.invalid_body: RefusalResponse(HTTPStatus.BAD_REQUEST),
    Reason.body_too_large: RefusalResponse(HTTPStatus.REQUEST_ENTITY_TOO_LARGE),
    Reason.deadline_past: RefusalResponse(HTTPStatus.BAD_REQUEST),
    Reason.rate_limit: RefusalResponse(HTTPStatus.TOO_MANY_REQUESTS, 1),
    Reason.token_limit: RefusalResponse(HTTPStatus.TOO_MANY_REQUESTS, 1),
    Reason.progress_limit: RefusalResponse(HTTPStatus.TOO_MANY_REQUESTS, 1),
    Reason.cost_limit: RefusalResponse(
        HTTPStatus.TOO_MANY_REQUESTS, HOUR_SECONDS
    ),
    Reason.limits_unreachable: RefusalResponse(
        HTTPStatus.SERVICE_UNAVAILABLE, 2
    ),
    Reason.capacity: RefusalResponse(HTTPStatus.SERVICE_UNAVAILABLE, 2),
    Reason.hopeless: RefusalResponse(HTTPStatus.SERVICE_UNAVAILABLE, 1),
    Reason.no_target: RefusalResponse(HTTPStatus.SERVICE_UNAVAILABLE, 2),
    Reason.not_ready: RefusalResponse(HTTPStatus.SERVICE_UNAVAILABLE, 2),
    Reason.claims_unreachable: RefusalResponse(
        HTTPStatus.SERVICE_UNAVAILABLE, 5
    ),
    Reason.claims_full: RefusalResponse(HTTPStatus.SERVICE_UNAVAILABLE, 60),
    Reason.key_required: RefusalResponse(HTTPStatus.BAD_REQUEST),
    Reason.key_reused: RefusalResponse(HTTPStatus.UNPROCESSABLE_ENTITY),
    Reason.key_running: RefusalResponse(HTTPStatus.CONFLICT, 1),
    Reason.key_unknown: RefusalResponse(HTTPStatus.CONFLICT),
    Reason.stage_failed: RefusalResponse(HTTPStatus.BAD_GATEWAY, 1),
    Reason.deadline: RefusalResponse(HTTPStatus.GATEWAY_TIMEOUT),
    Reason.internal: RefusalResponse(HTTPStatus.INTERNAL_SERVER_ERROR),
}


def find_timeout_reason(run: ExecutionState) -> Reason:
    """Return the reason of a refusal for want of time.

    >>> find_timeout_reason(ExecutionState.not_run).value
    'deadline-unreachable'
    """
    return Reason.hopeless if run is ExecutionState.not_run else Reason.deadline


class RefusedError(GalenaError):
    """A request ends without a whole answer.

    :param reason: kind of the refusal.
    :param run: what is known of the request.
    :param detail: one sentence for the caller.
    :param retry_after: seconds after which a retry may do, the rule's own
        when not given.
    """

    def __init__(
        self,
        reason: Reason,
        run: ExecutionState = ExecutionState.not_run,
        detail: str = '',
        retry_after: float = 0,
    ) -> None:
        """Keep kind, knowledge, detail and time."""
        super().__init__(f'{reason} ({run}) {detail}'.strip())
        self.reason = reason
        self.run = run
        self.detail = detail
        self.retry_after = retry_after or float(
            self.response.retry_after_seconds
        )

    @property
    def response(self) -> RefusalResponse:
        """How this kind is answered."""
        return REFUSAL_RESPONSES[self.reason]

    def document(self, request: str) -> dict[str, Any]:
        """Return the JSON body of the refusal.

        :param request: id of the refused request.

        >>> RefusedError(Reason.capacity).document('r1')['error']['run']
        'not-run'
        """
        return {
            'error': {
                'type': self.reason.value,
                'run': self.run.value,
                'detail': self.detail,
                'retry_after': self.response.retry_after_seconds,
                'request': request,
            },
        }
