#!/bin/sh
# The stand-ins of the second review are plain Python and need no build; this
# checks that they can be read by the Python that runs them.
set -e
cd "$(dirname "$0")/.."
python3 - <<'CHECK'
import ast
import pathlib

folder = pathlib.Path('review')
paths = [folder / 'case_kit.py', *folder.glob('trials/*/case.py')]
paths += [folder / str(number) / 'case.py' for number in (6, 8, 9, 10)]
for path in paths:
    ast.parse(path.read_text(encoding='utf-8'), str(path))
CHECK
