"""Requests of callers and calls to targets, independent of the wire format.

A ``Wire`` translates between these types and the HTTP messages of a platform.
"""

from typing import NamedTuple, Protocol

from galenaswitch.connections.heads import AnswerHead, RequestHead
from galenaswitch.gateway.routes import Route
from galenaswitch.membership.lists import Target


class PromptPart(NamedTuple):
    """Part of a prompt that several requests may share.

    :param ident: id of the part, the same for equal parts.
    :param tokens: length of the part in tokens.
    """

    ident: str
    tokens: int


class RequestFields(NamedTuple):
    """Fields in the head of a caller's request.

    :param ident: id of the caller's attempt, empty when not sent.
    :param path: path without the query string.
    :param key: the caller's API key, empty when not sent.
    :param timeout: seconds that the caller waits, ``None`` when not sent.
    :param prompt_tokens: length of the prompt in tokens.
    :param answer_tokens: expected length of the answer in tokens.
    :param prompt_parts: parts of the prompt in order.
    :param work_items: number of work items of each stage.
    :param work_item_key: key of the input of stages without earlier stages.
    :param last_event: id of the event after which the caller resumes a
        stream, empty for a new stream.
    :param origin: id of the caller's attempt that brought the first event of
        the stream that is resumed, empty when not sent.
    """

    ident: str
    host: str
    path: str
    key: str
    timeout: float | None
    prompt_tokens: int = 0
    answer_tokens: int = 0
    prompt_parts: tuple[PromptPart, ...] = ()
    work_items: tuple[int, ...] = ()
    work_item_key: str = ''
    last_event: str = ''
    origin: str = ''

    @property
    def shared_parts(self) -> tuple[str, ...]:
        """Ids of the prompt parts that other requests may share.

        The last part belongs to the request itself or to its session.
        """
        return tuple(part.ident for part in self.prompt_parts[:-1])


class CallerRequest(NamedTuple):
    """Request of a caller that passed its checks.

    :param head: head of the request as the caller sent it.
    :param service: service that answers the request.
    :param workspace: workspace of the API key, empty without a key.
    :param priority: priority of the request, 0 for the most urgent.
    :param started: monotonic time in seconds of the first byte received.
    :param deadline: monotonic time by which the answer has to be complete.
    :param objective_deadline: monotonic time by which the latency objective
        is met.
    :param first_byte_deadline: monotonic time at which the caller
        disconnects unless the answer has started.
    :param fingerprint: id of the whole request over attempts and VMs, empty
        until it is made.
    """

    fields: RequestFields
    head: RequestHead
    body: bytes
    route: Route
    service: str
    workspace: str
    priority: int
    started: float
    deadline: float
    objective_deadline: float
    first_byte_deadline: float
    fingerprint: str = ''

    @property
    def ident(self) -> str:
        """Id of the caller's attempt, empty when not sent."""
        return self.fields.ident

    @property
    def content(self) -> tuple[bytes, ...]:
        """Fields that are the same in each attempt of the request."""
        return (
            self.workspace.encode(),
            self.head.method,
            self.fields.host.encode(),
            self.head.path,
            self.body,
        )


class Load(NamedTuple):
    """Load that a target reports in the head of an answer.

    :param running: requests that the target runs.
    :param waiting: requests that wait at the target.
    :param slots: most requests that the target runs at one time.
    :param pace: how long work takes on the target's host, 1 is normal, and a
        larger value is slower.
    """

    running: int
    waiting: int
    slots: int
    pace: float = 1.0


class AnswerFields(NamedTuple):
    """Fields in the head of a target's answer.

    :param echoes_attempt_id: whether the answer names the attempt that was
        sent.
    :param genuine: whether the target itself produced the answer, with an
        unchanged body.
    :param not_run: whether the target states that it did not run the request.
    :param misdirected: whether the address belongs to another target now.
    :param inputs_lost: whether stage results that the request reads are lost.
    :param load: load of the target, ``None`` when not sent.
    """

    status: int
    echoes_attempt_id: bool
    genuine: bool
    not_run: bool
    misdirected: bool
    inputs_lost: bool
    load: Load | None


