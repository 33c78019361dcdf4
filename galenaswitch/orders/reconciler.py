"""Reconciliation of the models that engines have loaded.

One control process in a zone holds the lease. In each cycle it reads the
loaded models of every engine and sends a load command where they differ from
the desired models. A load command contains the complete desired state, so a
duplicate or late command can only cause an unneeded load, which the next
cycle corrects. A stage call names its model and version, so a wrong model
never answers a caller.
"""

import asyncio
import time
from collections.abc import Callable, Mapping
from typing import Any

import aiohttp

from galenaswitch.errors import GalenaError, TargetBrokenError
from galenaswitch.membership.lists import Members, Target
from galenaswitch.membership.mesh import Mesh
from galenaswitch.operations.logs import get_logger
from galenaswitch.operations.timeouts import Timeout
from galenaswitch.orders.lease import Lease

CYCLE_SECONDS = 1
READ_TIMEOUT_SECONDS = 2
LOAD_TIMEOUT_SECONDS = 120
MAX_CONCURRENT_LOADS = 1
# Seconds after a takeover of the lease in which a load command of the former
# holder may still arrive at an engine.
MAX_COMMAND_DELAY_SECONDS = 3


class OldNumberError(GalenaError):
    """An engine refused a command that has an old fencing token."""


class ModelReconciler:
    """Loads the desired models on the engines of one zone.

    Only the control process that holds the lease sends load commands.
    """

    def __init__(
        self,
        session: aiohttp.ClientSession,
        mesh: Mesh,
        members: Members,
        lease: Lease,
        desired_models: Callable[[], Mapping[str, frozenset[str]]],
    ) -> None:
        """Build a reconciler that has sent no load command.

        :param desired_models: returns the desired models of each pool.
        """
        self._session = session
        self._mesh = mesh
        self._members = members
        self._lease = lease
        self._desired_models = desired_models
        self._load_slots = asyncio.Semaphore(MAX_CONCURRENT_LOADS)
        self._held_since = 0.0
        self._fencing_token = 0

    async def run_cycle(self) -> None:
        """Maintain the lease and reconcile each engine once.

        :raises StoreError: when the store doesn't answer.
        """
        if not self._mesh.is_relay():
            return
        await self._lease.maintain()
        if not self._lease.held:
            return
        if self._lease.fencing_token != self._fencing_token:
            self._fencing_token = self._lease.fencing_token
            self._held_since = time.monotonic()
        await asyncio.gather(
            *(self._reconcile(target) for target in self._list_engines()),
        )

    def dump(self) -> dict[str, Any]:
        """Return the state of the lease."""
        return {'held': self._lease.held, 'number': self._lease.fencing_token}

    def _list_engines(self) -> list[Target]:
        desired = self._desired_models()
        return [
            target
            for target in self._members.member_list.targets
            if target.zone == self._mesh.zone
            and target.pool in desired
            and not self._members.is_leaving(target)
        ]

    async def _reconcile(self, target: Target) -> None:
        """Send a load command if an engine has other models loaded."""
        models = sorted(self._desired_models()[target.pool])
        try:
            loaded = await self._call_engine(target, None)
            if sorted(loaded) == models or not self._may_send_command(target):
                return
            async with self._load_slots:
                await self._load_models(target, models)
        except GalenaError as error:
            get_logger().warning(
                'order_failed',
                target=target.name,
                reason=str(error),
            )

    def _may_send_command(self, target: Target) -> bool:
        """Tell whether commands of a former holder can do no harm.

        An engine without fencing obeys a late command of a former holder, so
        the current holder waits until such commands have arrived.
        """
        if target.checks_fencing:
            return True
        return time.monotonic() - self._held_since > MAX_COMMAND_DELAY_SECONDS

    async def _load_models(self, target: Target, models: list[str]) -> None:
        if not self._lease.held:
            return
        command = {'fence': self._lease.fencing_token, 'models': models}
        await self._call_engine(target, command)
        get_logger().info(
            'models_ordered',
            target=target.name,
            number=self._lease.fencing_token,
            models=','.join(models),
        )

    async def _call_engine(
        self,
        target: Target,
        command: dict[str, Any] | None,
    ) -> list[str]:
        """Return the loaded models of an engine.

        :param command: load command to send first, ``None`` to read only.
        """
        method = 'POST' if command else 'GET'
        seconds = LOAD_TIMEOUT_SECONDS if command else READ_TIMEOUT_SECONDS
        try:
            async with (
                Timeout(seconds),
                self._session.request(
                    method,
                    f'{target.url}/orders',
                    json=command,
                ) as answer,
            ):
                document = await answer.json()
        except (aiohttp.ClientError, OSError, TimeoutError) as error:
            raise TargetBrokenError(f'{target.name} did not answer') from error
        if 'models' not in document:
            raise OldNumberError(f'{target.name} has a higher fencing token')
        models: list[str] = document['models']
        return models
