"""Exit status and output of ``galenactl check``."""

import json

import pytest

from galenaswitch.errors import SettingsError
from galenaswitch.programs.configuration_check import check_configuration

ROUTE = {
    'name': 'r',
    'host': 'h.example',
    'path-prefix': '/',
    'kind': 'idempotent',
    'timeout-ms': 900,
    'service': 'desk',
}
DOCUMENT = {'version': 2, 'routes': [ROUTE], 'services': [{'name': 'desk'}]}


@pytest.fixture
def write(tmp_path):
    """Return a function that writes a document to a file."""

    def make(name, document):
        path = tmp_path / name
        path.write_text(json.dumps(document))
        return path

    return make


def test_clean_document_prints_nothing_and_succeeds(write, capsys):
    check_configuration(write('a.json', DOCUMENT))
    assert capsys.readouterr().out == ''


def test_findings_have_their_exit_status(write, capsys):
    path = write('a.json', {**DOCUMENT, 'routes': [ROUTE, ROUTE]})
    with pytest.raises(SystemExit) as caught:
        check_configuration(path)
    assert caught.value.code == 1
    assert 'routes[1] (r): never matches' in capsys.readouterr().out


def test_differences_alone_are_no_findings(write, capsys):
    before = write('a.json', {**DOCUMENT, 'version': 1})
    check_configuration(write('b.json', DOCUMENT), against=before)
    assert capsys.readouterr().out == 'version: 1 -> 2\n'


def test_json_output_has_findings_and_differences(write, capsys):
    before = write('a.json', {**DOCUMENT, 'version': 3})
    with pytest.raises(SystemExit):
        check_configuration(
            write('b.json', DOCUMENT), against=before, json=True
        )
    report = json.loads(capsys.readouterr().out)
    assert [one['place'] for one in report['findings']] == ['version']
    assert report['differences'] == [
        {'place': 'version', 'before': '3', 'after': '2'}
    ]


# Guards against a status of success for a check that read nothing.
@pytest.mark.parametrize('text', ['', '[]', '{"version": '])
def test_unreadable_file_is_an_error(tmp_path, write, text):
    path = tmp_path / 'odd.json'
    path.write_text(text)
    with pytest.raises(SettingsError):
        check_configuration(path)
    with pytest.raises(SettingsError):
        check_configuration(write('a.json', DOCUMENT), against=path)


def test_invalid_version_in_force_is_an_error(write):
    with pytest.raises(SettingsError, match="'services'"):
        check_configuration(
            write('a.json', DOCUMENT), against=write('b.json', {'routes': []})
        )
