"""docs/log-events.md lists the log events of the code: each one, and no other."""

from __future__ import annotations

import ast
import pathlib
import re

ROOT = pathlib.Path(__file__).parent.parent
PAGE = ROOT / "docs" / "log-events.md"
LEVELS = {"info", "warning", "error", "exception"}
NOT_IN_SERVICE = {"harness", "standin", "bench", "audit"}  # their lines are read by tests alone


def is_logger(node: ast.expr) -> bool:
    """Whether a call's object is a logger, by the names that the code gives them."""
    name = node.id if isinstance(node, ast.Name) else node.attr if isinstance(node, ast.Attribute) else ""
    return name.strip("_") in {"log", "logger"}


def events_of(path: pathlib.Path) -> set[str]:
    """Return the constant events that a file logs."""
    return {
        node.args[0].value
        for node in ast.walk(ast.parse(path.read_text()))
        if isinstance(node, ast.Call)
        and isinstance(node.func, ast.Attribute)
        and node.func.attr in LEVELS
        and is_logger(node.func.value)
        and node.args
        and isinstance(node.args[0], ast.Constant)
        and isinstance(node.args[0].value, str)
    }


def logged_events() -> set[str]:
    """Return the events of all programs in service."""
    package = ROOT / "saffronstack"
    files = [
        path for path in package.rglob("*.py") if path.relative_to(package).parts[0] not in NOT_IN_SERVICE
    ]
    return set().union(*map(events_of, files))


def listed_events() -> set[str]:
    """Return the events in the first column of the page's tables."""
    rows = [line.split("|")[1] for line in PAGE.read_text().splitlines() if line.startswith("| `")]
    return {event for row in rows for event in re.findall(r"`([^`]+)`", row)}


def test_every_log_event_is_listed_with_what_to_do() -> None:
    assert logged_events() - listed_events() == set()


def test_no_listed_event_is_gone() -> None:
    assert listed_events() - logged_events() == set()


def test_events_are_found() -> None:
    assert {"decision failed", "lease lost", "takes calls"} <= logged_events()
