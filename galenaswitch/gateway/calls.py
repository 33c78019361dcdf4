"""One caller's request, whatever its wire format."""

from typing import NamedTuple, Protocol

from galenaswitch.connections.heads import AnswerHead, RequestHead
from galenaswitch.gateway.routes import Route
from galenaswitch.membership.lists import Target


class PromptPart(NamedTuple):
    """A part of a prompt that requests may share.

    :param ident: equal parts have equal ids.
    :param tokens: its length.
    """

    ident: str
    tokens: int


class RequestFields(NamedTuple):
    """What a request's head says.

    :param ident: id of the caller's attempt, empty when it sent none.
    :param path: path without the query.
    :param api_key: the caller's API key, empty when it sent none.
    :param timeout: seconds that the caller waits, ``None`` when not told.
    :param prompt_tokens: tokens of the prompt.
    :param answer_tokens: expected tokens of the answer.
    :param prompt_parts: parts of the prompt in order.
    :param work_items: work items of each stage.
    :param work_item_key: names the input of work items without earlier stages.
    :param last_event: event after which the caller resumes a stream.
    """

    ident: str
    host: str
    path: str
    api_key: str
    timeout: float | None
    prompt_tokens: int = 0
    answer_tokens: int = 0
    prompt_parts: tuple[PromptPart, ...] = ()
    work_items: tuple[int, ...] = ()
    work_item_key: str = ''
    last_event: str = ''


class CallerRequest(NamedTuple):
    """A request that passed its checks.

    :param head: head as the caller sent it.
    :param workspace: customer whose key it bears, empty without a key.
    :param received_at: monotonic time of its first byte in seconds.
    :param deadline: monotonic time at which it has to be answered.
    :param objective_deadline: monotonic time at which it should be answered.
    :param first_byte_deadline: monotonic time after which its caller has
        left unless an answer has begun.
    """

    fields: RequestFields
    head: RequestHead
    body: bytes
    route: Route
    service: str
    workspace: str
    priority: int
    received_at: float
    deadline: float
    objective_deadline: float
    first_byte_deadline: float

    @property
    def ident(self) -> str:
        """Id of the caller's attempt."""
        return self.fields.ident


class Load(NamedTuple):
    """Load that a target told with an answer."""

    running: int
    waiting: int
    slots: int


class AnswerFields(NamedTuple):
    """What the head of a target's answer says.

    :param echoes_attempt_id: whether it names the request that was sent.
    :param genuine: whether the target itself made it, body as sent.
    :param not_run: the target says that it did not run the request.
    :param misdirected: another target has the address.
    :param inputs_lost: results of stages that it was to read are gone.
    :param load: its load, ``None`` when not told.
    """

    status: int
    echoes_attempt_id: bool
    genuine: bool
    not_run: bool
    misdirected: bool
    inputs_lost: bool
    load: Load | None


class WorkItem(NamedTuple):
    """One work item of a stage of a request.

    :param ident: id of the caller's attempt.
    :param stage: number of the stage.
    :param number: number of the work item in its stage.
    :param key: input of a stage without earlier stages.
    :param inputs: results of all earlier stages' work items, else empty.
    """

    ident: str
    stage: int
    number: int
    key: str
    inputs: tuple[str, ...]


class WorkItemResult(NamedTuple):
    """Outcome of one work item.

    :param handle: where the result lies, empty on failure.
    :param failure: why there is none, empty on success.
    """

    handle: str
    failure: str


class Wire(Protocol):
    """Names and formats of one platform; decides nothing."""

    def read_request(self, head: RequestHead) -> RequestFields:
        """Decode a request's head."""

    def make_request(
        self,
        request: CallerRequest,
        target: Target,
        seconds: float,
        inputs: tuple[str, ...],
        last_event: str,
    ) -> RequestHead:
        """Encode the head for a target, with the time left in seconds."""

    def read_answer(
        self, request: CallerRequest, head: AnswerHead
    ) -> AnswerFields:
        """Decode the head of a target's answer."""

    def make_batch(
        self,
        work_items: tuple[WorkItem, ...],
        seconds: tuple[float, ...],
        target: Target,
    ) -> tuple[RequestHead, bytes]:
        """Encode a call for work items, with the time left of each."""

    def read_load(self, head: AnswerHead) -> Load | None:
        """Decode the load that an answer tells."""

    def is_not_run(self, head: AnswerHead) -> bool:
        """Tell whether a target says that it has not run a call."""

    def read_batch(self, body: bytes) -> tuple[WorkItemResult, ...]:
        """Decode the outcomes of a call for work items.

        :raises InvalidInputError: when the body is no such answer.
        """

    def make_free_bytes_query(self, target: Target) -> RequestHead:
        """Encode the question how much room a target has left."""

    def read_free_bytes(self, body: bytes) -> float:
        """Decode the bytes of room that a target has left.

        :raises InvalidInputError: when the body doesn't tell it.
        """

    def make_release(
        self,
        handles: tuple[str, ...],
        target: Target,
    ) -> tuple[RequestHead, bytes]:
        """Encode a call that gives results up."""

    def make_refusal(
        self,
        ident: str,
        status: int,
        retry_after: float,
    ) -> AnswerHead:
        """Encode the head of an answer of our own.

        :param retry_after: seconds, 0 for none.
        """

    def find_producer(self, handle: str) -> str:
        """Return the address of the target that holds a result."""
