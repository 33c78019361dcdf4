"""Messages between an entry process and the targets.

Each attempt at a stage has its own id. A target repeats the request, stage,
attempt, model and version of a call in its answer. An answer with other values
belongs to another attempt and is rejected.
"""

from typing import Any, NamedTuple

ECHOED_FIELDS = ('request', 'stage', 'attempt', 'model', 'version')


class StageCall(NamedTuple):
    """Call of a target for one attempt at a stage.

    :param request: id of the caller's request.
    :param stage: name of the stage.
    :param attempt: id of this attempt, unique for each attempt.
    :param model: name of the model that must answer, empty for plain
        services.
    :param version: version of the model.
    :param path: HTTP path of the operation.
    :param payload: the stage's input.
    :param left_ms: milliseconds left until the deadline of the request.
    :param priority: priority in the queue of an engine; a higher number is
        served earlier.
    """

    request: str
    stage: str
    attempt: str
    model: str
    version: str
    path: str
    payload: dict[str, Any]
    left_ms: int
    priority: float = 1


class Token(NamedTuple):
    """One generated token.

    :param number: index of the token in the answer, from 0.
    :param text: text of the token.
    """

    number: int
    text: str


class StreamEnd(NamedTuple):
    """End of a complete generated answer.

    :param tokens: number of tokens of the complete answer.
    """

    tokens: int


def encode_call(call: StageCall) -> dict[str, Any]:
    """Return the JSON body of an attempt.

    >>> call = StageCall('r', 's', 'a', '', '', '/x', {'p': 1}, 5)
    >>> encode_call(call)['left_ms'], encode_call(call)['payload']
    (5, {'p': 1})
    """
    body = call._asdict()
    body.pop('path')
    return body


def echoes_call(call: StageCall, document: dict[str, Any]) -> bool:
    """Tell whether an answer repeats the fields of a call.

    >>> call = StageCall('r', 's', 'a', 'm', '1', '/x', {}, 5)
    >>> echoes_call(call, dict(call._asdict(), output={}))
    True
    >>> echoes_call(call, dict(call._asdict(), attempt='b'))
    False
    """
    return all(
        document.get(name) == getattr(call, name) for name in ECHOED_FIELDS
    )
