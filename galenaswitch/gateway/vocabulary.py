"""Message types that the edge processes of all VMs exchange."""

from galenaswitch.cold.messages import GrantQuery, GrantReply
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
from galenaswitch.gateway.seat_messages import (
    BrittleNote,
    BrittleQuery,
    BrittleReply,
    SeatEnd,
    SeatQuery,
    SeatReply,
    SeatsQuery,
    SeatsReply,
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
    BrittleNote,
    BrittleQuery,
    BrittleReply,
    CrashReport,
    Digest,
    EvidenceQuery,
    EvidenceReply,
    FollowerSign,
    GrantQuery,
    GrantReply,
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
    SeatEnd,
    SeatQuery,
    SeatReply,
    SeatsQuery,
    SeatsReply,
    StreamOrigin,
    TargetLimit,
    TunnelQuery,
    TunnelReply,
    TurnQuery,
    TurnReply,
    Versions,
)
