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
from galenaswitch.quarantine.messages import (
    CrashReport,
    EvidenceQuery,
    EvidenceReply,
    PartAnswered,
)

VOCABULARY = Vocabulary(
    ClaimReply,
    ClaimRequest,
    SettleRequest,
    CrashReport,
    Digest,
    DumpReply,
    DumpRequest,
    EvidenceQuery,
    EvidenceReply,
    Items,
    LeavingSign,
    ListNotice,
    ListQuestion,
    Loads,
    MemberChange,
    MemberList,
    NodeStatus,
    PartAnswered,
    PermitReply,
    PermitRequest,
    Ping,
    Pong,
    Snapshot,
    Subscribe,
    UsageReport,
    Versions,
)
