"""Files that operators give to ``galenactl``."""

import json
from pathlib import Path
from typing import Any

from galenaswitch.errors import SettingsError


def read_file(path: Path) -> dict[str, Any]:
    """Return the JSON object in a file.

    :raises SettingsError: when the file is unreadable or has no JSON object.
    """
    try:
        document = json.loads(path.read_text(encoding='utf-8'))
    except (OSError, ValueError) as error:
        raise SettingsError(f'cannot read {path}: {error}') from error
    if not isinstance(document, dict):
        raise SettingsError(f'{path} is not a JSON object')
    return document
