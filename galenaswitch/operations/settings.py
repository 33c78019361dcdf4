"""Settings of the programs: parsing and validation of INI files.

A program declares its settings as a ``NamedTuple`` of sections, and each
section as a ``NamedTuple`` of keys. Unknown keys, missing keys and values of
the wrong type are errors.
"""

from configparser import ConfigParser
from configparser import Error as IniError
from pathlib import Path
from typing import Annotated, Any, NamedTuple, TypeVar

from pydantic import Field, TypeAdapter, ValidationError

from galenaswitch.errors import SettingsError

Shape = TypeVar('Shape')
Port = Annotated[int, Field(ge=0, le=65535)]
Seconds = Annotated[float, Field(gt=0, le=86400)]
_ADAPTERS: dict[Any, TypeAdapter[Any]] = {}


class NodeSettings(NamedTuple):
    """Section ``[node]``: name, zone and address of the machine.

    :param name: unique name of the VM.
    :param zone: availability zone of the VM.
    :param address: IP address that the VM's processes listen on.
    """

    name: str
    zone: str
    address: str = '127.0.0.1'


class PeerSettings(NamedTuple):
    """Section ``[peers]``: links between the system's processes.

    :param secret: shared secret that authenticates the system's processes.
    :param port: TCP port of the control process on this machine.
    """

    secret: Annotated[str, Field(min_length=16)]
    port: Port


class MetricSettings(NamedTuple):
    """Section ``[metrics]``: address of the metrics endpoint.

    :param address: IP address to listen on; empty disables the endpoint.
    :param port: TCP port of the metrics endpoint.
    """

    address: str = ''
    port: Port = 9464


def parse_settings(text: str, shape: type[Shape]) -> Shape:
    r"""Parse INI text and validate it against a settings type.

    :param text: content of the INI file.
    :param shape: ``NamedTuple`` type whose fields are the sections.
    :returns: the validated settings.
    :raises SettingsError: naming the first invalid entry.

    >>> class Example(NamedTuple):
    ...     node: NodeSettings
    >>> parse_settings('[node]\nname=a\nzone=z1', Example).node.zone
    'z1'
    >>> parse_settings('[node]\nname=a\nzone=z1\nsize=3', Example)
    Traceback (most recent call last):
    ...
    galenaswitch.errors.SettingsError: node.size: Extra inputs are not permitted
    """
    parser = ConfigParser(interpolation=None, default_section='')
    try:
        parser.read_string(text)
    except IniError as error:
        raise SettingsError(f'not an INI file: {error.message}') from error
    sections = {name: dict(parser[name]) for name in parser.sections()}
    return check_shape(sections, shape)


def check_shape(document: Any, shape: type[Shape]) -> Shape:
    """Validate a plain document against a ``NamedTuple`` type.

    :raises SettingsError: naming the first invalid entry.
    """
    try:
        checked: Shape = _find_adapter(shape).validate_python(document)
    except ValidationError as error:
        first = error.errors()[0]
        location = '.'.join(str(part) for part in first['loc'])
        raise SettingsError(f'{location}: {first["msg"]}') from error
    return checked


def _find_adapter(shape: Any) -> TypeAdapter[Any]:
    """Return the validator of a type, whose making costs milliseconds."""
    if shape not in _ADAPTERS:
        _ADAPTERS[shape] = TypeAdapter(shape)
    return _ADAPTERS[shape]


def load_settings(path: Path, shape: type[Shape]) -> Shape:
    """Read and validate an INI settings file.

    :param path: path of the INI file.
    :param shape: ``NamedTuple`` type whose fields are the sections.
    :raises SettingsError: when the file is unreadable or an entry is invalid.
    """
    try:
        text = path.read_text(encoding='utf-8')
    except (OSError, UnicodeDecodeError) as error:
        raise SettingsError(f'cannot read {path}: {error}') from error
    return parse_settings(text, shape)