class WorkItem(NamedTuple):
    """Unit of work of a stage, which produces one result.

    :param ident: id of the caller's attempt.
    :param stage: number of the stage.
    :param number: number of the work item in its stage.
    :param key: key of the input of a stage without earlier stages, else empty.
    :param inputs: handles of the earlier stages' results that the work item
        reads, else empty.
    """

    ident: str
    stage: int
    number: int
    key: str
    inputs: tuple[str, ...]


class WorkItemResult(NamedTuple):
    """Outcome of one work item.

    :param handle: handle of the stored result, empty on failure.
    :param failure: reason of the failure, empty on success.
    """

    handle: str
    failure: str


class NoticeWire(Protocol):
    """Decoder of what targets say about themselves in their answers."""

    def read_load(self, head: AnswerHead, target: str = '') -> Load | None:
        """Decode the load in an answer, ``None`` when not sent.

        :param target: name of the target, by which a malformed load is logged
            once; empty to log nothing.
        """

    def read_rate_limit(self, head: AnswerHead) -> float | None:
        """Decode the requests per second that a target takes from all VMs.

        :returns: ``None`` when not sent.
        """

    def read_cold_seconds(self, head: AnswerHead) -> float | None:
        """Decode for how long the target stays cold, ``None`` if not sent."""

    def read_brittleness(self, head: AnswerHead) -> int | None:
        """Decode how many refusals in a second a brittle target survives.

        :returns: ``None`` when the answer doesn't say that it is brittle.
        """

    def is_full(self, head: AnswerHead) -> bool:
        """Tell whether the target had no room for the request."""

    def read_pause(self, head: AnswerHead) -> float | None:
        """Decode for how long a refusal says that no request may come.

        :returns: seconds, ``None`` when not sent.
        """

    def is_leaving(self, head: AnswerHead) -> bool:
        """Tell whether an answer says that the target is leaving."""


class Wire(NoticeWire, Protocol):
    """Codec between the gateway's types and the HTTP of one platform.

    A wire encodes and decodes only. The gateway makes all decisions.
    """

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
        """Encode the head of a request to a target.

        :param seconds: time left for the answer.
        :param inputs: handles of the stage results that the request reads.
        :param last_event: id of the event after which a stream resumes.
        """

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
        """Encode the head and body of a batch.

        :param seconds: time left for each work item.
        """

    def read_answer_ident(self, head: AnswerHead) -> str:
        """Decode the id of the request that an answer names, empty if none."""

    def is_misdirected(self, head: AnswerHead) -> bool:
        """Tell whether an answer is that of another target."""

    def is_not_run(self, head: AnswerHead) -> bool:
        """Tell whether an answer states that the target ran nothing."""

    def read_batch(self, body: bytes) -> tuple[WorkItemResult, ...]:
        """Decode the outcome of each work item of a batch.

        :raises InvalidInputError: when the body is not valid.
        """

    def make_free_bytes_query(self, target: Target) -> RequestHead:
        """Encode the query for a target's free result memory."""

    def read_free_bytes(self, body: bytes) -> float:
        """Decode the free bytes of a target's result memory.

        :raises InvalidInputError: when the body is not valid.
        """

    def make_release(
        self,
        handles: tuple[str, ...],
        target: Target,
    ) -> tuple[RequestHead, bytes]:
        """Encode the head and body of a call that releases results."""

    def make_refusal(
        self,
        ident: str,
        status: int,
        retry_after: float,
    ) -> AnswerHead:
        """Encode the head of a refusal.

        :param ident: id of the caller's attempt, empty when not sent.
        :param retry_after: seconds after which the caller may retry, 0 to
            leave the header out.
        """

    def find_producer(self, handle: str) -> str:
        """Return the address of the target that produced and holds a result."""
