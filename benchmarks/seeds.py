"""Run short scenarios of the users' bench over many seeds and print a table of the results.

    python benchmarks/seeds.py                                 # roll, split, join; seeds 1 to 10; 30 gateways
    python benchmarks/seeds.py --kinds roll+mass --seeds 11-20 --jobs 2 --logs /tmp/logs
    python benchmarks/seeds.py --kinds reload,term --nodes 0    # real sockets, default gateway count

Each scenario run writes its journal, which is committed. A failed scenario does not stop the run. Exits with
1 if any scenario broke a rule, crashed or left a request unanswered, and with 2 if the bench is missing.
"""

from __future__ import annotations

import argparse
import pathlib
import sys
from concurrent.futures import ThreadPoolExecutor

import kit

KINDS = "roll+mass,split+mass,join+mass"
SCENARIO_TIMEOUT_S = 900.0
MAX_SCENARIOS = 400


def parse_seeds(text: str) -> list[int]:
    """Parse seeds such as ``1-10,42``; raise ValueError."""
    seeds: list[int] = []
    for part in text.split(","):
        first, _, last = part.partition("-")
        seeds.extend(range(int(first), int(last or first) + 1))
    return seeds


def run_scenario(kind: str, seed: int, options: argparse.Namespace) -> kit.ScenarioResult:
    """Run one scenario and print its line."""
    logs = options.logs / f"{kind}-{seed}" if options.logs else None
    command = kit.short_scenario_command(kind, seed, options.nodes, options.why, options.site, logs)
    output = kit.run_program(command, SCENARIO_TIMEOUT_S)
    if options.output:
        (options.output / f"{kind}-{seed}.txt").write_text(output.text)
    result = kit.parse_result(kind, seed, options.nodes, output)
    score = "-" if result.score is None else f"{result.score:.2f}"
    status = "passed" if result.passed else "FAILED"
    print(f"{kind:<14}{seed:>5}{status:>9}{score:>7}  {'; '.join(result.faults)[:300]}", flush=True)
    return result


def main() -> int:
    """Run all scenarios; return the exit status."""
    formatter = argparse.RawDescriptionHelpFormatter
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=formatter)
    parser.add_argument("--kinds", default=KINDS, help="scenarios, separated by commas")
    parser.add_argument("--seeds", type=parse_seeds, default=parse_seeds("1-10"), help="as in 1-10,42")
    parser.add_argument("--nodes", type=int, default=30, help="gateways; 0: the number of the scenario")
    parser.add_argument("--jobs", type=int, default=4, help="scenarios in parallel")
    parser.add_argument("--site", type=pathlib.Path, default=kit.SITE)
    parser.add_argument("--logs", type=pathlib.Path, help="directory for the gateways' logs")
    parser.add_argument("--output", type=pathlib.Path, help="directory for the output of the bench")
    parser.add_argument("--why", default="short days over seeds")
    options = parser.parse_args()
    if not options.site.is_file():
        print(f"no bench at {kit.KIT}", file=sys.stderr)
        return 2
    scenarios = [(kind, seed) for kind in options.kinds.split(",") for seed in options.seeds]
    if len(scenarios) > MAX_SCENARIOS:
        parser.error(f"{len(scenarios)} scenarios, {MAX_SCENARIOS} at most")
    if options.output:
        options.output.mkdir(parents=True, exist_ok=True)
    print(f"{'scenario':<14}{'seed':>5}{'verdict':>9}{'score':>7}  violations", flush=True)
    with ThreadPoolExecutor(options.jobs) as pool:
        results = list(pool.map(lambda scenario: run_scenario(*scenario, options), scenarios))
    failed = [result for result in results if not result.passed]
    print(f"\n{len(results) - len(failed)} passed, {len(failed)} failed")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
