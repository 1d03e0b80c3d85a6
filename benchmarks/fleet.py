"""Run fault scenarios at full size: many platform gateways, each in its own process.

    python benchmarks/fleet.py                              # every scenario, 200 gateways, 36 hosts
    python benchmarks/fleet.py --day herd --gateways 60 --seeds 1 2 3

Prints one JSON line for each scenario and seed, with the commit, and a readable line on standard error.
Gateways, hosts and clients share the machine. When the clients cannot sustain the request rate, the output
says so and the figures are not valid. Exits with 1 if a rule was broken.
"""

from __future__ import annotations

import argparse
import dataclasses
import json
import pathlib
import subprocess
import sys
import tempfile

from saffronstack.harness.fleet.scenario import SCENARIOS, run_scenario

ROOT = pathlib.Path(__file__).parent.parent

MIN_CALL_RATIO = 0.95  # least ratio of calls made to calls intended in a valid run


def main() -> int:
    """Run the scenarios; return 0 if no rule was broken, else 1."""
    formatter = argparse.RawDescriptionHelpFormatter
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=formatter)
    parser.add_argument("--day", nargs="*", choices=sorted(SCENARIOS), default=sorted(SCENARIOS))
    parser.add_argument("--gateways", type=int, default=200)
    parser.add_argument("--hosts", type=int, default=36)
    parser.add_argument("--rate", type=float, default=300.0, help="calls a second over the fleet")
    parser.add_argument("--seconds", type=float, default=20.0)
    parser.add_argument("--seeds", type=int, nargs="*", default=[1])
    options = parser.parse_args()
    commit = subprocess.run(
        ["git", "rev-parse", "--short", "HEAD"], cwd=ROOT, check=False, capture_output=True, text=True
    )
    broken = 0
    for name in options.day:
        for seed in options.seeds:
            with tempfile.TemporaryDirectory(prefix="saffronstack-fleet-") as folder:
                report = run_scenario(
                    name, pathlib.Path(folder), gateways=options.gateways, hosts=options.hosts,
                    rate=options.rate, seconds=options.seconds, seed=seed,
                )  # fmt: skip
            row = dataclasses.asdict(report) | {"commit": commit.stdout.strip(), "seed": seed}
            row |= {"gateways": options.gateways, "hosts": options.hosts, "rate": options.rate}
            print(json.dumps(row), flush=True)
            print(report.line(), file=sys.stderr, flush=True)
            for breach in report.breaches[:10]:
                print(f"  {breach}", file=sys.stderr)
            if report.calls < MIN_CALL_RATIO * options.rate * options.seconds:
                print(
                    "  the clients did not sustain the request rate: the figures are not valid",
                    file=sys.stderr,
                )
            broken += bool(report.breaches)
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main())
