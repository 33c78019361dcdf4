"""Paths from this VM to the targets: direct, or through a peer VM.

A VM that can't open a connection to a target opens a tunnel: a connection
through a peer, the exit, which connects to the target and passes the bytes on.
"""
