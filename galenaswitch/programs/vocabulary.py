"""Message types that entry, control and admin processes exchange."""

from galenaswitch.claims.messages import (
    ClaimReply,
    ClaimRequest,
    SettleRequest,
)
from galenaswitch.configuration.messages import (
    Digest,
    Items,
    NodeStatus,
    Versions,
)
from galenaswitch.limits.messages import (
    PermitReply,
    PermitRequest,
    UsageReport,
)
from galenaswitch.membership.frames import Vocabulary
from galenaswitch.membership.lists import (
    LeavingSign,
    MemberChange,
    MemberList,
)
from galenaswitch.membership.mesh import Ping, Pong
from galenaswitch.membership.messages import (
    ListNotice,
    ListQuestion,
    Loads,
    Snapshot,
    Subscribe,
)
from galenaswitch.operations.dump import DumpReply, DumpRequest

VOCABULARY = Vocabulary(
    ClaimReply,
    ClaimRequest,
    SettleRequest,
    Digest,
    DumpReply,
    DumpRequest,
    Items,
    LeavingSign,
    ListNotice,
    ListQuestion,
    Loads,
    MemberChange,
    MemberList,
    NodeStatus,
    PermitReply,
    PermitRequest,
    Ping,
    Pong,
    Snapshot,
    Subscribe,
    UsageReport,
    Versions,
)
