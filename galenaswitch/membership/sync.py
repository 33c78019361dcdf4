"""Learning who is there: lists from the platform, signs from processes.

Relays read the platform's list and pass on what changed; a machine that has
just started reads it itself, or asks a peer for the whole. Signs that a
target is leaving are flooded to all machines, since every list lags.
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
REPLY_SECONDS = 2


class MembershipSync:
    """Members as one control process knows them."""

    def __init__(
        self,
        members: Members,
        store: StoreClient,
        mesh: Mesh,
        publish: Callable[[Any], None],
    ) -> None:
        """Keep ``members`` and push news to this machine's entry."""
        self._members = members
        self._store = store
        self._mesh = mesh
        self._publish = publish

    async def poll(self) -> None:
        """Read the platform's list if it is this machine's duty.

        :raises StoreError: when the platform doesn't answer.
        """
        known = self._members.member_list.revision
        if known and not self._mesh.is_relay():
            return
        document = await self._store.read_list('members', known)
        if document is None:
            return
        try:
            listed = parse_members(document)
        except InvalidInputError as error:
            raise StoreError(str(error)) from error
        self._keep(listed, None)

    async def receive_change(self, link: Link, change: MemberChange) -> None:
        """Take a change of the list that a peer pushed.

        Without the list that it changes, the peer is asked for the whole.
        """
        held = self._members.member_list
        if change.base == held.revision:
            self._keep(apply_change(held, change), link)
            return
        await self.receive_list_notice(link, ListNotice(change.revision))

    async def receive_list_notice(self, link: Link, notice: ListNotice) -> None:
        """Ask a peer for its list if it is newer than the one held.

        :raises PeerError: when the peer doesn't answer.
        """
        if notice.revision <= self._members.member_list.revision:
            return
        listed = await link.request(ListQuestion(), REPLY_SECONDS)
        if isinstance(listed, MemberList):
            self._keep(listed, link)

    async def answer_list_query(
        self,
        link: Link,
        question: ListQuestion,
    ) -> MemberList:
        """Return the whole list."""
        return self._members.member_list

    def on_link_open(self, link: Link) -> None:
        """Tell a machine whose stream just opened what is known here."""
        for sign in self._members.leaving_notices():
            push(link, sign)
        push(link, ListNotice(self._members.member_list.revision))

    async def receive_leaving_notice(
        self, link: Link, sign: LeavingSign
    ) -> None:
        """Take a sign from a peer or from this machine's entry."""
        self.report_leaving(sign)

    def report_leaving(self, sign: LeavingSign) -> None:
        """Keep a sign and, when it is news, tell others at once.

        Each machine tells its zone; relays tell the other zones as well.
        """
        if not self._members.record_leaving(sign):
            return
        get_logger().info('target_leaving', target=sign.target)
        self._publish(sign)
        zone = '' if self._mesh.is_relay() else self._mesh.zone
        self._mesh.broadcast(sign, zone)

    def _keep(self, listed: MemberList, source: Link | None) -> None:
        held = self._members.member_list
        if not self._members.accept(listed):
            return
        change = find_change(held, listed)
        self._publish(change)
        if self._mesh.is_relay():
            self._mesh.broadcast(change, source=source)
