"""The users' bench: where its programs lie, and what the text that they print says of a run."""

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

_KEPT = "rules kept, no fault"
_DAY_LINE = re.compile(r"^(?P<kind>\S+)\s+G (?P<gain>-?\d\.\d+).* score (?P<score>-?\d\.\d+)", re.MULTILINE)
# Lines that name a break of the acceptance's terms, with how often it happened where they count it.
_FAULT_LINE = re.compile(
    r"^.*(?:\bbroken\b|\bcrash(?:ed)?\b|GATE failed|\bvoid\b|served nobody|not ready|over its limit).*$",
    re.MULTILINE | re.IGNORECASE,
)


@dataclass(frozen=True, slots=True)
class DayResult:
    """One day as the bench judged it."""

    kind: str
    seed: int
    nodes: int
    passed: bool
    score: float | None
    faults: tuple[str, ...]  # the lines that name what broke


@dataclass(frozen=True, slots=True)
class Run:
    """What a program printed, and its exit code; None where it had to be ended."""

    text: str
    code: int | None


def run(arguments: list[str], timeout_s: float, cwd: pathlib.Path = ROOT) -> Run:
    """Run a program of the kit from a checkout's root; OSError where it can't be started."""
    try:
        done = subprocess.run(
            arguments, cwd=cwd, check=False, capture_output=True, text=True, timeout=timeout_s
        )
    except subprocess.TimeoutExpired as expired:
        text = expired.stdout or b""
        return Run(text.decode(errors="replace") if isinstance(text, bytes) else text, None)
    return Run(done.stdout + done.stderr, done.returncode)


def short_day(
    kind: str, seed: int, nodes: int, why: str, site: pathlib.Path = SITE, logs: pathlib.Path | None = None
) -> list[str]:
    """The command that plays one short day, on what `build` left."""
    bench = FLEET_BENCH if kind.endswith("+mass") else SOCKET_BENCH
    size = ["--nodes", str(nodes)] if nodes else []
    kept = ["--logs", str(logs)] if logs else []
    return [
        str(bench), str(site), "--rough", kind, "--seed", str(seed), *size, *kept, "--no-build", "--why", why,
    ]  # fmt: skip


def judge(kind: str, seed: int, nodes: int, played: Run) -> DayResult:
    """What a short day's output says; a day whose verdict can't be found has not passed."""
    score = None
    for line in _DAY_LINE.finditer(played.text):
        score = float(line["score"])
    faults = [line.strip() for line in _FAULT_LINE.findall(played.text)]
    if played.code is None:
        faults.append("ended by the time limit")
    elif played.code:
        faults.append(f"exit code {played.code}")
    passed = _KEPT in played.text and not faults
    if not passed and not faults:
        faults.append("no verdict found")
    return DayResult(kind, seed, nodes, passed, score, tuple(faults))
