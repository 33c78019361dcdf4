"""The pages name only modules, tests and types that the repository has."""

import ast
import re
from pathlib import Path

import pytest

ROOT = Path(__file__).parents[3]
SOURCES = ('galenaswitch', 'standins', 'bench')
# CHANGELOG.md is left out: its old entries name what there was at their time.
PAGES = (
    ROOT / 'README.md',
    ROOT / 'CONTRIBUTING.md',
    *sorted(ROOT.glob('docs/**/*.md')),
)
MODULE = re.compile(r'[\w/]+\.py')
TEST = re.compile(r'test_\w+')
# A type, or a type and one of its members.
TYPE = re.compile(r'([A-Z][a-z]\w*)(?:\.\w+)?')


@pytest.fixture(scope='module')
def module_paths():
    """Paths of all modules, from the root of the repository."""
    return {
        path.relative_to(ROOT).as_posix()
        for folder in SOURCES
        for path in (ROOT / folder).rglob('*.py')
    }


@pytest.fixture(scope='module')
def nodes(module_paths):
    """Nodes of the syntax trees of all modules."""
    return [
        node
        for path in sorted(module_paths)
        for node in ast.walk(ast.parse((ROOT / path).read_text()))
    ]


@pytest.fixture(scope='module')
def words():
    """Pairs of a page and a word that it has in backticks."""
    return [
        (page.relative_to(ROOT).as_posix(), word)
        for page in PAGES
        for word in re.findall('`([^`\n]+)`', page.read_text())
    ]


def test_modules_of_the_pages_exist(words, module_paths):
    """A path is whole, or its first folders are left out."""
    modules = [pair for pair in words if MODULE.fullmatch(pair[1])]
    assert modules
    assert not [
        (page, word)
        for page, word in modules
        if not any(f'/{path}'.endswith(f'/{word}') for path in module_paths)
    ]


def test_tests_of_the_pages_exist(words, nodes):
    """A test is a function of a module of tests."""
    functions = {
        node.name
        for node in nodes
        if isinstance(node, ast.FunctionDef | ast.AsyncFunctionDef)
    }
    tests = [pair for pair in words if TEST.fullmatch(pair[1])]
    assert tests
    assert not [pair for pair in tests if pair[1] not in functions]


def test_types_of_the_pages_exist(words, nodes):
    """A type is defined in the repository, or imported by it."""
    defined = {node.name for node in nodes if isinstance(node, ast.ClassDef)}
    imported = {node.name for node in nodes if isinstance(node, ast.alias)}
    types = [
        (page, match[1])
        for page, word in words
        if (match := TYPE.fullmatch(word))
    ]
    assert types
    assert not [pair for pair in types if pair[1] not in defined | imported]
