"""Serving of multi-stage model pipelines and plain services."""

__version__ = '0.1.0'
