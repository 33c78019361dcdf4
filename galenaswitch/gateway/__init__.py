"""Requests to services whose routes the platform configures."""
