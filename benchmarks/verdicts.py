"""Run the test suite several times from a fresh clone to find flaky tests.

    python benchmarks/verdicts.py                        # ten runs, the last five with all cores busy
    python benchmarks/verdicts.py --runs 4 --loaded 2 --tests tests/test_platform.py

Prints a line for each run, then the slowest tests and those that failed in some runs. Exits with 1 if any run
failed.
"""

from __future__ import annotations

import argparse
import multiprocessing
import os
import pathlib
import subprocess
import sys
import tempfile
import time
import xml.etree.ElementTree as ElementTree
from collections import defaultdict
from multiprocessing.process import BaseProcess
from statistics import median

ROOT = pathlib.Path(__file__).parent.parent
RUN_TIMEOUT_S = 1200.0
FAILURE_LINES = 12  # printed for each failure


def use_cpu(until_s: float) -> None:
    """Use a core until a monotonic time."""
    while time.monotonic() < until_s:
        sum(range(10_000))


def clone(folder: pathlib.Path) -> pathlib.Path:
    """Clone the repository and install it in a new environment; return the environment's interpreter."""
    discarded = subprocess.DEVNULL
    subprocess.run(["git", "clone", "-q", str(ROOT), str(folder)], check=True)
    subprocess.run([sys.executable, "-m", "venv", str(folder / ".venv")], check=True)
    python = folder / ".venv" / "bin" / "python"
    install = [str(python), "-m", "pip", "-q", "install", "-e", ".[dev]"]
    subprocess.run(install, cwd=folder, check=True, stdout=discarded, stderr=discarded)
    return python


def run_tests(
    python: pathlib.Path, folder: pathlib.Path, tests: list[str]
) -> tuple[float, dict[str, tuple[float, str]]]:
    """Run the suite; return its duration, and each test's duration and failure message."""
    report = folder / "report.xml"
    report.unlink(missing_ok=True)
    began_s = time.monotonic()
    command = [str(python), "-m", "pytest", "-q", f"--junitxml={report}", *tests]
    discarded = subprocess.DEVNULL
    subprocess.run(
        command, check=False, cwd=folder, timeout=RUN_TIMEOUT_S, stdout=discarded, stderr=discarded
    )
    took_s = time.monotonic() - began_s
    results: dict[str, tuple[float, str]] = {}
    for case in ElementTree.parse(report).iter("testcase"):
        messages = [child.get("message") or child.tag for child in case if child.tag in ("failure", "error")]
        name = f"{case.get('classname')}::{case.get('name')}"
        results[name] = float(case.get("time") or 0.0), "\n".join(messages)
    return took_s, results


def main() -> int:
    """Run the suite repeatedly; return 0 if every run passed and ran tests, else 1."""
    formatter = argparse.RawDescriptionHelpFormatter
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=formatter)
    parser.add_argument("--runs", type=int, default=10)
    parser.add_argument(
        "--loaded", type=int, default=5, help="number of runs, the last ones, with all cores busy"
    )
    parser.add_argument("--tests", nargs="*", default=[])
    options = parser.parse_args()
    times: dict[str, list[float]] = defaultdict(list)
    failed: dict[str, int] = defaultdict(int)
    passed_runs = 0
    with tempfile.TemporaryDirectory(prefix="saffronstack-verdicts-") as name:
        folder = pathlib.Path(name) / "clone"
        python = clone(folder)
        for run_index in range(options.runs):
            loaded = run_index >= options.runs - options.loaded
            load_processes: list[BaseProcess] = []
            if loaded:
                until_s = time.monotonic() + RUN_TIMEOUT_S
                load_processes = [
                    multiprocessing.Process(target=use_cpu, args=(until_s,), daemon=True)
                    for _ in range(os.cpu_count() or 1)
                ]
                for load_process in load_processes:
                    load_process.start()
            try:
                took_s, results = run_tests(python, folder, options.tests)
            finally:
                for load_process in load_processes:
                    load_process.terminate()
                    load_process.join()
            failures = {test: messages for test, (_, messages) in results.items() if messages}
            passed_runs += bool(results) and not failures
            for test, (seconds, _) in results.items():
                times[test].append(seconds)
            for test in failures:
                failed[test] += 1
            load_note = " with all cores busy" if loaded else ""
            print(
                f"run {run_index + 1}: {len(results)} tests, {len(failures)} failed, "
                f"{took_s:.0f} s{load_note}",
                flush=True,
            )
            for test, messages in failures.items():
                print(f"  failed: {test}", flush=True)
                print(
                    "\n".join(f"    {line[:200]}" for line in messages.splitlines()[:FAILURE_LINES]),
                    flush=True,
                )
    print("\nslowest (median seconds, most):")
    for test, durations_s in sorted(times.items(), key=lambda item: -median(item[1]))[:15]:
        print(f"  {median(durations_s):6.1f} {max(durations_s):6.1f}  {test}")
    print("\nfailed in some runs:" if failed else "\nno test failed in any run")
    for test, count in sorted(failed.items(), key=lambda item: -item[1]):
        print(f"  {count} of {options.runs}  {test}")
    print(f"\n{passed_runs} of {options.runs} runs passed")
    return 0 if passed_runs == options.runs else 1


if __name__ == "__main__":
    sys.exit(main())
