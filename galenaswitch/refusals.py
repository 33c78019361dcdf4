"""Refusals: replies to requests that get no complete answer.

Each refusal has a reason and an execution state. The execution state is
``not-run`` when no stage ran, ``partial`` when only repeatable stages ran,
and ``unknown`` when a call that must not run twice may have run.
"""

from enum import StrEnum
from http import HTTPStatus
from typing import Any, NamedTuple

from galenaswitch.errors import GalenaError

HOUR_SECONDS = 3600


class ExecutionState(StrEnum):
    """Whether stages of a refused request ran."""

    not_run = 'not-run'
    partial = 'partial'
    unknown = 'unknown'


class RefusalResponse(NamedTuple):
    """HTTP response to one kind of refusal.

    :param status: HTTP status.
    :param retry_after_seconds: value of the Retry-After header, 0 when a
        retry cannot succeed.
    """

    status: int
    retry_after_seconds: int = 0


class Reason(StrEnum):
    """Reasons of refusals; the string values are part of the callers' API."""

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
    deadline_unreachable = 'deadline-unreachable'
    no_target = 'no-target'
    not_ready = 'not-ready'
    quarantined = 'prompt-part-quarantined'
    request_quarantined = 'request-quarantined'
    origin_unknown = 'stream-origin-unknown'
    version_gone = 'stream-version-gone'
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
    Reason.deadline_unreachable: RefusalResponse(
        HTTPStatus.SERVICE_UNAVAILABLE, 1
    ),
    Reason.no_target: RefusalResponse(HTTPStatus.SERVICE_UNAVAILABLE, 2),
    Reason.not_ready: RefusalResponse(HTTPStatus.SERVICE_UNAVAILABLE, 2),
    Reason.quarantined: RefusalResponse(HTTPStatus.SERVICE_UNAVAILABLE, 60),
    Reason.request_quarantined: RefusalResponse(
        HTTPStatus.SERVICE_UNAVAILABLE, 60
    ),
    Reason.origin_unknown: RefusalResponse(HTTPStatus.SERVICE_UNAVAILABLE),
    Reason.version_gone: RefusalResponse(HTTPStatus.SERVICE_UNAVAILABLE, 1),
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
    """Return the reason of a refusal that is caused by the deadline.

    >>> find_timeout_reason(ExecutionState.not_run).value
    'deadline-unreachable'
    """
    return (
        Reason.deadline_unreachable
        if run is ExecutionState.not_run
        else Reason.deadline
    )


class RefusedError(GalenaError):
    """A request ends without a complete answer.

    :param reason: reason of the refusal.
    :param run: whether stages of the request ran.
    :param detail: one sentence for the caller.
    :param retry_after: seconds after which the caller may retry, 0 for the
        default of the reason.
    """

    def __init__(
        self,
        reason: Reason,
        run: ExecutionState = ExecutionState.not_run,
        detail: str = '',
        retry_after: float = 0,
    ) -> None:
        """Build the error from a reason and an execution state."""
        super().__init__(f'{reason} ({run}) {detail}'.strip())
        self.reason = reason
        self.run = run
        self.detail = detail
        self.retry_after = retry_after or float(
            self.response.retry_after_seconds
        )

    @property
    def response(self) -> RefusalResponse:
        """HTTP status and default Retry-After of the reason."""
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
