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


class Run(StrEnum):
    """What is known of a request that was not answered."""

    not_run = 'not-run'
    partial = 'partial'
    unknown = 'unknown'


class Rule(NamedTuple):
    """How one kind of refusal is answered.

    :param status: HTTP status.
    :param retry: seconds for Retry-After, 0 when a retry won't help.
    """

    status: int
    retry: int = 0


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


RULES: dict[Reason, Rule] = {
    Reason.unauthorized: Rule(HTTPStatus.UNAUTHORIZED),
    Reason.forbidden: Rule(HTTPStatus.FORBIDDEN),
    Reason.unknown_pipeline: Rule(HTTPStatus.NOT_FOUND),
    Reason.unknown_path: Rule(HTTPStatus.NOT_FOUND),
    Reason.invalid_body: Rule(HTTPStatus.BAD_REQUEST),
    Reason.body_too_large: Rule(HTTPStatus.REQUEST_ENTITY_TOO_LARGE),
    Reason.deadline_past: Rule(HTTPStatus.BAD_REQUEST),
    Reason.rate_limit: Rule(HTTPStatus.TOO_MANY_REQUESTS, 1),
    Reason.token_limit: Rule(HTTPStatus.TOO_MANY_REQUESTS, 1),
    Reason.progress_limit: Rule(HTTPStatus.TOO_MANY_REQUESTS, 1),
    Reason.cost_limit: Rule(HTTPStatus.TOO_MANY_REQUESTS, HOUR_SECONDS),
    Reason.limits_unreachable: Rule(HTTPStatus.SERVICE_UNAVAILABLE, 2),
    Reason.capacity: Rule(HTTPStatus.SERVICE_UNAVAILABLE, 2),
    Reason.hopeless: Rule(HTTPStatus.SERVICE_UNAVAILABLE, 1),
    Reason.no_target: Rule(HTTPStatus.SERVICE_UNAVAILABLE, 2),
    Reason.not_ready: Rule(HTTPStatus.SERVICE_UNAVAILABLE, 2),
    Reason.claims_unreachable: Rule(HTTPStatus.SERVICE_UNAVAILABLE, 5),
    Reason.claims_full: Rule(HTTPStatus.SERVICE_UNAVAILABLE, 60),
    Reason.key_required: Rule(HTTPStatus.BAD_REQUEST),
    Reason.key_reused: Rule(HTTPStatus.UNPROCESSABLE_ENTITY),
    Reason.key_running: Rule(HTTPStatus.CONFLICT, 1),
    Reason.key_unknown: Rule(HTTPStatus.CONFLICT),
    Reason.stage_failed: Rule(HTTPStatus.BAD_GATEWAY, 1),
    Reason.deadline: Rule(HTTPStatus.GATEWAY_TIMEOUT),
    Reason.internal: Rule(HTTPStatus.INTERNAL_SERVER_ERROR),
}


def find_late_reason(run: Run) -> Reason:
    """Return the reason of a refusal for want of time.

    >>> find_late_reason(Run.not_run).value
    'deadline-unreachable'
    """
    return Reason.hopeless if run is Run.not_run else Reason.deadline


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
        run: Run = Run.not_run,
        detail: str = '',
        retry_after: float = 0,
    ) -> None:
        """Keep kind, knowledge, detail and time."""
        super().__init__(f'{reason} ({run}) {detail}'.strip())
        self.reason = reason
        self.run = run
        self.detail = detail
        self.retry_after = retry_after or float(self.rule.retry)

    @property
    def rule(self) -> Rule:
        """How this kind is answered."""
        return RULES[self.reason]

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
                'retry_after': self.rule.retry,
                'request': request,
            },
        }
