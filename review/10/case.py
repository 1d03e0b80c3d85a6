"""Case 10: usage that was acknowledged and charged disappears after a gateway's death and return."""

from __future__ import annotations

import json
import pathlib
import signal
import subprocess
import sys
import time
from typing import Any

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "support-2"))
from rig import ROOT, SAFFRON, TROUBLE, NotRun, Rig, configuration, eventually, invoke, play

CALLS = 6
SWEEP_PERIOD_S = 5.0
BACK_AFTER_S = 7.0  # campus-books: gateways "come back after 3.2 to 7.5 s"
TOLERANCE = 0.01  # "if the totals match the expected figures to within one percent"


def charged_mb_s(rig: Rig) -> float | None:
    """Return what all usage logs that are on the disk anywhere charge, as the operators' command adds it up.

    None where logs were replaced while the command read them.
    """
    directories = sorted({str(path.parent) for path in rig.directory.rglob("usage-*.seg")})
    command = [*SAFFRON, "usage", "show", *directories, "--by", "tenant", "--format", "jsonl"]
    shown = subprocess.run(command, cwd=ROOT, capture_output=True, text=True, timeout=30, check=False)
    if shown.returncode != 0:
        return None
    rows = [json.loads(line) for line in shown.stdout.splitlines() if line.startswith("{")]
    total = sum(row["charged_mb_s"] for row in rows)
    rig.note(
        f"usage logs {[path.removeprefix(str(rig.directory)) for path in directories]} charge {total:.1f} MB s"
    )
    return total


def case(rig: Rig) -> list[str]:
    host = rig.workers("host", 1, work_s=1.5, load_s=0.3)
    ledgers = rig.directory / "ledgers"

    def gateway_config(name: str, ledger: pathlib.Path) -> dict[str, Any]:
        return configuration(
            host.listed(),
            ledger={"directory": str(ledger)},
            metering={"directory": str(rig.directory / "usage" / name)},
        )

    finisher = rig.write("finisher.json", gateway_config("finisher", rig.directory / "own"))
    tasks = [
        {"name": "takeover", "kind": "takeover", "period_s": 2, "budget_s": 60, "ledgers": str(ledgers), "config": finisher},
        {"name": "sweep", "kind": "sweep", "period_s": SWEEP_PERIOD_S, "budget_s": 60, "ledgers": str(ledgers),
         "outputs": []},
    ]  # fmt: skip
    fleet = rig.keepers(lease_s=3, longest_s=3, wait_s=1, tasks=tasks)
    rig.tasks("tasks", fleet)
    config = gateway_config("g1", ledgers / "g1")
    options = ("--fleet", fleet.path, "--name", "g1")
    gateway = rig.serve("g1", config, *options)
    rig.serve("g2", gateway_config("g2", ledgers / "g2"), "--fleet", fleet.path, "--name", "g2")
    for number in range(CALLS):
        answer = invoke(
            gateway.address, "identify-copy", {"op": f"call-{number}"}, X_Amz_Invocation_Type="Event"
        )
        rig.note(f"call-{number}: {answer.status} {answer.headers.get('x-amzn-requestid')}")
        if answer.status != 202:
            raise NotRun(f"call-{number} was not accepted")
    most = 0.0
    if TROUBLE:
        time.sleep(0.6)
        rig.signal(gateway.process, signal.SIGKILL, "g1")
        time.sleep(BACK_AFTER_S)
        gateway = rig.launch("g1", config, *options)  # it waits until its ledger is free
    eventually(lambda: len({run["op"] for run in host.what("run")}) == CALLS, 60.0, "all calls run")
    rig.note("all calls ran")
    rig.wait_until_up(gateway)
    end_s = time.monotonic() + 2 * SWEEP_PERIOD_S
    while time.monotonic() < end_s:
        most = max(most, charged_mb_s(rig) or 0.0)
        time.sleep(0.2)
    left = charged_mb_s(rig)
    if left is None:
        raise NotRun("the usage logs could not be read")
    for entry in host.what("run"):
        rig.note(f"host, at {entry['unix']:.3f}: run of {entry['op']}")
    if most <= 0:
        raise NotRun("nothing was charged")
    if left < most * (1 - TOLERANCE):
        return [f"{most:.1f} MB s were charged, and {left:.1f} MB s are left: {1 - left / most:.0%} is gone"]
    return []


play(__file__, case)
