"""Runs the programs of the users' bench and parses what they print."""

from __future__ import annotations

import pathlib
import re
import subprocess
from dataclasses import dataclass

ROOT = pathlib.Path(__file__).parent.parent
KIT = ROOT.parent / "given" / "kit"
SITE = KIT / "more" / "node" / "sites" / "campus-books.toml"
FLEET_BENCH = KIT / "more" / "mass" / "bin" / "lbreal"
SOCKET_BENCH = KIT / "more" / "node" / "bin" / "lbreal"
SIMULATOR = KIT / "bin" / "lbsim"

_PASSED_TEXT = "rules kept, no fault"
_SCORE_LINE = re.compile(r"^(?P<kind>\S+)\s+G (?P<gain>-?\d\.\d+).* score (?P<score>-?\d\.\d+)", re.MULTILINE)
# Lines that name a violated acceptance criterion, some with a count.
_FAULT_LINE = re.compile(
    r"^.*(?:\bbroken\b|\bcrash(?:ed)?\b|GATE failed|\bvoid\b|served nobody|not ready|over its limit).*$",
    re.MULTILINE | re.IGNORECASE,
)


@dataclass(frozen=True, slots=True)
class ScenarioResult:
    """The result of one scenario as the bench reports it."""

    kind: str
    seed: int
    nodes: int
    passed: bool
    score: float | None
    faults: tuple[str, ...]  # the lines that name a violation


@dataclass(frozen=True, slots=True)
class ProgramOutput:
    """The output and the exit code of a program; the code is None if the program timed out."""

    text: str
    code: int | None


def run_program(arguments: list[str], timeout_s: float, cwd: pathlib.Path = ROOT) -> ProgramOutput:
    """Run a program of the bench in a checkout's root; raise OSError if it can't be started."""
    try:
        completed = subprocess.run(
            arguments, cwd=cwd, check=False, capture_output=True, text=True, timeout=timeout_s
        )
    except subprocess.TimeoutExpired as expired:
        text = expired.stdout or b""
        return ProgramOutput(text.decode(errors="replace") if isinstance(text, bytes) else text, None)
    return ProgramOutput(completed.stdout + completed.stderr, completed.returncode)


def short_scenario_command(
    kind: str, seed: int, nodes: int, why: str, site: pathlib.Path = SITE, logs: pathlib.Path | None = None
) -> list[str]:
    """Return the command that runs one short scenario on the existing build."""
    bench = FLEET_BENCH if kind.endswith("+mass") else SOCKET_BENCH
    size_options = ["--nodes", str(nodes)] if nodes else []
    log_options = ["--logs", str(logs)] if logs else []
    return [
        str(bench), str(site), "--rough", kind, "--seed", str(seed), *size_options, *log_options,
        "--no-build", "--why", why,
    ]  # fmt: skip


def parse_result(kind: str, seed: int, nodes: int, output: ProgramOutput) -> ScenarioResult:
    """Parse the output of a short scenario; output without a verdict counts as failed."""
    score = None
    for line in _SCORE_LINE.finditer(output.text):
        score = float(line["score"])
    faults = [line.strip() for line in _FAULT_LINE.findall(output.text)]
    if output.code is None:
        faults.append("timed out")
    elif output.code:
        faults.append(f"exit code {output.code}")
    passed = _PASSED_TEXT in output.text and not faults
    if not passed and not faults:
        faults.append("no verdict found")
    return ScenarioResult(kind, seed, nodes, passed, score, tuple(faults))
