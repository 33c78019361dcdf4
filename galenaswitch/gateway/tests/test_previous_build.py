"""Messages that VMs of the previous build write, and read by position."""

from typing import Any, NamedTuple

import msgpack
import pytest

from galenaswitch.gateway.messages import (
    ColdTime,
    PlaceQuestion,
    TargetLimit,
    TurnQuery,
)
from galenaswitch.gateway.vocabulary import VOCABULARY
from galenaswitch.membership.frames import (
    Vocabulary,
    encode_frame,
    unpack_frame,
)
from galenaswitch.membership.lists import MemberList, Target

LIMITS = (TargetLimit('t/1', 7.3),)
PLACE = ('desk', 'p', (), 1, 2, 'z', {}, (), 0, 0.5, 1.0, LIMITS, None)


def make_previous(type_name: str, /, **fields: Any) -> Any:
    """Return a message type of the previous build."""
    return NamedTuple(type_name, list(fields.items()))


LIMIT = make_previous('TargetLimit', incarnation=str, rate=float)
PREVIOUS = Vocabulary(
    make_previous(
        'TurnQuery', service=str, limits=tuple[LIMIT, ...], max_wait=float
    ),
    make_previous(
        'PlaceQuestion',
        **{
            **dict.fromkeys(PlaceQuestion._fields[:11], Any),
            'parts': tuple[Any, ...],
            'avoided': tuple[str, ...],
        },
        limits=tuple[LIMIT, ...],
        version=str | None,
        closed=tuple[str, ...],
        request=str,
    ),
    make_previous(
        'MemberList',
        revision=int,
        machines=tuple[Any, ...],
        targets=tuple[
            make_previous(
                'Target',
                **{
                    **dict.fromkeys(Target._fields[:9], Any),
                    'models': tuple[str, ...],
                },
                version=str,
            ),
            ...,
        ],
    ),
)


def transmit(message, vocabulary):
    """Encode a message as a frame and decode it with another vocabulary."""
    frame = unpack_frame(msgpack.unpackb(encode_frame(1, 0, message)))
    return vocabulary.decode(frame)


# Guards against a link that a VM of the previous build closes, since a nested
# type has more fields than it knows.
@pytest.mark.parametrize(
    'message',
    [
        TurnQuery('desk', LIMITS, 0.5, (ColdTime('t/1', 2.0),)),
        PlaceQuestion(*PLACE, ('t/2',), 'r', (ColdTime('t/1', 2.0),)),
        MemberList(1, (), (Target('t', 't/1', 'z', 'desk', 'a:1'),)),
    ],
)
def test_previous_build_reads_new_messages_by_position(message):
    decoded = transmit(message, PREVIOUS)
    known = decoded._fields
    assert message._fields[: len(known)] == known
    assert tuple(decoded) == tuple(message)[: len(known)]


def test_messages_of_the_previous_build_get_defaults():
    types = PREVIOUS._types
    query = types['TurnQuery']('desk', LIMITS, 0.5)
    assert transmit(query, VOCABULARY) == TurnQuery('desk', LIMITS, 0.5)
    place = types['PlaceQuestion'](*PLACE, (), 'r')
    assert transmit(place, VOCABULARY) == PlaceQuestion(*PLACE, (), 'r')
