"""Restarts of a real gateway under clients that keep their connections until the kill, over many seeds.

    python benchmarks/soak.py                          # seeds 1 to 50
    python benchmarks/soak.py --seeds 17 --log         # one again, with the gateway's log
    python benchmarks/soak.py --seeds 1-5 --defect "ends before the kill"
    python benchmarks/soak.py --http 1                 # `saffronstack serve`, one process; --http 3: three
    python benchmarks/soak.py --restart                # `serve` starts again on its ledger

Prints a line for each seed, and for a failing one its schedule and its breaches. Ends with 1 where a rule was
broken.
"""

from __future__ import annotations

import argparse
import pathlib
import sys
import tempfile
from collections import Counter
from concurrent.futures import ThreadPoolExecutor

from seeds import seeds_of

from saffronstack.harness.soak import http_play, restart_play
from saffronstack.harness.soak.defects import DEFECTS
from saffronstack.harness.soak.platform_play import PlatformRun, RunResult
from saffronstack.harness.soak.schedule import Schedule, draw

MAX_BREACHES_SHOWN = 5


def play(schedule: Schedule, folder: pathlib.Path, options: argparse.Namespace) -> RunResult:
    """Play one schedule and print its line."""
    played = PlatformRun(schedule, folder, DEFECTS[options.defect] if options.defect else "").run()
    verdict = played.report
    ended = f"ended +{verdict.ended_after_s:.2f}" if verdict.ended_after_s is not None else "killed"
    text = (
        f"{schedule.seed:>5} {len(verdict.breaches):>4} breaches  {ended:<12} {dict(verdict.response_counts)}"
    )
    text += f" in the margin {verdict.within_margin}, crossed {verdict.crossed}"
    text += f" (of busy clients {verdict.busy_crossed})"
    if verdict.breaches:
        text += f"\n      {schedule.describe()}"
        text += "".join(f"\n      {breach}" for breach in verdict.breaches[:MAX_BREACHES_SHOWN])
    if options.log:
        text += f"\n{played.log}"
    print(text, flush=True)
    return played


def play_http(seed: int, folder: pathlib.Path, processes: int) -> http_play.HttpReport:
    """Play one SIGTERM on the HTTP gateway and print its line."""
    schedule = http_play.draw(seed, processes)
    verdict = http_play.HttpRun(schedule, folder).run()
    ended = f"ended +{verdict.ended_after_s:.2f}"
    text = f"{seed:>5} {len(verdict.breaches):>4} breaches  {ended}  {dict(verdict.outcomes)}"
    if verdict.breaches:
        text += f"\n      {schedule}"
        text += "".join(f"\n      {breach}" for breach in verdict.breaches[:MAX_BREACHES_SHOWN])
    print(text, flush=True)
    return verdict


def main_http(options: argparse.Namespace, folder: pathlib.Path, pool: ThreadPoolExecutor) -> int:
    """Play all seeds on the HTTP gateway."""
    verdicts = list(pool.map(lambda seed: play_http(seed, folder, options.http), options.seeds))
    failed = sum(bool(one.breaches) for one in verdicts)
    ends = sum((one.outcomes for one in verdicts), Counter[str]())
    slowest_s = max(one.ended_after_s for one in verdicts)
    print(f"{len(verdicts)} seeds, {failed} with breaches; {dict(ends)}; the slowest end +{slowest_s:.2f} s")
    return 1 if failed else 0


def play_restart(seed: int, folder: pathlib.Path) -> restart_play.RestartReport:
    """Play one restart on a ledger and print its line."""
    schedule = restart_play.draw(seed)
    verdict = restart_play.RestartRun(schedule, folder / f"restart-{seed}").run()
    end = "killed" if schedule.is_killed else "ended "
    text = f"{seed:>5} {len(verdict.breaches):>4} breaches  {end} {dict(verdict.outcomes)}"
    text += f" final records {dict(verdict.conditions)}"
    text += "".join(f"\n      {breach}" for breach in verdict.breaches[:MAX_BREACHES_SHOWN])
    print(text, flush=True)
    return verdict


def main_restart(options: argparse.Namespace, folder: pathlib.Path, pool: ThreadPoolExecutor) -> int:
    """Play all seeds of restarts on a ledger."""
    verdicts = list(pool.map(lambda seed: play_restart(seed, folder), options.seeds))
    failed = sum(bool(one.breaches) for one in verdicts)
    conditions = sum((one.conditions for one in verdicts), Counter[str]())
    print(f"{len(verdicts)} seeds, {failed} with breaches; final records {dict(conditions)}")
    return 1 if failed else 0


def main() -> int:
    """See above."""
    plain = argparse.RawDescriptionHelpFormatter
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=plain)
    parser.add_argument("--seeds", type=seeds_of, default=seeds_of("1-50"), help="as in 1-10,42")
    parser.add_argument("--jobs", type=int, default=3, help="plays at one time")
    parser.add_argument("--defect", choices=sorted(DEFECTS), default="", help="play a broken variant")
    parser.add_argument("--log", action="store_true", help="print the gateway's log")
    parser.add_argument("--http", type=int, default=0, metavar="N", help="`serve` with so many processes")
    parser.add_argument("--restart", action="store_true", help="`serve`, started again on its ledger")
    options = parser.parse_args()
    with tempfile.TemporaryDirectory() as folder, ThreadPoolExecutor(options.jobs) as pool:
        if options.restart:
            return main_restart(options, pathlib.Path(folder), pool)
        if options.http:
            return main_http(options, pathlib.Path(folder), pool)
        schedules = [draw(seed) for seed in options.seeds]
        played = list(pool.map(lambda one: play(one, pathlib.Path(folder), options), schedules))
    answers = sum((one.report.response_counts for one in played), Counter[str]())
    failed = sum(bool(one.report.breaches) for one in played)
    crossed = sum(one.report.crossed for one in played)
    busy_crossed = sum(one.report.busy_crossed for one in played)
    text = f"{len(played)} seeds, {failed} with breaches; answers {dict(answers)}"
    print(f"{text}, crossed {crossed} (of busy clients {busy_crossed})")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
