"""Fixtures of the tests of the gateway."""

import pytest

from galenaswitch.gateway import version_records


@pytest.fixture
def no_pauses(monkeypatch):
    """Record versions without a pause."""
    monkeypatch.setattr(version_records, 'FIRST_RETRY_SECONDS', 0)
    monkeypatch.setattr(version_records, 'MAX_RETRY_SECONDS', 0)
