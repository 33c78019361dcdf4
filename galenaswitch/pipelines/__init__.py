"""Runs the stages of a pipeline request under one deadline."""

from galenaswitch.pipelines.execution import Executor, Result, TokenSink
from galenaswitch.pipelines.requests import PipelineRequest, Progress

__all__ = (
    'Executor',
    'PipelineRequest',
    'Progress',
    'Result',
    'TokenSink',
)
