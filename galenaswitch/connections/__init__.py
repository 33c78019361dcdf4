"""HTTP/1.1 connections from callers and to targets.

Method, path, header names and values, and body bytes are forwarded as they
arrived.
"""
