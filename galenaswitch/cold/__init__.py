"""Targets that are cold: for a while they take few requests a second."""
