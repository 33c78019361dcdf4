"""Tasks that follow the kinds of objects of one VM.

A VM whose duty it is follows all kinds. Any other follows a kind of which no
peer tells, see :mod:`galenaswitch.following.feeds`.
"""

import asyncio
import time
from typing import Any

from galenaswitch.following.feeds import KindFeeds
from galenaswitch.operations.logs import get_logger
from galenaswitch.operations.process import TaskGroup
from galenaswitch.store.registry import Follower


class FollowTasks:
    """Followers of all kinds, and the tasks of those that follow the store.

    :ivar followers: followers by their kind.
    """

    def __init__(self, tasks: TaskGroup) -> None:
        """Build tasks of no kinds.

        :param tasks: runs the tasks.
        """
        self.followers: dict[str, Follower] = {}
        self._tasks = tasks
        self._running: dict[str, asyncio.Task[Any]] = {}
        self._feeds = KindFeeds()

    def add(self, follower: Follower, max_unfed_seconds: float | None) -> None:
        """Add a follower.

        :param max_unfed_seconds: time without a peer that tells of the kind
            after which this VM follows it for itself, ``None`` for never.
        """
        self.followers[follower.kind] = follower
        if max_unfed_seconds is not None:
            now = time.monotonic()
            self._feeds.add(follower.kind, max_unfed_seconds, now)

    def record_fed(self, kind: str) -> None:
        """Record that a peer has told what this VM knows of a kind."""
        self._feeds.record(kind, time.monotonic())

    def start(self) -> None:
        """Follow all kinds."""
        for kind in self.followers:
            self._start_kind(kind)

    def stop(self) -> None:
        """Follow no kind."""
        for kind in self.followers:
            self._stop_kind(kind)

    def restart(self) -> None:
        """Follow anew what is followed."""
        for kind in tuple(self._running):
            self._start_kind(kind)

    def record_contact(self, *, is_lost: bool) -> None:
        """Record whether others follow what this VM doesn't follow."""
        for kind, follower in self.followers.items():
            if kind not in self._running:
                follower.record_contact(is_lost=is_lost)

    def follow_unfed(self, now: float, *, is_followed: bool) -> None:
        """Follow the kinds for itself of which no peer tells.

        While no VM follows the store, the duty decides, so that an outage
        doesn't let all VMs call the store.

        :param is_followed: whether another VM follows the store.
        """
        for kind in self._feeds.kinds:
            is_unfed = is_followed and self._feeds.should_follow(kind, now)
            if is_unfed == (kind in self._running):
                continue
            get_logger().info('kind_followed', kind=kind, began=is_unfed)
            if is_unfed:
                self._start_kind(kind)
            else:
                self._stop_kind(kind)

    def _start_kind(self, kind: str) -> None:
        self._stop_kind(kind)
        self._running[kind] = self._tasks.start_lasting(
            self.followers[kind].follow
        )

    def _stop_kind(self, kind: str) -> None:
        task = self._running.pop(kind, None)
        if task:
            task.cancel()
