"""Adapter to the platform's wire formats, settings file and object store.

The adapter encodes, decodes and sends. It makes no decisions.
"""
