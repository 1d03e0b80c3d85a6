"""Checks that the routing package has no I/O, clocks or threads, and that its files and functions are short.

These checks replace a line limit on a single decision module.
"""

from __future__ import annotations

import ast
import pathlib
from collections.abc import Iterator

import pytest

ROUTING = pathlib.Path(__file__).parents[2] / "saffronstack" / "routing"
FILES = sorted(ROUTING.rglob("*.py"))
# Standard library modules that do not open files or sockets, read a clock or start a thread. `random` is
# allowed for seeded instances only, which a test below checks.
PURE = {
    "__future__",
    "bisect",
    "collections",
    "collections.abc",
    "dataclasses",
    "enum",
    "heapq",
    "math",
    "random",
    "typing",
}
IMPURE_NAMES = {"open", "print", "input", "exec", "eval", "compile", "__import__", "breakpoint"}
MAX_FILE_LINES = 400
MAX_CLASS_LINES = 250
MAX_FUNCTION_LINES = 40
MAX_ROUTER_LINES = 250


def nodes(path: pathlib.Path) -> Iterator[ast.AST]:
    """Yield every syntax tree node of a file."""
    yield from ast.walk(ast.parse(path.read_text()))


def imported_modules(path: pathlib.Path) -> set[str]:
    """Return the modules that a file imports."""
    found = set()
    for node in nodes(path):
        if isinstance(node, ast.Import):
            found |= {alias.name for alias in node.names}
        elif isinstance(node, ast.ImportFrom):
            assert node.level == 0, "imports are absolute"
            found.add(str(node.module))
    return found


def line_count(node: ast.AST) -> int:
    """Return the number of lines of a class or function, including decorators."""
    assert isinstance(node, ast.ClassDef | ast.FunctionDef | ast.AsyncFunctionDef)
    first = min([node.lineno, *(decorator.lineno for decorator in node.decorator_list)])
    return (node.end_lineno or first) - first + 1


def test_the_routing_package_is_scanned() -> None:
    assert {"router.py", "placement.py", "slow_start.py"} <= {path.name for path in FILES}


@pytest.mark.parametrize("path", FILES, ids=lambda path: path.name)
def test_a_module_imports_only_pure_modules_and_its_own_package(path: pathlib.Path) -> None:
    for name in imported_modules(path):
        assert name in PURE or name.startswith("saffronstack.routing"), (path.name, name)


@pytest.mark.parametrize("path", FILES, ids=lambda path: path.name)
def test_a_module_calls_nothing_that_does_input_or_output(path: pathlib.Path) -> None:
    names = {node.id for node in nodes(path) if isinstance(node, ast.Name)}
    assert not names & IMPURE_NAMES


@pytest.mark.parametrize("path", FILES, ids=lambda path: path.name)
def test_random_numbers_come_from_a_seeded_generator(path: pathlib.Path) -> None:
    used = {
        node.attr
        for node in nodes(path)
        if isinstance(node, ast.Attribute) and isinstance(node.value, ast.Name) and node.value.id == "random"
    }
    assert used <= {"Random"}
    assert not any(isinstance(node, ast.ImportFrom) and node.module == "random" for node in nodes(path))


@pytest.mark.parametrize("path", FILES, ids=lambda path: path.name)
def test_files_classes_and_functions_are_short(path: pathlib.Path) -> None:
    assert len(path.read_text().splitlines()) <= MAX_FILE_LINES
    for node in nodes(path):
        if isinstance(node, ast.ClassDef):
            assert line_count(node) <= MAX_CLASS_LINES, node.name
        elif isinstance(node, ast.FunctionDef | ast.AsyncFunctionDef):
            assert line_count(node) <= MAX_FUNCTION_LINES, node.name


def test_the_router_itself_stays_short() -> None:
    assert len((ROUTING / "router.py").read_text().splitlines()) < MAX_ROUTER_LINES
