"""Start of a VM's process."""

import os
import signal
import subprocess
import sys
import time
from pathlib import Path

import pytest

START_SECONDS = 20


@pytest.fixture
def process(tmp_path):
    """Return a starting process, which ends as it finds no settings."""
    missing = str(tmp_path / 'missing.conf')
    started = subprocess.Popen(
        [sys.executable, '-m', 'galenaswitch.programs.edge'],
        env={**os.environ, 'GALENASWITCH_CONFIG': missing},
        stderr=subprocess.PIPE,
    )
    yield started
    started.kill()
    started.communicate()


def ignores_hangup(process):
    """Tell whether a process ignores SIGHUP."""
    lines = Path(f'/proc/{process.pid}/status').read_text().splitlines()
    fields = dict(line.split(':', 1) for line in lines)
    return bool(int(fields['SigIgn'], 16) & 1 << signal.SIGHUP - 1)


# Guards against a process that SIGHUP ends while it imports its components.
def test_hangup_during_the_start_does_not_end_the_process(process):
    deadline = time.monotonic() + START_SECONDS
    while not ignores_hangup(process) and time.monotonic() < deadline:
        assert process.poll() is None
    process.send_signal(signal.SIGHUP)
    _, errors = process.communicate(timeout=START_SECONDS)
    assert process.returncode > 0
    assert b'missing.conf' in errors
