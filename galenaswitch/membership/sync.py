"""Membership synchronisation between the platform and the control processes.

Relays poll the platform's member list and broadcast each change as a delta. A
VM without a list polls the platform itself or queries a peer for the full list.
Leaving notices are flooded to all VMs, because every member list lags behind
the real state.
"""

from collections.abc import Callable
from typing import Any

from galenaswitch.errors import InvalidInputError, StoreError
from galenaswitch.membership.links import Link
from galenaswitch.membership.lists import (
    LeavingSign,
    MemberChange,
    MemberList,
    Members,
    apply_change,
    find_change,
    parse_members,
)
from galenaswitch.membership.mesh import Mesh, push
from galenaswitch.membership.messages import ListNotice, ListQuestion
from galenaswitch.operations.logs import get_logger
from galenaswitch.store.client import StoreClient

POLL_SECONDS = 1
REPLY_TIMEOUT_SECONDS = 2


class MembershipSync:
    """Keeps one control process's member list in sync with its sources."""

    def __init__(
        self,
        members: Members,
        store: StoreClient,
        mesh: Mesh,
        publish: Callable[[Any], None],
    ) -> None:
        """Build the synchronisation of ``members``.

        :param store: client that reads the platform's member list.
        :param mesh: links on which changes and notices are sent to peers.
        :param publish: sends a message to this VM's entry process.
        """
        self._members = members
        self._store = store
        self._mesh = mesh
        self._publish = publish

    async def poll(self) -> None:
        """Read the platform's member list if this VM has to.

        A relay always reads the list; any other VM reads it only until it has a
        first list.

        :raises StoreError: when the platform doesn't answer or its list is
            invalid.
        """
        known_revision = self._members.member_list.revision
        if known_revision and not self._mesh.is_relay():
            return
        document = await self._store.read_list('members', known_revision)
        if document is None:
            return
        try:
            member_list = parse_members(document)
        except InvalidInputError as error:
            raise StoreError(str(error)) from error
        self._apply_list(member_list, None)

    async def receive_change(self, link: Link, change: MemberChange) -> None:
        """Apply a member list delta from a peer.

        When the delta has another base than this VM's list, the peer is queried
        for its full list.

        :raises PeerError: when the peer doesn't reply.
        """
        current = self._members.member_list
        if change.base == current.revision:
            self._apply_list(apply_change(current, change), link)
            return
        await self.receive_list_notice(link, ListNotice(change.revision))

    async def receive_list_notice(self, link: Link, notice: ListNotice) -> None:
        """Query a peer for its member list if that list is newer.

        :raises PeerError: when the peer doesn't reply.
        """
        if notice.revision <= self._members.member_list.revision:
            return
        member_list = await link.request(ListQuestion(), REPLY_TIMEOUT_SECONDS)
        if isinstance(member_list, MemberList):
            self._apply_list(member_list, link)

    async def answer_list_query(
        self,
        link: Link,
        query: ListQuestion,
    ) -> MemberList:
        """Answer a peer's query with the full member list."""
        return self._members.member_list

    def on_link_open(self, link: Link) -> None:
        """Send leaving notices and the list revision on a new link."""
        for notice in self._members.leaving_notices():
            push(link, notice)
        push(link, ListNotice(self._members.member_list.revision))

    async def receive_leaving_notice(
        self, link: Link, notice: LeavingSign
    ) -> None:
        """Handle a leaving notice from a peer or this VM's entry process."""
        self.report_leaving(notice)

    def report_leaving(self, notice: LeavingSign) -> None:
        """Record a leaving notice and broadcast it if it is new.

        Each VM broadcasts to its own zone; relays broadcast to all zones.
        """
        if not self._members.record_leaving(notice):
            return
        get_logger().info('target_leaving', target=notice.target)
        self._publish(notice)
        zone = '' if self._mesh.is_relay() else self._mesh.zone
        self._mesh.broadcast(notice, zone)

    def _apply_list(
        self,
        member_list: MemberList,
        source: Link | None,
    ) -> None:
        previous = self._members.member_list
        if not self._members.accept(member_list):
            return
        change = find_change(previous, member_list)
        self._publish(change)
        if self._mesh.is_relay():
            self._mesh.broadcast(change, source=source)
