"""HTTP API for callers: authentication, request checks and responses."""

from galenaswitch.callers.access import ContractDirectory
from galenaswitch.callers.server import CallerApi, PipelineResult

__all__ = ('CallerApi', 'ContractDirectory', 'PipelineResult')
