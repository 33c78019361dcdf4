"""Authentication and authorisation of operators by token and role."""

import hmac
from enum import StrEnum
from typing import NamedTuple

from galenaswitch.contracts.documents import hash_token
from galenaswitch.errors import GalenaError


class Role(StrEnum):
    """Role of an operator: may only read, or may read and write."""

    read = 'read'
    write = 'write'


class OperatorSettings(NamedTuple):
    """Section ``[operators]``: hashed access tokens of each role.

    :param read: SHA-256 hashes, separated by commas, of read-only tokens.
    :param write: SHA-256 hashes, separated by commas, of tokens that may read
        and write.
    """

    read: str = ''
    write: str = ''


class UnknownOperatorError(GalenaError):
    """The token belongs to no operator."""


class ForbiddenError(GalenaError):
    """The operator's role doesn't permit the request."""


def check_operator(
    settings: OperatorSettings,
    token: str,
    required_role: Role,
) -> None:
    """Check that an operator's token has the role that a request requires.

    :raises UnknownOperatorError: when the token belongs to no operator.
    :raises ForbiddenError: when a read-only token is used to write.

    >>> settings = OperatorSettings(read=hash_token('r'))
    >>> check_operator(settings, 'r', Role.read)
    >>> check_operator(settings, 'r', Role.write)
    Traceback (most recent call last):
    ...
    galenaswitch.administration.operators.ForbiddenError: the role is read only
    """
    token_hash = hash_token(token)
    if _is_listed(token_hash, settings.write):
        return
    if not _is_listed(token_hash, settings.read):
        raise UnknownOperatorError('unknown operator token')
    if required_role is Role.write:
        raise ForbiddenError('the role is read only')


def _is_listed(token_hash: str, listed_hashes: str) -> bool:
    return any(
        hmac.compare_digest(token_hash, listed_hash.strip())
        for listed_hash in listed_hashes.split(',')
    )
