"""Member lists, links between processes, and load reports of targets."""

from galenaswitch.membership.handshake import Identity
from galenaswitch.membership.links import Link, LinkService, dial, listen
from galenaswitch.membership.lists import (
    LeavingSign,
    Machine,
    MemberList,
    Members,
    Target,
    parse_members,
)
from galenaswitch.membership.ranking import pick_nodes, rank_nodes

__all__ = (
    'Identity',
    'LeavingSign',
    'Link',
    'LinkService',
    'Machine',
    'MemberList',
    'Members',
    'Target',
    'dial',
    'listen',
    'parse_members',
    'pick_nodes',
    'rank_nodes',
)
