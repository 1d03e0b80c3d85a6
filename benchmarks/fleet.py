"""Days of many gateways of the platform in processes of their own, with faults between, at full size.

    python benchmarks/fleet.py                              # every day, 200 gateways, 36 hosts
    python benchmarks/fleet.py --day herd --gateways 60 --seeds 1 2 3

One JSON line a day and seed with the commit, and a line for a person. Gateways, hosts and clients share the
machine: where its clients could not keep to the rate the day says so, and its figures are no measurement.
Ends with 1 where a rule was broken.
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

BEHIND = 0.95  # part of the calls wanted that must have been made


def main() -> int:
    """0 where every rule was kept."""
    plain = argparse.RawDescriptionHelpFormatter
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=plain)
    parser.add_argument("--day", nargs="*", choices=sorted(SCENARIOS), default=sorted(SCENARIOS))
    parser.add_argument("--gateways", type=int, default=200)
    parser.add_argument("--hosts", type=int, default=36)
    parser.add_argument("--rate", type=float, default=300.0, help="calls a second over the fleet")
    parser.add_argument("--seconds", type=float, default=20.0)
    parser.add_argument("--seeds", type=int, nargs="*", default=[1])
    asked = parser.parse_args()
    told = subprocess.run(
        ["git", "rev-parse", "--short", "HEAD"], cwd=ROOT, check=False, capture_output=True, text=True
    )
    broken = 0
    for name in asked.day:
        for seed in asked.seeds:
            with tempfile.TemporaryDirectory(prefix="saffronstack-fleet-") as folder:
                verdict = run_scenario(
                    name, pathlib.Path(folder), gateways=asked.gateways, hosts=asked.hosts, rate=asked.rate,
                    seconds=asked.seconds, seed=seed,
                )  # fmt: skip
            found = dataclasses.asdict(verdict) | {"commit": told.stdout.strip(), "seed": seed}
            found |= {"gateways": asked.gateways, "hosts": asked.hosts, "rate": asked.rate}
            print(json.dumps(found), flush=True)
            print(verdict.line(), file=sys.stderr, flush=True)
            for breach in verdict.breaches[:10]:
                print(f"  {breach}", file=sys.stderr)
            if verdict.calls < BEHIND * asked.rate * asked.seconds:
                print("  the clients did not keep to the rate: no measurement", file=sys.stderr)
            broken += bool(verdict.breaches)
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main())
