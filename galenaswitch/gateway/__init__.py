"""Serves caller requests along the routes that the platform configures."""
