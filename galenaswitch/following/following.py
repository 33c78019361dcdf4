"""Follows the store where that is this VM's duty, and tells all others.

A VM that follows the store lists and watches each kind of object and sends
signs of life, which name the revision and the digest of each kind. One that
hears no such VM follows the store itself.
"""

import asyncio
import time
from typing import Any, Protocol

from galenaswitch.following.copies import FollowedStore, SharedCopies
from galenaswitch.following.duty import (
    START_SECONDS,
    FollowingDuty,
    rank_followers,
)
from galenaswitch.following.messages import FollowerSign
from galenaswitch.following.probe import StoreProbe
from galenaswitch.following.tasks import FollowTasks
from galenaswitch.membership.links import Link
from galenaswitch.membership.lists import Members
from galenaswitch.membership.mesh import Mesh
from galenaswitch.operations.logs import describe_error, get_logger
from galenaswitch.operations.process import TaskGroup
from galenaswitch.store.registry import Follower

SIGN_SECONDS = 0.4
TICK_SECONDS = 0.2


class ConfigurationExchange(Protocol):
    """Exchange of configurations with a peer."""

    @property
    def digest(self) -> str:
        """Hash of the configuration of this process."""

    async def on_link_open(self, link: Link) -> None:
        """Sync configurations with the peer of a link; log a failure."""


