"""Plays case 10 as a test; outside the folders that the default run collects."""

from __future__ import annotations

import pathlib
import subprocess

SCRIPT = pathlib.Path(__file__).resolve().parent / "run.sh"


def test_the_rule_holds() -> None:
    assert subprocess.run([str(SCRIPT)], timeout=150, check=False).returncode == 0
