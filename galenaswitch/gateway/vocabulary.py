"""Message types that the edge processes of all VMs exchange."""

from galenaswitch.configuration.messages import Digest, Items, Versions
from galenaswitch.following.messages import (
    FollowerSign,
    ListingQuery,
    ListingReply,
    ObjectChanges,
    ObjectListing,
)
from galenaswitch.gateway.messages import (
    LimitsQuery,
    LimitsReply,
    PiecesCancel,
    PiecesQuestion,
    PiecesReply,
    PlaceEnd,
    PlaceFirst,
    PlaceQuestion,
    PlaceReply,
    ReleaseNote,
    TargetLimit,
    TurnQuery,
    TurnReply,
)
from galenaswitch.gateway.origin_messages import (
    OriginQuery,
    OriginReply,
    StreamOrigin,
)
from galenaswitch.gateway.version_messages import (
    KnownVersionsQuery,
    KnownVersionsReply,
)
from galenaswitch.membership.frames import Vocabulary
from galenaswitch.membership.lists import LeavingSign, MemberList
from galenaswitch.membership.mesh import Leaving, Ping, Pong
from galenaswitch.membership.messages import ListQuestion
from galenaswitch.paths.messages import (
    PathNote,
    PauseNote,
    TunnelQuery,
    TunnelReply,
)
from galenaswitch.quarantine.messages import (
    CrashReport,
    EvidenceQuery,
    EvidenceReply,
    PartAnswered,
)

VOCABULARY = Vocabulary(
    CrashReport,
    Digest,
    EvidenceQuery,
    EvidenceReply,
    FollowerSign,
    Items,
    KnownVersionsQuery,
    KnownVersionsReply,
    Leaving,
    LeavingSign,
    LimitsQuery,
    LimitsReply,
    ListQuestion,
    ListingQuery,
    ListingReply,
    MemberList,
    ObjectChanges,
    ObjectListing,
    OriginQuery,
    OriginReply,
    PartAnswered,
    PathNote,
    PauseNote,
    PiecesCancel,
    PiecesQuestion,
    PiecesReply,
    Ping,
    PlaceEnd,
    PlaceFirst,
    PlaceQuestion,
    PlaceReply,
    Pong,
    ReleaseNote,
    StreamOrigin,
    TargetLimit,
    TunnelQuery,
    TunnelReply,
    TurnQuery,
    TurnReply,
    Versions,
)
