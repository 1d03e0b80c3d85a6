"""Keeps the files of tests in memory if there is enough space, and shares a bytecode cache between processes.

On the disk of a shared machine, an fsync of a small file took 3 ms, one in a hundred 0.23 s, and 0.44 s at
most. Lease servers, whose clients wait half a second for a whole exchange, then time out, and gateways lose
their leases although the code is correct. Disk faults are simulated by the tests' own file layers.

Without the shared bytecode cache, each process that a test starts compiles the whole program.
"""

from __future__ import annotations

import hashlib
import os
import pathlib
import shutil
import tempfile

import pytest

from tests.support.known_red import OPTION, KnownRed, add_option

TMPFS = pathlib.Path("/dev/shm")
MIN_FREE_BYTES = 2 << 30


def _use_memory_for_files() -> None:
    """Let pytest create its temporary directories in memory, under one root for each checkout.

    A run removes the directories of earlier runs under its root. If concurrent runs of several checkouts
    shared a root, they would remove each other's directories, and all tests that use one would fail in their
    setup.
    """
    if not os.access(TMPFS, os.W_OK) or shutil.disk_usage(TMPFS).free <= MIN_FREE_BYTES:
        return
    checkout = hashlib.sha256(str(pathlib.Path(__file__).resolve()).encode()).hexdigest()[:12]
    root = TMPFS / f"saffronstack-tests-{checkout}"
    root.mkdir(exist_ok=True)
    os.environ.setdefault("PYTEST_DEBUG_TEMPROOT", str(root))


_use_memory_for_files()


def pytest_addoption(parser: pytest.Parser) -> None:
    """Add the option that makes a run ignore the list of known failures."""
    add_option(parser)


def pytest_configure(config: pytest.Config) -> None:
    """Register the list of known failures, and share a bytecode cache between the processes of the run."""
    config.pluginmanager.register(KnownRed(config.rootpath, config.getoption(OPTION)), "known-red")
    if "PYTEST_XDIST_WORKER" not in os.environ:
        _share_bytecode(config)


def _share_bytecode(config: pytest.Config) -> None:
    """Create a bytecode directory for this run; xdist workers and their child processes inherit it."""
    directory = tempfile.mkdtemp(prefix="saffronstack-bytecode-", dir=os.environ.get("PYTEST_DEBUG_TEMPROOT"))
    os.environ.pop("PYTHONDONTWRITEBYTECODE", None)
    os.environ["PYTHONPYCACHEPREFIX"] = directory
    config.add_cleanup(lambda: shutil.rmtree(pathlib.Path(directory), ignore_errors=True))


@pytest.hookimpl(trylast=True)
def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    """Check that pytest-xdist honours test groups, which run heavy tests one at a time.

    With some versions of pytest, the plugin silently ignores the groups, and results depend on the tests
    that run at the same time.
    """
    if "PYTEST_XDIST_WORKER" not in os.environ:
        return
    grouped = [item for item in items if item.get_closest_marker("xdist_group")]
    ignored = [item.nodeid for item in grouped if "@" not in item.nodeid.rpartition("]")[2]]
    if ignored:
        raise pytest.UsageError(f"groups of tests are not honoured: {ignored[0]}")
