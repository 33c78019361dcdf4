"""Claims as an entry uses them, through the control beside it."""

import asyncio
import contextlib
import json
import secrets
from hashlib import sha256
from typing import Any, NamedTuple

from galenaswitch.claims.messages import (
    ClaimReply,
    ClaimRequest,
    ClaimState,
    Settlement,
    SettleRequest,
)
from galenaswitch.errors import PeerError
from galenaswitch.membership.control_client import ControlClient
from galenaswitch.operations.logs import get_logger
from galenaswitch.operations.process import TaskGroup
from galenaswitch.pipelines.requests import PipelineRequest
from galenaswitch.refusals import Reason, RefusedError, Run

CLAIM_SECONDS = 4
SETTLE_SECONDS = 3
SETTLE_WAIT_SECONDS = 0.2
RETRY_SECONDS = 0.5
SETTLE_TRIES = 240
ATTEMPT_BYTES = 8


class Claim(NamedTuple):
    """A granted claim, allowing one attempt."""

    workspace: str
    key: str
    body_hash: str
    attempt: str


class FirstOutcome(NamedTuple):
    """The outcome that the key had before."""

    output: dict[str, Any]


REFUSALS = {
    ClaimState.running: (Reason.key_running, Run.unknown),
    ClaimState.unknown: (Reason.key_unknown, Run.unknown),
    ClaimState.reused: (Reason.key_reused, Run.not_run),
    ClaimState.full: (Reason.claims_full, Run.not_run),
}


class Claims:
    """Claims of one entry."""

    def __init__(self, asker: ControlClient, tasks: TaskGroup) -> None:
        """Ask through ``asker``; settle in tasks that outlive requests."""
        self._asker = asker
        self._tasks = tasks
        self.unsettled = 0

    async def claim(
        self,
        request: PipelineRequest,
        key: str,
    ) -> Claim | FirstOutcome:
        """Claim a key for one attempt of a request.

        :returns: the claim, or the outcome that the key had before.
        :raises RefusedError: when no attempt may be made; this request was
            not run then, and ``run`` tells what is known of the first one.
        """
        loop = asyncio.get_running_loop()
        left = request.deadline - loop.time()
        wanted = Claim(
            request.contract.workspace,
            key,
            hash_request(request),
            secrets.token_hex(ATTEMPT_BYTES),
        )
        question = ClaimRequest(*wanted, left=left + 1)
        reply = await self._ask(wanted, question, min(left, CLAIM_SECONDS))
        if reply.state is ClaimState.granted:
            return wanted
        if reply.state is ClaimState.done:
            return FirstOutcome(reply.outcome)
        refusal = REFUSALS.get(reply.state)
        if refusal:
            raise RefusedError(*refusal)
        self.settle(wanted, Settlement.released)
        raise RefusedError(Reason.claims_unreachable)

    def settle(
        self,
        claim: Claim,
        settlement: Settlement,
        outcome: dict[str, Any] | None = None,
    ) -> asyncio.Event:
        """Tell the owner how the attempt ended, trying until it is stored.

        :returns: set once the owner has noted it, so that a retry sees it.
        """
        request = SettleRequest(*claim, settlement, outcome or {})
        noted = asyncio.Event()
        self._tasks.start(self._settle(request, noted))
        return noted

    async def _ask(
        self,
        wanted: Claim,
        question: ClaimRequest,
        seconds: float,
    ) -> ClaimReply:
        """Ask once; without an answer the attempt is never made."""
        try:
            reply = await self._asker.request(question, max(seconds, 0))
        except PeerError as error:
            get_logger().warning('claim_unanswered', reason=str(error))
            return ClaimReply(ClaimState.unavailable)
        except asyncio.CancelledError:
            self.settle(wanted, Settlement.released)
            raise
        if isinstance(reply, ClaimReply):
            return reply
        return ClaimReply(ClaimState.unavailable)

    async def _settle(
        self,
        request: SettleRequest,
        noted: asyncio.Event,
    ) -> None:
        self.unsettled += 1
        try:
            await self._settle_once(request._replace(wait=False))
            noted.set()
            for _ in range(SETTLE_TRIES):
                if await self._settle_once(request):
                    return
                await asyncio.sleep(RETRY_SECONDS)
        finally:
            self.unsettled -= 1
        get_logger().error('claim_not_settled', key=request.key)

    async def _settle_once(self, request: SettleRequest) -> bool:
        try:
            reply = await self._asker.request(request, SETTLE_SECONDS)
        except PeerError as error:
            get_logger().info('settle_failed', reason=str(error))
            return False
        return getattr(reply, 'state', None) is ClaimState.done


async def wait_until_recorded(noted: asyncio.Event) -> None:
    """Wait a short time for the owner to know the outcome."""
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(SETTLE_WAIT_SECONDS):
            await noted.wait()


def hash_request(request: PipelineRequest) -> str:
    """Return a hash over all that makes two requests the same."""
    parts = (request.pipeline.name, request.prompt, request.fields)
    text = json.dumps(parts, sort_keys=True)
    return sha256(text.encode()).hexdigest()
