"""Command of ``galenactl`` that checks a configuration document.

Exit codes: 0 no findings; 1 findings; 2 a file is unreadable.
"""

import json
import sys
from pathlib import Path

from galenaswitch.errors import InvalidInputError, SettingsError
from galenaswitch.platform.documents import read_configuration
from galenaswitch.platform.fields import Document
from galenaswitch.platform.findings import (
    Difference,
    Finding,
    find_differences,
    find_findings,
    find_version_finding,
)
from galenaswitch.programs.ctl_files import read_file

EXIT_FINDINGS = 1


def check_configuration(
    file: Path, *, against: Path | None = None, json: bool = False
) -> None:
    """Check a configuration document of the platform before it is sent.

    :param file: path of the JSON document
    :param against: path of the version in force, to list the differences
    :param json: print JSON
    """
    document = read_file(file)
    findings = find_findings(document)
    differences: tuple[Difference, ...] = ()
    if against:
        in_force = _read_in_force(against)
        if _is_valid(document):
            findings += find_version_finding(document, in_force)
            differences = find_differences(in_force, document)
    show = _render_json if json else _render_text
    sys.stdout.write(show(findings, differences))
    if findings:
        sys.exit(EXIT_FINDINGS)


def _read_in_force(path: Path) -> Document:
    document = read_file(path)
    try:
        read_configuration(document)
    except InvalidInputError as error:
        raise SettingsError(f'{path}: {error}') from error
    return document


def _is_valid(document: Document) -> bool:
    try:
        read_configuration(document)
    except InvalidInputError:
        return False
    return True


def _render_json(
    findings: tuple[Finding, ...], differences: tuple[Difference, ...]
) -> str:
    report = {
        'findings': [one._asdict() for one in findings],
        'differences': [one._asdict() for one in differences],
    }
    return f'{json.dumps(report)}\n'


def _render_text(
    findings: tuple[Finding, ...], differences: tuple[Difference, ...]
) -> str:
    lines = [f'{one.place}: {one.text}' for one in findings]
    lines.extend(
        f'{one.place}: {one.before or "none"} -> {one.after or "none"}'
        for one in differences
    )
    return ''.join(f'{line}\n' for line in lines)
