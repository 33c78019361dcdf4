"""The one place that hands out a workspace's permits."""

from galenaswitch.contracts.documents import Contract
from galenaswitch.limits.bucket import Bucket
from galenaswitch.limits.ledger import UsageLedger
from galenaswitch.limits.messages import PermitReply, PermitRequest
from galenaswitch.refusals import Reason


class PermitAllocator:
    """Buckets and ledger of one workspace.

    A new master starts nearly empty, so that what a former one has handed
    out is not handed out again.
    """

    def __init__(self, now: float, ledger: UsageLedger) -> None:
        """Hand out permits from ``now`` on, beside what ``ledger`` shows."""
        self._requests = Bucket(0, now)
        self._tokens = Bucket(0, now)
        self._rates = (0.0, 0.0)
        self.ledger = ledger

    def grant(
        self,
        request: PermitRequest,
        contract: Contract,
        share: float,
        now: float,
    ) -> PermitReply:
        """Grant permits within the contract.

        :param share: part of the contract that may be handed out here.
        :returns: at least what is needed, or the limit that refuses it.
        """
        self._set_rates(contract, share, now)
        self.ledger.record_report(request.origin, request.held, now)
        refused = self._find_reached_limit(request, contract, share, now)
        if refused:
            return PermitReply(refused=refused.value)
        available = int(
            contract.in_progress * share
        ) - self.ledger.count_outstanding(now)
        requests = int(
            min(request.want, self._requests.level(now), max(available, 1)),
        )
        level = self._tokens.level(now)
        tokens = max(request.need_tokens, min(request.want_tokens, level))
        self._requests.acquire(requests, now)
        self._tokens.acquire(tokens, now)
        self.ledger.add_granted(request.origin, requests)
        return PermitReply(requests, tokens)

    def _set_rates(
        self,
        contract: Contract,
        share: float,
        now: float,
    ) -> None:
        rates = (
            contract.requests_per_second * share,
            contract.tokens_per_second * share,
        )
        if rates == self._rates:
            return
        self._rates = rates
        self._requests.change_rate(rates[0], now)
        self._tokens.change_rate(rates[1], now)

    def _find_reached_limit(
        self,
        request: PermitRequest,
        contract: Contract,
        share: float,
        now: float,
    ) -> Reason | None:
        """Return the first limit that refuses what is needed."""
        max_in_progress = max(1, int(contract.in_progress * share))
        reached = (
            (
                Reason.rate_limit,
                self._requests.level(now) < request.need,
            ),
            (Reason.token_limit, self._tokens.level(now) <= 0),
            (
                Reason.progress_limit,
                self.ledger.count_outstanding(now) + request.need
                > max_in_progress,
            ),
            (
                Reason.cost_limit,
                self.ledger.total_cost() >= contract.cost_per_day,
            ),
        )
        for reason, is_reached in reached:
            if is_reached:
                return reason
        return None
