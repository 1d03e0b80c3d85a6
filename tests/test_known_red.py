"""The list of tests that may fail for a known fault: each runs of pytest over a small suite of its own."""

from __future__ import annotations

import os
import pathlib
import subprocess
import sys

import pytest

ROOT = pathlib.Path(__file__).parent.parent
SUITE = """
def test_fails():
    assert False

def test_passes():
    pass
"""
CONFTEST = """
from tests.support.known_red import KnownRed

def pytest_configure(config):
    config.pluginmanager.register(KnownRed(config.rootpath), "known-red")
"""


@pytest.fixture(params=["0", "2"])
def workers(request: pytest.FixtureRequest) -> str:
    return str(request.param)


def play(folder: pathlib.Path, listed: str, workers: str = "0") -> tuple[int, str]:
    """Exit code and output of a run over the small suite."""
    (folder / "pytest.ini").write_text("[pytest]\n")
    (folder / "conftest.py").write_text(CONFTEST)
    (folder / "test_small.py").write_text(SUITE)
    if listed:
        (folder / "KNOWN-RED.txt").write_text(listed)
    environment = {key: value for key, value in os.environ.items() if not key.startswith("PYTEST_")}
    run = subprocess.run(
        [sys.executable, "-m", "pytest", "-n", workers, "-p", "no:cacheprovider", str(folder)], cwd=folder,
        env={**environment, "PYTHONPATH": str(ROOT)}, check=False, capture_output=True, text=True, timeout=60,
    )  # fmt: skip
    return run.returncode, run.stdout + run.stderr


def test_without_a_list_a_failing_test_fails_the_run(tmp_path: pathlib.Path) -> None:
    assert play(tmp_path, "")[0] == 1


def test_a_listed_test_runs_is_printed_with_its_cause_and_fails_no_run(
    tmp_path: pathlib.Path, workers: str
) -> None:
    code, text = play(tmp_path, "test_small.py::test_fails | a clock that steps | 27\n", workers)
    assert code == 0
    assert "test_small.py::test_fails: failed; a clock that steps (27)" in text


def test_a_listed_test_that_passes_is_printed_too(tmp_path: pathlib.Path, workers: str) -> None:
    listed = "test_small.py::test_fails | a clock | 27\ntest_small.py::test_passes | mended? | 27\n"
    code, text = play(tmp_path, listed, workers)
    assert code == 0
    assert "test_small.py::test_passes: passed; mended? (27)" in text


def test_only_the_listed_ones_may_fail(tmp_path: pathlib.Path, workers: str) -> None:
    code, _ = play(tmp_path, "test_small.py::test_passes | none | 27\n", workers)
    assert code == 1


@pytest.mark.parametrize(
    ("listed", "said"),
    [
        ("test_small.py::test_fails | a | 1\n" * 4, "3 at most"),
        ("test_small.py::test_unheard_of | a | 1\n", "no such test"),
        ("test_gone.py::test_fails | a | 1\n", "no such test"),
        ("test_small.py::test_fails | a\n", "test | cause | issue"),
    ],
)
def test_a_list_that_breaks_its_form_fails_the_run(
    tmp_path: pathlib.Path, workers: str, listed: str, said: str
) -> None:
    code, text = play(tmp_path, listed, workers)
    assert code not in (0, 5)
    assert said in text
