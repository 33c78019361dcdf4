"""``galenactl``: command-line tool for operators.

Exit codes: 0 success; 1 the operators' API refused the command; 2 invalid
arguments, settings or files; 3 the API is unreachable or the outcome is
unknown. ``check`` exits with 1 for findings.
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
from galenaswitch.programs.configuration_check import check_configuration
from galenaswitch.programs.control import ControlSettings
from galenaswitch.programs.ctl_files import read_file
from galenaswitch.programs.entry import EntrySettings

EXIT_REFUSED = 1
EXIT_USAGE = 2
EXIT_UNREACHABLE = 3
DEFAULT_SETTINGS = Path('galenactl.ini')


class Output(Enum):
    """Output format of a command."""

    text = 'text'
    json = 'json'


class Program(Enum):
    """Programs of the system that read a settings file."""

    entry = 'entry'
    control = 'control'
    admin = 'admin'
    edge = 'edge'


class AccessSettings(NamedTuple):
    """Section ``[admin]``: how to reach the operators' API.

    :param url: base URL with an IP address.
    :param token: the operator's access token.
    """

    url: str
    token: str


class CtlSettings(NamedTuple):
    """Sections of the settings file of ``galenactl``."""

    admin: AccessSettings


SETTINGS_LOADERS: dict[Program, Callable[[Path], Any]] = {
    Program.entry: partial(load_settings, shape=EntrySettings),
    Program.control: partial(load_settings, shape=ControlSettings),
    Program.admin: partial(load_settings, shape=AdminSettings),
    Program.edge: load_vm_settings,
}


def open_client(settings: Path) -> AdminClient:
    """Return a client of the operators' API.

    :param settings: path of the settings file of ``galenactl``.
    """
    access = load_settings(settings, CtlSettings).admin
    return AdminClient(access.url, access.token)


def show(document: Any, output: Output) -> None:
    """Print a document to standard output."""
    if output is Output.json:
        sys.stdout.write(f'{json.dumps(document)}\n')
        return
    sys.stdout.write(f'{render_text(document)}\n')


def render_text(document: Any, indent: str = '') -> str:
    """Return a document as indented lines of ``key: value``.

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


class ObjectCommands:
    """Subcommands for one kind of configuration object."""

    def __init__(self, kind: str) -> None:
        """Build the subcommands for ``contracts`` or ``pipelines``."""
        self._kind = kind

    def apply(
        self,
        file: Path,
        *,
        version: int = -1,
        settings: Path = DEFAULT_SETTINGS,
        output: Output = Output.text,
    ) -> None:
        """Create or replace an object from a JSON file.

        :param file: path of the JSON document
        :param version: version to replace, 0 to create the object; by default
            whichever version is stored
        :param settings: path of the INI file
        :param output: output format
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

        :param name: name of the object
        :param settings: path of the INI file
        :param output: output format
        """
        found = open_client(settings).show(self._kind, name)
        show({'version': found.version, **found.document}, output)

    def list_all(
        self,
        *,
        settings: Path = DEFAULT_SETTINGS,
        output: Output = Output.text,
    ) -> None:
        """List the names and versions of all objects.

        :param settings: path of the INI file
        :param output: output format
        """
        found = open_client(settings).fetch(f'/v1/{self._kind}')
        versions_by_name = {
            entry['name']: entry['version'] for entry in found['objects']
        }
        show(versions_by_name, output)

    def delete(
        self,
        name: str,
        *,
        version: int = -1,
        settings: Path = DEFAULT_SETTINGS,
        output: Output = Output.text,
    ) -> None:
        """Delete an object.

        :param name: name of the object
        :param version: version to delete; by default whichever is stored
        :param settings: path of the INI file
        :param output: output format
        """
        client = open_client(settings)
        show(client.delete(self._kind, name, version), output)


def status(
    *,
    settings: Path = DEFAULT_SETTINGS,
    output: Output = Output.text,
) -> None:
    """Show the configuration in force in each zone and outdated machines.

    :param settings: path of the INI file
    :param output: output format
    """
    show(open_client(settings).fetch('/v1/status'), output)


def dump(
    node: str,
    *,
    program: Program = Program.control,
    settings: Path = DEFAULT_SETTINGS,
    output: Output = Output.text,
) -> None:
    """Show the state dump of one process.

    :param node: name of the machine
    :param program: program that the process runs
    :param settings: path of the INI file
    :param output: output format
    """
    path = f'/v1/dump/{node}/{program.value}'
    show(open_client(settings).fetch(path), output)


def check(program: Program, file: Path) -> None:
    """Validate a settings file.

    :param program: program that reads the file
    :param file: path of the file: INI, or the platform's format for ``edge``
    """
    SETTINGS_LOADERS[program](file)
    sys.stdout.write(f'{file}: ok\n')


def find_object_commands(kind: str) -> dict[str, Any]:
    """Return the subcommands for a kind of object by their names."""
    commands = ObjectCommands(kind)
    return {
        'apply': commands.apply,
        'show': commands.display,
        'list': commands.list_all,
        'delete': commands.delete,
    }


def main() -> None:
    """Run the command line and exit with the code of its outcome."""
    commands = {
        'contract': find_object_commands('contracts'),
        'pipeline': find_object_commands('pipelines'),
        'settings': {'check': check},
        'check': check_configuration,
        'status': status,
        'dump': dump,
    }
    try:
        defopt.run(commands)
    except SettingsError as error:
        _exit_with_error(EXIT_USAGE, error)
    except RefusedByAdminError as error:
        _exit_with_error(EXIT_REFUSED, error)
    except GalenaError as error:
        _exit_with_error(EXIT_UNREACHABLE, error)


def _exit_with_error(code: int, error: GalenaError) -> None:
    sys.stderr.write(f'galenactl: {error}\n')
    sys.exit(code)


if __name__ == '__main__':
    main()
