"""Documents that define contracts and pipelines, and their validation."""

from galenaswitch.contracts.documents import (
    Contract,
    Pipeline,
    Shortage,
    Stage,
    StageKind,
    hash_token,
    is_repeatable,
    parse_document,
)

__all__ = (
    'Contract',
    'Pipeline',
    'Shortage',
    'Stage',
    'StageKind',
    'hash_token',
    'is_repeatable',
    'parse_document',
)
