"""Messages between the machines about places and work items.

Times travel as seconds that are left, never as clock times.
"""

from typing import NamedTuple

from galenaswitch.gateway.calls import PromptPart, WorkItem


class HeldResults(NamedTuple):
    """Results that take room at their makers.

    :param holder: machine whose batcher had them made.
    """

    service: str
    holder: str
    handles: tuple[str, ...]


class PiecesQuestion(NamedTuple):
    """Make the results of one stage of a request.

    :param start_in: seconds until the last call that is still on time.
    :param left: seconds until the results are of no use.
    :param last_read: inputs that nobody else reads and whose makers are
        short of room: they are to be given up once the work items have read
        them. A work item that fails after that can't be made again.
    :param again: whether the work items were made before and are lost.
    :param priority: 0 is the most urgent.
    :param stages_left: stages that have to wait for targets one after the
        other until the request is done, this one included.
    :param late: whether an earlier stage found that the request can't be
        on time.
    """

    service: str
    ident: str
    pieces: tuple[WorkItem, ...]
    result_bytes: int
    zone: str
    start_in: float
    left: float
    last_read: tuple[HeldResults, ...] = ()
    again: bool = False
    priority: int = 0
    stages_left: int = 1
    late: bool = False


class PiecesReply(NamedTuple):
    """Outcome of a stage of a request.

    :param handles: the results in the order of the work items, none on failure.
    :param failure: why there are none, empty on success.
    :param retry_after: seconds after which another try is likely to do.
    :param inputs_freed: whether the inputs that nobody else reads were
        given up.
    :param late: whether the request can't be on time any more.
    :param tight: whether a maker of the results is short of room for more.
    """

    handles: tuple[str, ...]
    failure: str = ''
    retry_after: float = 0
    inputs_freed: bool = False
    late: bool = False
    tight: bool = False


class PiecesCancel(NamedTuple):
    """A request needs no more work items."""

    service: str
    ident: str


class ReleaseNote(NamedTuple):
    """Results that nobody needs any more."""

    service: str
    handles: tuple[str, ...]


class PlaceQuestion(NamedTuple):
    """Find an engine for a request.

    :param priority: 0 is the most urgent.
    :param start_in: seconds until the last start that is still on time.
    :param left: seconds until the request has to be answered.
    """

    service: str
    ident: str
    parts: tuple[PromptPart, ...]
    prompt_tokens: int
    answer_tokens: int
    zone: str
    result_bytes: dict[str, int]
    avoided: tuple[str, ...]
    priority: int
    start_in: float
    left: float


class PlaceReply(NamedTuple):
    """The engine for a request.

    :param target: name of the engine, empty when there is none.
    :param retry_after: seconds after which a place is likely.
    """

    target: str
    retry_after: float = 0


class PlaceEnd(NamedTuple):
    """A request has left its engine.

    :param failed: whether the engine failed it.
    """

    service: str
    ident: str
    target: str
    failed: bool


class PlaceFirst(NamedTuple):
    """The first event of a request has come."""

    service: str
    ident: str
