"""``galenactl``: operators' command line.

Exit codes: 0 done, 1 refused by the system, 2 wrong arguments or settings,
3 the system can't be reached or the outcome isn't known.
"""

import json
import sys
from collections.abc import Callable
from enum import Enum
from functools import partial
from pathlib import Path
from typing import Any, NamedTuple

import defopt

from galenaswitch.errors import GalenaError, SettingsError
from galenaswitch.operations.settings import load_settings
from galenaswitch.platform.settings import load_vm_settings
from galenaswitch.programs.admin import AdminSettings
from galenaswitch.programs.calls import AdminClient, RefusedByAdminError
from galenaswitch.programs.control import ControlSettings
from galenaswitch.programs.entry import EntrySettings

EXIT_REFUSED = 1
EXIT_USAGE = 2
EXIT_UNREACHABLE = 3
DEFAULT_SETTINGS = Path('galenactl.ini')


class Output(Enum):
    """Form of what is printed."""

    text = 'text'
    json = 'json'


class Program(Enum):
    """Programs that have settings files."""

    entry = 'entry'
    control = 'control'
    admin = 'admin'
    edge = 'edge'


class AccessSettings(NamedTuple):
    """Section ``[admin]``: where the operators' API is.

    :param url: base URL with an IP number.
    :param token: the operator's token.
    """

    url: str
    token: str


class CtlSettings(NamedTuple):
    """Settings file of ``galenactl``."""

    admin: AccessSettings


LOADERS: dict[Program, Callable[[Path], Any]] = {
    Program.entry: partial(load_settings, shape=EntrySettings),
    Program.control: partial(load_settings, shape=ControlSettings),
    Program.admin: partial(load_settings, shape=AdminSettings),
    Program.edge: load_vm_settings,
}


def open_client(settings: Path) -> AdminClient:
    """Return a client of the operators' API."""
    access = load_settings(settings, CtlSettings).admin
    return AdminClient(access.url, access.token)


def show(document: Any, output: Output) -> None:
    """Print a document."""
    if output is Output.json:
        sys.stdout.write(f'{json.dumps(document)}\n')
        return
    sys.stdout.write(f'{render_text(document)}\n')


def render_text(document: Any, indent: str = '') -> str:
    """Return a document as indented lines.

    >>> print(render_text({'a': 1, 'b': {'c': [1, 2]}}))
    a: 1
    b:
      c: 1, 2
    """
    lines = []
    for key, field in document.items():
        if isinstance(field, dict):
            lines.append(f'{indent}{key}:')
            lines.append(render_text(field, f'{indent}  '))
            continue
        if isinstance(field, list):
            field = ', '.join(str(part) for part in field)
        lines.append(f'{indent}{key}: {field}')
    return '\n'.join(line for line in lines if line)


class Commands:
    """The commands on one kind of object."""

    def __init__(self, kind: str) -> None:
        """Work on ``kind``, ``contracts`` or ``pipelines``."""
        self._kind = kind

    def apply(
        self,
        file: Path,
        *,
        version: int = -1,
        settings: Path = DEFAULT_SETTINGS,
        output: Output = Output.text,
    ) -> None:
        """Create or change an object from a JSON file.

        :param file: the document
        :param version: version to replace, 0 to create; by default the
            version that is there now
        :param settings: path of the INI file
        :param output: form of what is printed
        """
        document = read_file(file)
        name = document.get('workspace') or document.get('name') or ''
        client = open_client(settings)
        show(client.apply(self._kind, str(name), document, version), output)

    def display(
        self,
        name: str,
        *,
        settings: Path = DEFAULT_SETTINGS,
        output: Output = Output.text,
    ) -> None:
        """Show an object and its version.

        :param name: its name
        :param settings: path of the INI file
        :param output: form of what is printed
        """
        found = open_client(settings).show(self._kind, name)
        show({'version': found.version, **found.document}, output)

    def list_all(
        self,
        *,
        settings: Path = DEFAULT_SETTINGS,
        output: Output = Output.text,
    ) -> None:
        """List names and versions.

        :param settings: path of the INI file
        :param output: form of what is printed
        """
        found = open_client(settings).fetch(f'/v1/{self._kind}')
        names = {one['name']: one['version'] for one in found['objects']}
        show(names, output)

    def delete(
        self,
        name: str,
        *,
        version: int = -1,
        settings: Path = DEFAULT_SETTINGS,
        output: Output = Output.text,
    ) -> None:
        """Delete an object.

        :param name: its name
        :param version: version to delete; by default the one there now
        :param settings: path of the INI file
        :param output: form of what is printed
        """
        client = open_client(settings)
        show(client.delete(self._kind, name, version), output)


def status(
    *,
    settings: Path = DEFAULT_SETTINGS,
    output: Output = Output.text,
) -> None:
    """Show what is in force where, and who is behind.

    :param settings: path of the INI file
    :param output: form of what is printed
    """
    show(open_client(settings).fetch('/v1/status'), output)


def dump(
    node: str,
    *,
    program: Program = Program.control,
    settings: Path = DEFAULT_SETTINGS,
    output: Output = Output.text,
) -> None:
    """Show the state of one process.

    :param node: name of the machine
    :param program: which of its processes
    :param settings: path of the INI file
    :param output: form of what is printed
    """
    path = f'/v1/dump/{node}/{program.value}'
    show(open_client(settings).fetch(path), output)


def check(program: Program, file: Path) -> None:
    """Check a settings file.

    :param program: the program that it is for
    :param file: path of the file: INI, or the platform's for ``edge``
    """
    LOADERS[program](file)
    sys.stdout.write(f'{file}: ok\n')


def read_file(path: Path) -> dict[str, Any]:
    """Return the JSON object in a file.

    :raises SettingsError: when there is none.
    """
    try:
        document = json.loads(path.read_text(encoding='utf-8'))
    except (OSError, ValueError) as error:
        raise SettingsError(f'cannot read {path}: {error}') from error
    if not isinstance(document, dict):
        raise SettingsError(f'{path} holds no JSON object')
    return document


def list_commands(kind: str) -> dict[str, Any]:
    """Return the subcommands on a kind of object."""
    commands = Commands(kind)
    return {
        'apply': commands.apply,
        'show': commands.display,
        'list': commands.list_all,
        'delete': commands.delete,
    }


def main() -> None:
    """Entry point of the binary."""
    commands = {
        'contract': list_commands('contracts'),
        'pipeline': list_commands('pipelines'),
        'settings': {'check': check},
        'status': status,
        'dump': dump,
    }
    try:
        defopt.run(commands)
    except SettingsError as error:
        _leave(EXIT_USAGE, error)
    except RefusedByAdminError as error:
        _leave(EXIT_REFUSED, error)
    except GalenaError as error:
        _leave(EXIT_UNREACHABLE, error)


def _leave(code: int, error: GalenaError) -> None:
    sys.stderr.write(f'galenactl: {error}\n')
    sys.exit(code)


if __name__ == '__main__':
    main()
