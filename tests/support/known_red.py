"""Tests that fail for a fault which is known and not mended yet: they run, are printed, and fail no run.

``KNOWN-RED.txt`` at the root holds one line for each, three at most: ``test id | cause | issue``."""

from __future__ import annotations

import pathlib
from dataclasses import dataclass

import pytest

FILE = "KNOWN-RED.txt"
MAX_ENTRIES = 3


@dataclass(frozen=True)
class Entry:
    """One line of the file."""

    test: str
    cause: str
    issue: str


def read(path: pathlib.Path) -> list[Entry]:
    """The file's entries, none where there is no file; `pytest.UsageError` where it breaks its own form."""
    if not path.is_file():
        return []
    lines = [line.strip() for line in path.read_text().splitlines() if line.strip()]
    if len(lines) > MAX_ENTRIES:
        raise pytest.UsageError(f"{path.name} holds {len(lines)} tests, {MAX_ENTRIES} at most")
    entries = []
    for line in lines:
        parts = [part.strip() for part in line.split("|")]
        if len(parts) != 3 or not all(parts):
            raise pytest.UsageError(f"{path.name}: not 'test | cause | issue': {line!r}")
        entries.append(Entry(*parts))
    return entries


def defined(root: pathlib.Path, test: str) -> bool:
    """Whether the file that a test id names defines a function of its name."""
    file, _, name = test.partition("::")
    function = name.rpartition("::")[2].partition("[")[0]
    path = root / file
    return bool(function) and path.is_file() and f"def {function}(" in path.read_text()


class KnownRed:
    """The plugin; it is registered in every process of a run."""

    def __init__(self, root: pathlib.Path) -> None:
        self.root = root
        self.entries = read(root / FILE)
        for entry in self.entries:
            if not defined(root, entry.test):
                raise pytest.UsageError(f"{FILE}: no such test: {entry.test}")

    @pytest.hookimpl(tryfirst=True)
    def pytest_collection_modifyitems(self, items: list[pytest.Item]) -> None:
        """Let listed tests fail; one that names no test of a file that was collected is refused."""
        collected = {item.nodeid.partition("::")[0] for item in items}
        for entry in self.entries:
            found = [item for item in items if item.nodeid == entry.test]
            if not found and entry.test.partition("::")[0] in collected:  # its parameters name none, say
                raise pytest.UsageError(f"{FILE}: no such test: {entry.test}")
            for item in found:
                reason = f"{entry.cause} ({entry.issue})"
                item.add_marker(pytest.mark.xfail(reason=reason, strict=False))

    def pytest_terminal_summary(self, terminalreporter: pytest.TerminalReporter) -> None:
        """Name each with its cause and what became of it."""
        if not self.entries:
            return
        outcomes = {
            report.nodeid.partition("@")[0]: word
            for word, kind in (("failed", "xfailed"), ("passed", "xpassed"))
            for report in terminalreporter.stats.get(kind, [])
        }
        terminalreporter.section("known red")
        for entry in self.entries:
            outcome = outcomes.get(entry.test, "not run")
            terminalreporter.line(f"{entry.test}: {outcome}; {entry.cause} ({entry.issue})")
