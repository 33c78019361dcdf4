"""Fake servers for the external systems, and a launcher for deployments."""
