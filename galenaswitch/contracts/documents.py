"""Contracts and pipelines: the documents that operators write.

The contract of a customer alone determines the limits of this customer.
"""

from enum import Enum, StrEnum
from hashlib import sha256
from typing import Annotated, Any, NamedTuple, TypeVar

from pydantic import Field, TypeAdapter, ValidationError

from galenaswitch.errors import InvalidInputError

Document = TypeVar('Document')
Name = Annotated[str, Field(pattern='^[a-z0-9][a-z0-9-]{0,62}$')]
TokenHash = Annotated[str, Field(pattern='^[0-9a-f]{64}$')]
Rate = Annotated[float, Field(gt=0, le=1e9)]
Milliseconds = Annotated[int, Field(ge=1, le=600_000)]
DEFAULT_DEADLINE_MS = 5000
MIN_STAGES = 1
MAX_STAGES = 8


class Shortage(StrEnum):
    """Policy for a request that finds no free capacity.

    The request waits in a queue, is refused, or uses a smaller model or another
    zone.
    """

    queue = 'queue'
    shed = 'shed'
    smaller_model = 'smaller-model'
    other_zone = 'other-zone'


class StageKind(Enum):
    """Operation that a stage performs on its input."""

    encode = 'encode'
    retrieve = 'retrieve'
    rerank = 'rerank'
    generate = 'generate'
    call = 'call'


class Contract(NamedTuple):
    """Limits and objectives of one customer.

    :param workspace: name of the customer's workspace.
    :param tokens: SHA-256 hashes of the callers' API tokens, in hex.
    :param pipelines: names of the pipelines that the customer may use.
    :param requests_per_second: maximum rate of admitted requests in all
        zones together.
    :param tokens_per_second: maximum rate of prompt and generated tokens.
    :param in_progress: maximum number of requests in progress at one time.
    :param cost_per_day: maximum cost units per UTC day.
    :param deadline_ms: time from the arrival of a request to the last byte
        of its answer.
    :param shortage: policy for requests that find no free capacity.
    :param queue_ms: maximum wait for capacity or for a limit.
    :param smaller_model: model for the policy ``smaller-model``.
    :param weight: weight of the workspace in the division of scarce capacity
        between workspaces.
    """

    workspace: Name
    tokens: Annotated[tuple[TokenHash, ...], Field(min_length=1)]
    pipelines: tuple[Name, ...]
    requests_per_second: Rate
    tokens_per_second: Rate
    in_progress: Annotated[int, Field(ge=1, le=1_000_000)]
    cost_per_day: Rate
    deadline_ms: Milliseconds = DEFAULT_DEADLINE_MS
    shortage: Shortage = Shortage.queue
    queue_ms: Milliseconds = 1000
    smaller_model: str = ''
    weight: Annotated[float, Field(gt=0, le=100)] = 1


class Stage(NamedTuple):
    """One stage of a pipeline.

    :param name: name of the stage, unique within the pipeline.
    :param kind: operation that the stage performs.
    :param pool: pool of targets that run the stage.
    :param model: model that a target must serve, empty for plain services.
    :param version: version of the model.
    :param operation: name of the operation that a plain service performs.
    :param repeatable: whether the stage is idempotent, so that a second run
        is harmless.
    :param cost: cost units of one call.
    :param cost_per_token: cost units of one token.
    """

    name: Name
    kind: StageKind
    pool: Name
    model: str = ''
    version: str = ''
    operation: str = ''
    repeatable: bool = True
    cost: Annotated[float, Field(ge=0)] = 1
    cost_per_token: Annotated[float, Field(ge=0)] = 0


class Pipeline(NamedTuple):
    """Named sequence of stages that process a request in order."""

    name: Name
    stages: Annotated[
        tuple[Stage, ...],
        Field(min_length=MIN_STAGES, max_length=MAX_STAGES),
    ]


_ADAPTERS: dict[Any, TypeAdapter[Any]] = {
    Contract: TypeAdapter(Contract),
    Pipeline: TypeAdapter(Pipeline),
}


def parse_document(document: Any, shape: type[Document]) -> Document:
    """Validate a document from an operator or from the store.

    :param document: parsed JSON of the document.
    :param shape: type of the document, :class:`Contract` or
        :class:`Pipeline`.
    :raises InvalidInputError: when the document is invalid; the message
        names the first invalid field.

    >>> parse_document({'name': 'x', 'stages': []}, Pipeline)
    Traceback (most recent call last):
    ...
    galenaswitch.errors.InvalidInputError: stages: Tuple should have at least \
1 item after validation, not 0
    """
    try:
        checked: Document = _ADAPTERS[shape].validate_python(document)
    except ValidationError as error:
        first = error.errors()[0]
        field_path = '.'.join(str(part) for part in first['loc'])
        raise InvalidInputError(f'{field_path}: {first["msg"]}') from error
    return checked


def is_repeatable(pipeline: Pipeline) -> bool:
    """Return whether all stages of a pipeline are idempotent."""
    return all(stage.repeatable for stage in pipeline.stages)


def hash_token(token: str) -> str:
    """Return the hash of an API token that contracts contain.

    >>> hash_token('secret')[:8]
    '2bb80d53'
    """
    return sha256(token.encode()).hexdigest()
