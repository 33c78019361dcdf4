"""Links of a VM to its peers: who handles messages, and who hears of links."""

from collections.abc import Iterable
from functools import partial
from typing import Any, Protocol

from galenaswitch.gateway.messages import (
    PiecesCancel,
    PiecesQuestion,
    ReleaseNote,
)
from galenaswitch.gateway.stages import StageRunner
from galenaswitch.membership.links import Link
from galenaswitch.membership.lists import MemberList, Members
from galenaswitch.membership.messages import ListQuestion

Handlers = dict[type[Any], Any]


class HandlerSource(Protocol):
    """A component that handles messages from other VMs."""

    def handlers(self) -> Handlers:
        """Return the handlers by the type of their message."""


class LinkObserver(Protocol):
    """A component that exchanges state with a peer when a link opens."""

    async def on_link_open(self, link: Link) -> None:
        """Exchange what the two ends may not know of each other."""


def collect_handlers(
    members: Members, stages: StageRunner, sources: Iterable[HandlerSource]
) -> Handlers:
    """Return the handlers of all messages from other VMs.

    :param members: lists for a VM that can't reach the store.
    :param stages: runs work items for other VMs.
    """
    handlers: Handlers = {
        ListQuestion: partial(_answer_list_query, members),
        PiecesCancel: lambda link, note: stages.receive_cancel(note),
        PiecesQuestion: stages.answer,
        ReleaseNote: lambda link, note: stages.receive_release(note),
    }
    for source in sources:
        handlers |= source.handlers()
    return handlers


async def _answer_list_query(
    members: Members, link: Link, query: ListQuestion
) -> MemberList:
    return members.member_list
