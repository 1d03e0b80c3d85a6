"""Restart a real gateway whose clients keep their connections until the kill deadline, over many seeds.

    python benchmarks/soak.py                          # seeds 1 to 50
    python benchmarks/soak.py --seeds 17 --log         # one seed, with the gateway's log
    python benchmarks/soak.py --seeds 1-5 --defect "ends before the kill"
    python benchmarks/soak.py --http 1                 # `saffronstack serve`, one process; --http 3: three
    python benchmarks/soak.py --restart                # `serve` starts again on its ledger

Prints a line for each seed; for a failed one, also its schedule and its breaches. Exits with 1 if a rule was
broken.
"""

from __future__ import annotations

import argparse
import pathlib
import sys
import tempfile
from collections import Counter
from concurrent.futures import ThreadPoolExecutor

from seeds import parse_seeds

from saffronstack.harness.soak import http_play, restart_play
from saffronstack.harness.soak.defects import DEFECTS
from saffronstack.harness.soak.platform_play import PlatformRun, RunResult
from saffronstack.harness.soak.schedule import Schedule, draw

MAX_BREACHES_SHOWN = 5


def run_platform_schedule(schedule: Schedule, folder: pathlib.Path, options: argparse.Namespace) -> RunResult:
    """Run one schedule and print its line."""
    run = PlatformRun(schedule, folder, DEFECTS[options.defect] if options.defect else "").run()
    report = run.report
    ended = f"ended +{report.ended_after_s:.2f}" if report.ended_after_s is not None else "killed"
    text = (
        f"{schedule.seed:>5} {len(report.breaches):>4} breaches  {ended:<12} {dict(report.response_counts)}"
    )
    text += f" in the margin {report.within_margin}, crossed {report.crossed}"
    text += f" (of busy clients {report.busy_crossed})"
    if report.breaches:
        text += f"\n      {schedule.describe()}"
        text += "".join(f"\n      {breach}" for breach in report.breaches[:MAX_BREACHES_SHOWN])
    if options.log:
        text += f"\n{run.log}"
    print(text, flush=True)
    return run


def run_http_schedule(seed: int, folder: pathlib.Path, processes: int) -> http_play.HttpReport:
    """Run one shutdown of the HTTP gateway and print its line."""
    schedule = http_play.draw(seed, processes)
    report = http_play.HttpRun(schedule, folder).run()
    ended = f"ended +{report.ended_after_s:.2f}"
    text = f"{seed:>5} {len(report.breaches):>4} breaches  {ended}  {dict(report.outcomes)}"
    if report.breaches:
        text += f"\n      {schedule}"
        text += "".join(f"\n      {breach}" for breach in report.breaches[:MAX_BREACHES_SHOWN])
    print(text, flush=True)
    return report


def run_http_seeds(options: argparse.Namespace, folder: pathlib.Path, pool: ThreadPoolExecutor) -> int:
    """Run all seeds on the HTTP gateway; return the exit status."""
    reports = list(pool.map(lambda seed: run_http_schedule(seed, folder, options.http), options.seeds))
    failed = sum(bool(report.breaches) for report in reports)
    outcomes = sum((report.outcomes for report in reports), Counter[str]())
    slowest_s = max(report.ended_after_s for report in reports)
    print(f"{len(reports)} seeds, {failed} with breaches; {dict(outcomes)}; slowest exit +{slowest_s:.2f} s")
    return 1 if failed else 0


def run_restart_schedule(seed: int, folder: pathlib.Path) -> restart_play.RestartReport:
    """Run one restart on a ledger and print its line."""
    schedule = restart_play.draw(seed)
    report = restart_play.RestartRun(schedule, folder / f"restart-{seed}").run()
    end = "killed" if schedule.is_killed else "ended "
    text = f"{seed:>5} {len(report.breaches):>4} breaches  {end} {dict(report.outcomes)}"
    text += f" final records {dict(report.conditions)}"
    text += "".join(f"\n      {breach}" for breach in report.breaches[:MAX_BREACHES_SHOWN])
    print(text, flush=True)
    return report


def run_restart_seeds(options: argparse.Namespace, folder: pathlib.Path, pool: ThreadPoolExecutor) -> int:
    """Run all restarts on a ledger; return the exit status."""
    reports = list(pool.map(lambda seed: run_restart_schedule(seed, folder), options.seeds))
    failed = sum(bool(report.breaches) for report in reports)
    conditions = sum((report.conditions for report in reports), Counter[str]())
    print(f"{len(reports)} seeds, {failed} with breaches; final records {dict(conditions)}")
    return 1 if failed else 0


def main() -> int:
    """Run all seeds; return the exit status."""
    formatter = argparse.RawDescriptionHelpFormatter
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=formatter)
    parser.add_argument("--seeds", type=parse_seeds, default=parse_seeds("1-50"), help="as in 1-10,42")
    parser.add_argument("--jobs", type=int, default=3, help="runs in parallel")
    parser.add_argument(
        "--defect", choices=sorted(DEFECTS), default="", help="run a gateway with this defect"
    )
    parser.add_argument("--log", action="store_true", help="print the gateway's log")
    parser.add_argument("--http", type=int, default=0, metavar="N", help="`serve` with N processes")
    parser.add_argument("--restart", action="store_true", help="`serve`, started again on its ledger")
    options = parser.parse_args()
    with tempfile.TemporaryDirectory() as folder, ThreadPoolExecutor(options.jobs) as pool:
        if options.restart:
            return run_restart_seeds(options, pathlib.Path(folder), pool)
        if options.http:
            return run_http_seeds(options, pathlib.Path(folder), pool)
        schedules = [draw(seed) for seed in options.seeds]
        runs = list(
            pool.map(lambda run: run_platform_schedule(run, pathlib.Path(folder), options), schedules)
        )
    response_counts = sum((run.report.response_counts for run in runs), Counter[str]())
    failed = sum(bool(run.report.breaches) for run in runs)
    crossed = sum(run.report.crossed for run in runs)
    busy_crossed = sum(run.report.busy_crossed for run in runs)
    text = f"{len(runs)} seeds, {failed} with breaches; responses {dict(response_counts)}"
    print(f"{text}, crossed {crossed} (of busy clients {busy_crossed})")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
