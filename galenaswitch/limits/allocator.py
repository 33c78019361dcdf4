"""Allocation of a workspace's permits within its contract.

A request needs a permit. Limits on requests per second, tokens per second,
requests in progress and cost per day decide whether it is granted.
"""

from galenaswitch.contracts.documents import Contract
from galenaswitch.limits.bucket import Bucket
from galenaswitch.limits.ledger import UsageLedger
from galenaswitch.limits.messages import PermitReply, PermitRequest
from galenaswitch.refusals import Reason


class PermitAllocator:
    """Grants permits of one workspace from token buckets and a usage ledger.

    The buckets of a new allocator are almost empty, so that permits granted by
    a former allocator aren't granted a second time.
    """

    def __init__(self, now: float, ledger: UsageLedger) -> None:
        """Build an allocator that counts the usage in ``ledger``.

        :param now: monotonic time in seconds.
        """
        self._request_bucket = Bucket(0, now)
        self._token_bucket = Bucket(0, now)
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

        :param share: share of the contract that this allocator may grant.
        :returns: at least the needed permits, or the limit that refuses
            them.
        """
        self._set_rates(contract, share, now)
        self.ledger.record_report(request.origin, request.held, now)
        refused = self._find_reached_limit(request, contract, share, now)
        if refused:
            return PermitReply(refused=refused.value)
        available = int(contract.in_progress * share) - (
            self.ledger.count_outstanding(now)
        )
        requests = int(
            min(
                request.want,
                self._request_bucket.level(now),
                max(available, 1),
            ),
        )
        level = self._token_bucket.level(now)
        tokens = max(request.need_tokens, min(request.want_tokens, level))
        self._request_bucket.acquire(requests, now)
        self._token_bucket.acquire(tokens, now)
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
        self._request_bucket.change_rate(rates[0], now)
        self._token_bucket.change_rate(rates[1], now)

    def _find_reached_limit(
        self,
        request: PermitRequest,
        contract: Contract,
        share: float,
        now: float,
    ) -> Reason | None:
        """Return the first limit that refuses the needed permits."""
        max_in_progress = max(1, int(contract.in_progress * share))
        limits = (
            (
                Reason.rate_limit,
                self._request_bucket.level(now) < request.need,
            ),
            (Reason.token_limit, self._token_bucket.level(now) <= 0),
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
        for reason, is_reached in limits:
            if is_reached:
                return reason
        return None
