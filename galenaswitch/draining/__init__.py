"""Estimates that tell which requests end before a VM stops."""
