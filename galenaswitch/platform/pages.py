"""Decoder of the object store's answers, which isolates unreadable parts.

The store holds entries of other writers. Python's and many other encoders write
``NaN``, numbers out of range, lone surrogates and any nesting, which a strict
decoder refuses together with all that stands beside them. Here an answer that
is refused as a whole is split at its outermost commas and decoded part by part;
a part that can't be read becomes ``None``.
"""

import re
from collections.abc import Iterable
from typing import Any, TypeGuard

import orjson

from galenaswitch.store.objects import StoredObject
from galenaswitch.store.versions import (
    REVISION_BITS,
    Revision,
    find_era,
    join_version,
)

# Parts of an answer that are decoded one by one, from the outermost: the page,
# its events, an event, its object, the object's metadata.
MAX_SPLIT_LEVELS = 5
# Deepest nesting of a body that readers get. All that passes bodies on, such as
# links, logs and dumps, is recursive.
MAX_BODY_DEPTH = 64
# A body counts as a whole or not at all.
_WHOLE_PARTS = frozenset(('spec', 'status'))
# Runs of brackets are one token, so that deep nesting takes few. A string that
# doesn't end reaches to the end of the text.
_TOKEN = re.compile(
    rb'"(?:[^"\\]++|\\.)*+"?|[\[{]++|[\]}]++|,',
    re.DOTALL,
)
_MEMBER = re.compile(rb'\s*+("(?:[^"\\]++|\\.)*+")\s*+:', re.DOTALL)


def decode_in_parts(content: bytes) -> Any:
    """Decode an answer, with ``None`` for each part that can't be read.

    :raises ValueError: when the answer itself can't be read.

    >>> decode_in_parts(b'{"items": [{"spec": {"x": NaN}}, {"spec": 1}]}')
    {'items': [{'spec': None}, {'spec': 1}]}
    """
    return _decode(content, MAX_SPLIT_LEVELS)


def is_too_deep(document: Any) -> bool:
    """Tell whether a decoded body is nested deeper than readers can take.

    >>> is_too_deep({'a': [1]}), is_too_deep(orjson.loads('[' * 99 + ']' * 99))
    (False, True)
    """
    level = [document]
    for _ in range(MAX_BODY_DEPTH + 1):
        level = [inner for outer in level for inner in _find_inner(outer)]
        if not level:
            return False
    return True


def decode_objects(
    kind: str, entries: list[Any], page_version: int
) -> list[StoredObject]:
    """Return the objects of the entries whose names can be read."""
    found = (decode_object(kind, entry, page_version) for entry in entries)
    return [stored for stored in found if stored]


def decode_object(
    kind: str, entry: Any, page_version: int
) -> StoredObject | None:
    """Return the object of an entry, ``None`` when its name can't be read.

    :param page_version: version of the answer, which stands in for a revision
        that can't be read.
    """
    metadata = read_metadata(entry)
    name = metadata.get('name')
    if not isinstance(name, str) or not name:
        return None
    revision = metadata.get('revision')
    version = page_version
    if is_revision(revision):
        version = join_version(Revision(find_era(page_version), revision))
    body = entry.get('spec')
    readable = None if is_too_deep(body) else body
    return StoredObject(kind, name, version, readable)  # type: ignore[arg-type]


def read_metadata(entry: Any) -> dict[str, Any]:
    """Return the metadata of an entry, empty when it has none."""
    metadata = entry.get('metadata') if isinstance(entry, dict) else None
    return metadata if isinstance(metadata, dict) else {}


def is_revision(number: Any) -> TypeGuard[int]:
    """Tell whether a number can be a revision of the store."""
    is_whole = isinstance(number, int) and not isinstance(number, bool)
    return is_whole and 0 <= number < 1 << REVISION_BITS


def _find_inner(document: Any) -> Iterable[Any]:
    """Return what an object or an array holds, nothing for all else."""
    if isinstance(document, dict):
        return document.values()
    return document if isinstance(document, list) else ()


def _decode(text: bytes, levels: int) -> Any:
    """Decode a text, in parts when it isn't valid as a whole.

    :param levels: levels of nesting at which the text may be split.
    :raises ValueError: when the text can't be read in parts either.
    """
    try:
        return orjson.loads(text)
    except ValueError:
        text = text.strip()
        if not levels or text[:1] + text[-1:] not in {b'{}', b'[]'}:
            raise
    parts = _split(text)
    if text[:1] == b'[':
        return [_decode_part(part, levels) for part in parts]
    members = (_decode_member(part, levels) for part in parts)
    return dict(member for member in members if member)


def _decode_part(text: bytes, levels: int) -> Any:
    try:
        return _decode(text, levels - 1)
    except ValueError:
        return None


def _decode_member(text: bytes, levels: int) -> tuple[str, Any] | None:
    """Return a member of an object, ``None`` when its name can't be read."""
    found = _MEMBER.match(text)
    name = _decode_part(found[1], 1) if found else None
    if found is None or not isinstance(name, str):
        return None
    levels = 1 if name in _WHOLE_PARTS else levels
    return name, _decode_part(text[found.end() :], levels)


def _split(text: bytes) -> list[bytes]:
    """Return what stands between the commas of the outermost bracket.

    :raises ValueError: when the brackets don't match.

    >>> _split(b'[1, {"a": [2, 3]}, "4,5"]')
    [b'1', b' {"a": [2, 3]}', b' "4,5"']
    """
    cuts = []
    depth = 0
    for token in _TOKEN.finditer(text):
        change = _find_depth_change(token.group())
        depth += change
        if depth <= 0:
            cuts.append(token.end() + depth - 1)
            break
        if depth == 1 and token.group() == b',':
            cuts.append(token.start())
    if depth or text[cuts[-1] + 1 :].strip():
        raise ValueError('the brackets do not match')
    begins = (1, *(cut + 1 for cut in cuts))
    parts = [text[begin:end] for begin, end in zip(begins, cuts, strict=False)]
    if parts == [b'']:
        raise ValueError('there is nothing between the brackets')
    return parts


def _find_depth_change(token: bytes) -> int:
    """Return the brackets that a token opens, less those that it closes."""
    if token[:1] in {b'[', b'{'}:
        return len(token)
    if token[:1] in {b']', b'}'}:
        return -len(token)
    return 0
