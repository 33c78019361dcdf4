"""Tests of decoding the platform's settings file."""

import resource

import pytest

from galenaswitch.errors import SettingsError
from galenaswitch.platform.settings import (
    find_settings_path,
    load_vm_settings,
    read_extra_work_ratio,
    read_vm_settings,
)


def test_entries_are_decoded_to_typed_settings(settings_text):
    settings = read_vm_settings(settings_text)
    assert settings.node == 'edge-north-1'
    assert settings.callers == ('127.0.0.1', 8625)
    assert settings.seeds[1] == ('127.0.0.2', 8628)
    assert settings.memory_bytes == 300_000_000
    assert settings.cores == pytest.approx(1.8)
    assert settings.bounds.drain == 2
    assert settings.bounds.retry_slack == 58


@pytest.mark.parametrize(
    ('old', 'new', 'message'),
    [
        ('zone=north\n', '', 'zone: missing'),
        ('zone=north', 'zone=north\nzone=south', 'zone is a duplicate entry'),
        ('zone=north', 'zone', '"=" is missing'),
        ('limits.memory-mb=300', 'limits.memory-mb=x', 'is not a number'),
        ('front=127.0.0.1:8625', 'front=127.0.0.1:99999', 'callers'),
        ('heartbeat-ms=1200', 'heartbeat-ms=0', 'heartbeat'),
        ('limits.cores', 'limits.max-fds=0\nlimits.cores', 'max_descriptors'),
    ],
)
def test_error_names_the_wrong_entry(settings_text, old, new, message):
    with pytest.raises(SettingsError, match=message):
        read_vm_settings(settings_text.replace(old, new))


def test_absent_cores_count_as_one(settings_text):
    text = settings_text.replace('limits.c', 'other.c')
    assert read_vm_settings(text).cores == 1


# Guards against a process that opens more than it can when the entry is absent.
def test_descriptors_are_limited_by_entry_and_process(settings_text):
    allowed, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    assert read_vm_settings(settings_text).max_descriptors == allowed
    text = f'{settings_text}limits.max-fds=210\n'
    assert read_vm_settings(text).max_descriptors == 210


def test_missing_file_is_a_settings_error(tmp_path):
    with pytest.raises(SettingsError, match='cannot read'):
        load_vm_settings(tmp_path / 'none')


def test_path_comes_from_the_environment(monkeypatch):
    monkeypatch.setenv('GALENASWITCH_CONFIG', '/x/y')
    assert str(find_settings_path()) == '/x/y'


# Guards against a mistyped limit that allows any amount of extra work.
@pytest.mark.parametrize(
    'text',
    ['', 'x', '-0.1', '0.21', '1', 'nan', 'inf', '1e-1', '0,1', '\u0661'],
)
def test_extra_work_ratio_out_of_range_is_an_error(text):
    with pytest.raises(SettingsError, match='GALENA_EXTRA_WORK_RATIO'):
        read_extra_work_ratio(text)


def test_extra_work_ratio_comes_from_the_environment(
    settings_text, tmp_path, monkeypatch
):
    path = tmp_path / 'settings.conf'
    path.write_text(settings_text)
    monkeypatch.delenv('GALENA_EXTRA_WORK_RATIO', raising=False)
    assert load_vm_settings(path).extra_work_ratio == 0
    monkeypatch.setenv('GALENA_EXTRA_WORK_RATIO', '0.05')
    assert load_vm_settings(path).extra_work_ratio == 0.05
