"""What the process of a VM loads at its start.

A VM starts again after each kill and each stop, on half a core. Its processor
time, its memory and the time for which the VM is away grow with all that the
process imports.
"""

import json
import subprocess
import sys

# Top-level packages from PyPI that the process of a VM uses, with what they
# need themselves.
ALLOWED_PACKAGES = frozenset(
    (
        'annotated_types',
        'galenaswitch',
        'httptools',
        'msgpack',
        'orjson',
        'pydantic',
        'pydantic_core',
        'structlog',
        'typing_extensions',
        'typing_inspection',
        'uvloop',
        'xxhash',
    )
)
# Modules that compiled packages and the interpreter make for themselves.
GENERATED_PREFIXES = ('_cython_', 'cython_runtime', '_sysconfigdata_')
# Packages of this project that only its other programs need.
FOREIGN_PACKAGES = frozenset(
    ('administration', 'callers', 'claims', 'orders', 'targets')
)
# Prints each module that was loaded, with the file of this project, or the
# first module, that imported it.
REPORT = """
import builtins, json, sys

first_importers = {}
original = builtins.__import__

def note(name, scope=None, *others, **options):
    before = set(sys.modules)
    found = original(name, scope, *others, **options)
    importer = (scope or {}).get('__name__', '')
    for module in set(sys.modules) - before:
        if importer.startswith('galenaswitch'):
            first_importers.setdefault(module, importer)
    return found

builtins.__import__ = note
before = set(sys.modules)
import galenaswitch.programs.vm_process
print(json.dumps({
    module: first_importers.get(module, '')
    for module in set(sys.modules) - before
}))
"""


def find_loaded():
    """Return the modules that a VM's process loads, with their importers."""
    ended = subprocess.run(
        (sys.executable, '-c', REPORT),
        capture_output=True,
        check=True,
        timeout=60,
    )
    return json.loads(ended.stdout)


def find_top(module):
    """Return the top-level package of a module."""
    return module.partition('.')[0]


def test_vm_process_loads_no_package_that_it_does_not_use():
    loaded = find_loaded()
    foreign = {
        find_top(module): importer
        for module, importer in loaded.items()
        if find_top(module) not in ALLOWED_PACKAGES | sys.stdlib_module_names
        and not module.startswith(GENERATED_PREFIXES)
    }
    assert not foreign


def test_vm_process_loads_no_part_of_other_programs():
    loaded = find_loaded()
    foreign = {
        module: importer
        for module, importer in loaded.items()
        if module.startswith('galenaswitch.')
        and module.split('.')[1] in FOREIGN_PACKAGES
    }
    assert not foreign
