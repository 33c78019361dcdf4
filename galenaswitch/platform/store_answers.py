"""Answers of the object store, and the purposes of calls to it."""

import asyncio
from typing import Any, NamedTuple

import orjson

from galenaswitch.connections.heads import AnswerHead
from galenaswitch.errors import (
    StoreError,
    StoreHistoryLostError,
    StoreUnavailableError,
)
from galenaswitch.platform.headers import CONFLICT
from galenaswitch.platform.pages import (
    decode_in_parts,
    is_revision,
    read_metadata,
)
from galenaswitch.store.objects import ABSENT
from galenaswitch.store.versions import Revision, join_version

OK = 200
CREATED = 201
NOT_FOUND = 404
GONE = 410
_EXPECTED_STATUSES = frozenset((OK, CREATED, NOT_FOUND, CONFLICT))
_PURPOSES = {'POST': 'create', 'PUT': 'replace', 'DELETE': 'remove'}
# Purposes of reading calls, by the name in their query.
_READ_PURPOSES = {'watch': 'watch', 'allow-stale': 'list_stale'}
Document = dict[str, Any]


class StoreAnswer(NamedTuple):
    """Answer of the store to one call.

    :param era: era of the revisions in the document.
    """

    status: int
    document: Document
    era: int


def find_purpose(method: str, query: dict[str, str] | None) -> str:
    """Return the purpose of a call, for the counts of calls."""
    if method != 'GET':
        return _PURPOSES[method]
    names = [name for name in _READ_PURPOSES if name in (query or {})]
    return _READ_PURPOSES[names[0]] if names else 'list'


async def decode_answer(answer: AnswerHead, content: bytes) -> Document:
    if answer.status == GONE:
        raise StoreHistoryLostError(
            'the store no longer has the changes after the watched revision',
        )
    if answer.status not in _EXPECTED_STATUSES:
        raise StoreUnavailableError(
            f'the store answers with status {answer.status}',
        )
    if not content:
        return {}
    try:
        document = orjson.loads(content)
    except ValueError:
        document = await _decode_in_parts(content)
    if not isinstance(document, dict):
        raise StoreError('the store answers with JSON that is not an object')
    return document


async def _decode_in_parts(content: bytes) -> Any:
    """Decode what can be read, in a thread, since it may take a second."""
    try:
        return await asyncio.to_thread(decode_in_parts, content)
    except ValueError as error:
        raise StoreError('the store answers with invalid JSON') from error


def decode_store_version(answer: StoreAnswer) -> int:
    number = answer.document.get('store-revision')
    if not is_revision(number):
        raise StoreError('the store answers without its revision')
    return join_version(Revision(answer.era, number))


def decode_version(answer: StoreAnswer) -> int:
    """Return the version of the object in an answer, ``ABSENT`` for none."""
    revision = read_metadata(answer.document).get('revision')
    if not is_revision(revision):
        return ABSENT
    return join_version(Revision(answer.era, revision))


def read_list(answer: StoreAnswer, name: str) -> list[Any]:
    """Return a list of an answer.

    :raises StoreError: when the answer has no such list.
    """
    entries = answer.document.get(name)
    if not isinstance(entries, list):
        raise StoreError(f'the store answers without a list of {name}')
    return entries
