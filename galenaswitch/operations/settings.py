"""Settings of the programs: INI text to checked values.

Each program declares a ``NamedTuple`` of sections, each section again a
``NamedTuple``; unknown keys, missing keys and wrong types are errors.
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


class NodeSettings(NamedTuple):
    """Section ``[node]``: who and where this process is.

    :param name: unique name of the virtual machine.
    :param zone: availability zone that it stands in.
    :param address: IP number that its processes listen on.
    """

    name: str
    zone: str
    address: str = '127.0.0.1'


class PeerSettings(NamedTuple):
    """Section ``[peers]``: streams between the system's processes.

    :param secret: shared secret of the system's own processes.
    :param port: TCP port of the control process of this machine.
    """

    secret: Annotated[str, Field(min_length=16)]
    port: Port


class MetricSettings(NamedTuple):
    """Section ``[metrics]``: where the page of metrics is served.

    :param address: IP number to listen on; empty turns the page off.
    :param port: TCP port of the page.
    """

    address: str = ''
    port: Port = 9464


def parse_settings(text: str, shape: type[Shape]) -> Shape:
    r"""Check INI text against a settings type.

    :param text: content of the INI file.
    :param shape: ``NamedTuple`` whose fields are the sections.
    :returns: the checked settings.
    :raises SettingsError: with one sentence that names the entry.

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

    :raises SettingsError: naming the first entry that fails.
    """
    try:
        return TypeAdapter(shape).validate_python(document)
    except ValidationError as error:
        first = error.errors()[0]
        place = '.'.join(str(part) for part in first['loc'])
        raise SettingsError(f'{place}: {first["msg"]}') from error


def load_settings(path: Path, shape: type[Shape]) -> Shape:
    """Read and check a settings file.

    :param path: path of the INI file.
    :raises SettingsError: when the file can't be read or an entry is wrong.
    """
    try:
        text = path.read_text(encoding='utf-8')
    except (OSError, UnicodeDecodeError) as error:
        raise SettingsError(f'cannot read {path}: {error}') from error
    return parse_settings(text, shape)
