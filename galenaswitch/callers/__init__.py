"""Callers' HTTP API."""

from galenaswitch.callers.access import Directory
from galenaswitch.callers.server import CallerApi, PipelineResult

__all__ = ('CallerApi', 'Directory', 'PipelineResult')
