"""Operators' HTTP API: configuration changes, status and state dumps."""
