import asyncio
import socket
import sys

import pytest

from galenaswitch.errors import SettingsError
from galenaswitch.operations.logs import hide_secrets
from galenaswitch.operations.settings import load_settings, parse_settings
from galenaswitch.programs.control import ControlSettings

VALID_SETTINGS = """
[node]
name = a
zone = z
[peers]
secret = at-least-16-characters
port = 7000
[store]
url = http://127.0.0.1:9000
"""


@pytest.mark.parametrize(
    ('replacement', 'message_part'),
    [
        (('port = 7000', 'port = many'), 'peers.port'),
        (('port = 7000', 'port = 70000'), 'peers.port'),
        (('name = a', 'nome = a'), 'node'),
        (('[store]', '[stores]'), 'store'),
        (('[node]', 'node'), 'not an INI file'),
        (('at-least-16-characters', 'short'), 'peers.secret'),
    ],
)
def test_error_names_invalid_entry(replacement, message_part):
    with pytest.raises(SettingsError, match=message_part):
        parse_settings(VALID_SETTINGS.replace(*replacement), ControlSettings)


def test_missing_file_is_an_error(tmp_path):
    with pytest.raises(SettingsError, match='cannot read'):
        load_settings(tmp_path / 'none.ini', ControlSettings)


def test_secrets_are_hidden_from_logs():
    event = {'event': 'x', 'token': 'abc', 'secret': 'def', 'node': 'a'}
    assert hide_secrets(None, 'info', event) == {
        'event': 'x',
        'token': '***',
        'secret': '***',
        'node': 'a',
    }


async def run_control(path):
    """Run galena-control until it exits; return its code and error output."""
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        '-m',
        'galenaswitch.programs.control',
        '--settings',
        str(path),
        stderr=asyncio.subprocess.PIPE,
    )
    _, text = await process.communicate()
    return process.returncode, text.decode()


async def test_invalid_settings_exit_with_one_line(tmp_path):
    path = tmp_path / 'control.ini'
    path.write_text(VALID_SETTINGS.replace('zone', 'zones'))
    code, text = await run_control(path)
    assert (code, text.count('\n')) == (2, 1)


async def test_port_in_use_exits_with_one_line(tmp_path):
    with socket.socket() as listener:
        listener.bind(('127.0.0.1', 0))
        listener.listen()
        port = listener.getsockname()[1]
        path = tmp_path / 'control.ini'
        path.write_text(VALID_SETTINGS.replace('7000', str(port)))
        code, text = await run_control(path)
    assert code == 2
    assert 'in use' in text
