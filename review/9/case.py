"""Case 9: deferred calls that a stopped gateway had accepted get no final answer."""

from __future__ import annotations

import pathlib
import signal
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "support-2"))
from rig import TROUBLE, NotRun, Rig, configuration, invoke, play

CALLS = 12
EVENT_AGE_S = 20.0  # by then each call has its final answer, served or not
SLACK_S = 20.0  # for the takeover, ten of its periods, and for the delivery
WORK_S = 2.0


def case(rig: Rig) -> list[str]:
    host = rig.workers("host", 1, work_s=WORK_S, load_s=0.3)
    ledgers = rig.directory / "ledgers"
    functions = [
        {"name": "identify-copy", "class": "lookup", "memory_mb": 512, "lanes": 2, "maximum_event_age_s": EVENT_AGE_S,
         "on_success": "final-answer", "on_failure": "final-answer"},
        {"name": "final-answer", "class": "lookup", "memory_mb": 128, "lanes": 4},
    ]  # fmt: skip
    config = configuration(host.listed(), functions=functions, ledger={"directory": str(ledgers / "g1")})
    finisher = rig.write("finisher.json", {**config, "ledger": {"directory": str(rig.directory / "own")}})
    takeover = {
        "name": "takeover", "kind": "takeover", "period_s": 2, "budget_s": 60, "ledgers": str(ledgers),
        "config": finisher,
    }  # fmt: skip
    fleet = rig.keepers(lease_s=3, longest_s=3, wait_s=1, tasks=[takeover])
    rig.tasks("tasks", fleet)
    gateway = rig.serve("g1", config, "--fleet", fleet.path, "--name", "g1")
    for number in range(CALLS):
        answer = invoke(
            gateway.address, "identify-copy", {"op": f"call-{number}"}, X_Amz_Invocation_Type="Event"
        )
        rig.note(f"call-{number}: {answer.status} {answer.headers.get('x-amzn-requestid')}")
        if answer.status != 202:
            raise NotRun(f"call-{number} was not accepted")
    accepted_s = time.monotonic()
    if TROUBLE:
        time.sleep(0.5)
        rig.signal(gateway.process, signal.SIGTERM, "g1")
        rig.note(f"g1 ended with status {gateway.process.wait(30.0)}")

    def final_answers() -> int:
        """Return how many final answers were delivered to their destination."""
        return len({run["id"] for run in host.what("run", function="final-answer")})

    while time.monotonic() < accepted_s + EVENT_AGE_S + SLACK_S and final_answers() < CALLS:
        time.sleep(0.5)
    ran = sorted({run["op"] for run in host.what("run", function="identify-copy")})
    names = sorted(path.name for path in (ledgers / "g1").iterdir())
    rig.note(f"calls that ran: {ran}; final answers: {final_answers()}; g1's ledger directory: {names}")
    for line in rig.logs("tasks").splitlines()[-3:]:
        rig.note(f"tasks: {line}")
    waited_s = time.monotonic() - accepted_s
    if final_answers() < CALLS:
        return [
            f"{CALLS - final_answers()} of {CALLS} accepted calls have no final answer after {waited_s:.0f} s, "
            f"with a maximum event age of {EVENT_AGE_S:g} s"
        ]
    return []


play(__file__, case)
