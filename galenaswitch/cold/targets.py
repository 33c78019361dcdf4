"""Cold targets of this VM: their periods, limits, and who grants turns."""

import time
from collections.abc import Callable, Sequence
from typing import Any

from galenaswitch.cold.owner import GrantOwner
from galenaswitch.cold.times import ColdTimes
from galenaswitch.gateway.owners import OwnerRouter
from galenaswitch.gateway.routes import EMPTY_TABLE, RouteTable
from galenaswitch.limits.pacing import Pacer
from galenaswitch.membership.lists import Members, Target
from galenaswitch.membership.mesh import Mesh
from galenaswitch.operations.logs import get_logger
from galenaswitch.operations.metrics import Metrics
from galenaswitch.operations.process import TaskGroup

# Seconds after which a turn at a cold target is no longer used. A VM that was
# frozen would send at once what was to go out one after another.
TURN_SECONDS = 0.8


class ColdTargets:
    """Targets that are cold, as this VM knows them.

    :ivar times: cold periods of targets.
    :ivar pacer: turns at targets with a limit, cold or named.
    :ivar find_table: returns the services of the configuration in force.
    """

    def __init__(
        self,
        members: Members,
        mesh: Mesh,
        owner_router: OwnerRouter,
        metrics: Metrics,
        tasks: TaskGroup,
    ) -> None:
        """Build a record in which no target is cold."""
        self.times = ColdTimes()
        self.find_table: Callable[[], RouteTable] = lambda: EMPTY_TABLE
        self._grants = GrantOwner(members, mesh, owner_router)
        self.pacer = Pacer(self.times, self._grants, self._find_cold_rate)
        self._members = members
        self._metrics = metrics
        self._tasks = tasks

    def handlers(self) -> dict[type[Any], Any]:
        """Return the handlers of the messages from other VMs."""
        return self._grants.handlers()

    def start(self) -> None:
        """Start to borrow the rates of cold targets from all VMs."""
        self._tasks.start_lasting(
            lambda: self._grants.renew(self._tasks, self._list_cold_services)
        )

    def is_cold(self, target: Target) -> bool:
        """Tell whether a target has a limit since it is cold."""
        self.pacer.refresh(time.monotonic())
        return self.pacer.is_cold(target.incarnation)

    def prefer_warm(self, targets: Sequence[Target]) -> Sequence[Target]:
        """Return the targets that aren't cold, or all if all are cold."""
        return [one for one in targets if not self.is_cold(one)] or targets

    def is_turn_over(self, target: Target, since: float) -> bool:
        """Tell whether a turn is too old to be used at a cold target.

        :param since: monotonic time of the turn in seconds.
        """
        age = time.monotonic() - since
        if age <= TURN_SECONDS or not self.is_cold(target):
            return False
        get_logger().info('turn_passed', target=target.name, age=round(age, 3))
        self._metrics.count('turn_passed')
        return True

    def select(self, targets: Sequence[Target]) -> tuple[Target, ...]:
        """Return the targets that are warm or have a turn now."""
        now = time.monotonic()
        return tuple(
            target
            for target in targets
            if not self.is_cold(target)
            or not self.pacer.find_wait(target.incarnation, now)
        )

    def observe_entry(
        self, target: Target, version: int, seconds: float
    ) -> None:
        """Apply for how long an entry of the store says a target stays cold."""
        is_news = self.times.observe_entry(
            target.incarnation, target.pool, version, seconds, time.monotonic()
        )
        if is_news and self._find_cold_rate(target.pool):
            self._log_cold(target, seconds, 'entry')

    def suspect(self, target: Target) -> None:
        """Treat a target as cold, as it may have started again."""
        limits = self.find_table().find_cold_limits(target.pool)
        seconds = limits.start_seconds if limits else 0
        now = time.monotonic()
        incarnation = target.incarnation
        if self.times.suspect(incarnation, target.pool, seconds, now):
            self._log_cold(target, seconds, 'suspected')

    def suspect_zone(self, zone: str) -> None:
        """Treat the targets of a zone as cold, as they got nothing before."""
        for target in self._members.member_list.targets:
            if target.zone == zone:
                self.suspect(target)

    def observe_cold(self, target: Target, seconds: float) -> None:
        """Apply for how long an answer says that its target stays cold."""
        now = time.monotonic()
        incarnation = target.incarnation
        if self.times.observe(incarnation, target.pool, seconds, now):
            self._log_cold(target, seconds, 'answer')

    def find_left(self, target: Target) -> float:
        """Return for how many seconds a target is cold, 0 if it is warm."""
        now = time.monotonic()
        period = self.times.find(target.incarnation, now)
        return period.ends_at - now if period else 0

    def _find_cold_rate(self, service: str) -> float:
        limits = self.find_table().find_cold_limits(service)
        return limits.rate if limits else 0

    def _list_cold_services(self) -> list[str]:
        services = self.find_table().services.values()
        return [service.name for service in services if service.cold]

    def _log_cold(self, target: Target, seconds: float, source: str) -> None:
        get_logger().info(
            'target_cold',
            target=target.name,
            incarnation=target.incarnation,
            seconds=round(seconds, 3),
            source=source,
        )
        self._metrics.count('target_cold')