class Following:
    """Keeps the caches of this VM up to date from the store or from peers.

    :ivar is_leaving: whether this process is about to stop.
    :ivar configurations: named in signs of life, and compared there.
    """

    def __init__(
        self,
        store: FollowedStore,
        mesh: Mesh,
        members: Members,
        tasks: TaskGroup,
        incarnation: str,
        start_seconds: float = START_SECONDS,
    ) -> None:
        """Build a following of no kinds.

        :param members: list of VMs, which share the duty to follow.
        :param incarnation: id of this process.
        :param start_seconds: time for which a new process waits for others
            that follow the store.
        """
        self.is_leaving = False
        self._store = store
        self._mesh = mesh
        self._members = members
        self._tasks = tasks
        self._incarnation = incarnation
        self._duty = FollowingDuty(mesh.node, time.monotonic(), start_seconds)
        self._following = FollowTasks(tasks)
        self._followers = self._following.followers
        self._copies = SharedCopies(store, mesh)
        self._copies.on_fed = self._following.record_fed
        self._sequence = 0
        self._signed_at = 0.0
        self._probe = StoreProbe(store, tasks, self._handle_probe)
        self._sequences: dict[str, tuple[str, int]] = {}
        self.configurations: ConfigurationExchange | None = None
        self._suspected_configuration = ''
        self._ranked: tuple[int, tuple[str, ...]] = (-1, (mesh.node,))

    @property
    def is_active(self) -> bool:
        """Whether this VM follows the store."""
        return self._duty.is_active

    @property
    def hears_follower(self) -> bool:
        """Whether another VM follows the store in place of this one."""
        live = self._duty.find_live(time.monotonic())
        return bool(live) and not self.is_active

    @property
    def is_current(self) -> bool:
        """Whether the store answers all calls of this VM that follows it."""
        return (
            self.is_active
            and self._probe.is_answered
            and all(one.is_current for one in self._followers.values())
        )

    def add(
        self,
        follower: Follower,
        *,
        is_shared: bool = True,
        max_unfed_seconds: float | None = None,
    ) -> None:
        """Keep the cache of a follower up to date.

        :param is_shared: whether VMs pass the objects on by this mechanism.
        :param max_unfed_seconds: time without a peer that tells of the kind
            after which this VM follows it for itself, as VMs of an earlier
            build don't pass it on; ``None`` for a kind that all pass on.
        """
        self._following.add(follower, max_unfed_seconds)
        if is_shared:
            self._copies.add(follower)

    def start(self) -> None:
        """Start the background tasks."""
        for follower in self._followers.values():
            self._tasks.start_lasting(follower.load)
        self._tasks.start_lasting(self._run)

    def restart(self) -> None:
        """Follow the store anew, after a suspension of the VM."""
        if self.is_active:
            self._end()
            self._begin()
        else:
            self._following.restart()

    def leave(self) -> None:
        """Tell the others that this process is about to stop."""
        self.is_leaving = True
        if self.is_active:
            self._send_sign()

    def handlers(self) -> dict[type[Any], Any]:
        """Return the handlers of the messages from other VMs."""
        return {FollowerSign: self._receive_sign, **self._copies.handlers()}

    async def on_link_open(self, link: Link) -> None:
        """Query a peer for the kinds of which this VM knows nothing yet."""
        await self._copies.query_missing(link)

    async def _run(self) -> None:
        while True:
            try:
                self._tick(time.monotonic())
            except Exception as error:
                get_logger().error('following_failed', **describe_error(error))
            await asyncio.sleep(TICK_SECONDS)

    def _tick(self, now: float) -> None:
        for follower in self._followers.values():
            follower.drop_expired()
        if not self.is_active:
            is_followed = bool(self._duty.find_live(now))
            self._following.record_contact(is_lost=not is_followed)
            self._following.follow_unfed(now, is_followed=is_followed)
        ranked = self._rank()
        if self._duty.should_end(now, ranked, is_current=self.is_current):
            self._end()
        reachable = set(self._mesh.reachable())
        reached = [node for node in ranked if node in reachable]
        begins = self._duty.should_begin(now, ranked, reached)
        if begins or self.is_active:
            self._probe.start_if_due(now)
        if self.is_active and now - self._signed_at >= SIGN_SECONDS:
            self._send_sign()

    def _rank(self) -> tuple[str, ...]:
        """Return the listed VMs in the order in which they follow."""
        revision, ranked = self._ranked
        if revision != self._members.member_list.revision:
            revision = self._members.member_list.revision
            ranked = rank_followers(self._members.machines())
            if self._mesh.node not in ranked:
                ranked = (*ranked, self._mesh.node)
            self._ranked = (revision, ranked)
        return ranked

    def _handle_probe(self, was_answered: bool) -> None:
        """Begin to follow, follow anew or tell others, after a probe.

        :param was_answered: whether the store answered the probe before.
        """
        is_answered = self._probe.is_answered
        if is_answered and not self.is_active:
            self._begin()
        elif is_answered and not was_answered:
            self.restart()
        elif was_answered and not is_answered and self.is_active:
            self._send_sign()

    def _begin(self) -> None:
        self._duty.is_active = True
        get_logger().info(
            'following_began', heard=self._duty.find_live(time.monotonic())
        )
        self._following.start()

    def _end(self) -> None:
        self._duty.is_active = False
        get_logger().info(
            'following_ended', heard=self._duty.find_live(time.monotonic())
        )
        self._following.stop()

    def _send_sign(self) -> None:
        self._signed_at = time.monotonic()
        self._sequence += 1
        sign = FollowerSign(
            self._mesh.node,
            self._incarnation,
            self._sequence,
            self.is_current,
            self.is_leaving,
            self._copies.describe(),
            self.configurations.digest if self.configurations else '',
        )
        self._mesh.spread(sign, None)

    async def _receive_sign(self, link: Link, sign: FollowerSign) -> None:
        """Record a sign of life, and query its sender for what it shows.

        A sign may come on several ways; only the first one counts.
        """
        known = self._sequences.get(sign.node, ('', 0))
        is_repeated = known[0] == sign.incarnation and known[1] >= sign.sequence
        if is_repeated or sign.node == self._mesh.node:
            return
        self._sequences[sign.node] = (sign.incarnation, sign.sequence)
        self._mesh.spread(sign, link)
        self._duty.observe(
            sign.node,
            time.monotonic(),
            counts=sign.is_current and not sign.is_leaving,
        )
        if sign.is_current:
            await self._copies.compare(link, sign)
            await self._compare_configuration(link, sign.configuration)

    async def _compare_configuration(self, link: Link, digest: str) -> None:
        """Exchange configurations with a peer if two signs name another one."""
        exchange = self.configurations
        if exchange is None or digest in {'', exchange.digest}:
            return
        is_suspected = digest == self._suspected_configuration
        self._suspected_configuration = '' if is_suspected else digest
        if is_suspected:
            await exchange.on_link_open(link)
