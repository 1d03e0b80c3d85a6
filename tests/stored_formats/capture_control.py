"""Write files and messages of the fleet's control and rollout packages with the code of commit 0684301.

Run once against a checkout of that commit; later versions have other Python names and cannot run it:

    PYTHONPATH=<checkout of 0684301> python tests/stored_formats/capture_control.py

The tests `test_control_formats.py` and `test_rollout_formats.py` read the files, which are under `data/`.
"""

from __future__ import annotations

import importlib
import io
import json
import pathlib
import subprocess
import tempfile
from typing import Any

import msgspec

DATA = pathlib.Path(__file__).parent / "data"
PLAN_FILE = """{
  // Every key of a plan file, none at its default.
  name: "to-1.5",
  base: "0123456789abcdef0123456789abcdef",
  stages: [
    {count: 1, bake_s: 30},
    {groups: ["ring0", "ring1"], bake_s: 45.5},
    {share: 1.0, bake_s: 90},
  ],
  settle_s: 2.5,
  unavailable_most: 3,
  on_doubt: "back",
  one_way: true,
  false_stop: 0.02,
  calls_least: 150,
  memory_least_mb: 8.0,
  descriptors_least: 4.0,
  gross: 0.25,
}
"""


def old(module: str) -> Any:
    """Import a module of the old commit, which the present code may not have under this name."""
    return importlib.import_module(f"saffronstack.{module}")


def save(name: str, content: bytes) -> None:
    """Write a file under `data/`."""
    (DATA / name).write_bytes(content)


def control_messages() -> None:
    """Write requests to daemons, their responses, and a gateway's status page."""
    messages = old("fleet.control.messages")
    encode = msgspec.json.encode
    save("control/control_request_poll.json", encode(messages.Control("campus", 7, 1)))
    orders = (messages.Order("g1", "aa"), messages.Order("g2"), messages.Order("g3", "bb", True))
    save("control/control_request.json", encode(messages.Control("campus", 7, 12, 4242, orders)))
    figures = messages.Figures(0.25, {"sale": {"served": 12, "failed": 1}}, {"sale": "HIST"}, 51.5, 17, "aa")
    states = {
        "g1": messages.GatewayState(
            "aa", "bb", "changing", 5, 2, "cc", "cc did not start: status 1", 99, figures
        ),
        "g2": messages.GatewayState("", "", "none", 0, 0),
    }
    save("control/daemon_status.json", encode(messages.DaemonState("d1", 7, True, 4242, states)))
    phases = ("none", "starting", "up", "changing", "down", "ending")
    each = {state: messages.GatewayState("aa", "aa", state, 1, 0) for state in phases}
    save("control/daemon_status_phases.json", encode(messages.DaemonState("d1", 0, False, 1, each)))
    page = old("fleet.control.figures_poller")._Page
    save("control/gateway_page.json", encode(page(99, "aa", {"sale": {"served": 1}}, {"sale": "HIST"})))
    save("control/problem.json", old("fleet.http_server").problem("token 4 is older than 5"))
    leases = {"leader": messages.LEAD, "operator": messages.WORDS, "path": messages.TARGET}
    save("control/names.json", json.dumps(leases).encode())


def desired_state() -> None:
    """Write a daemon's desired state file and the mark by which a daemon finds its processes."""
    module = old("fleet.control.desired_state")
    with tempfile.TemporaryDirectory() as folder:
        kept = module.Kept(folder, "campus", "d1")
        save("control/desired_state_name.txt", kept.path.name.encode())
        kept.write(module.Wanted("campus", "d1"))
        save("control/desired_state_new.bin", kept.path.read_bytes())
        kept.write(module.Wanted("campus", "d1", 7, {"g1": "aa", "g2": ""}))
        save("control/desired_state.bin", kept.path.read_bytes())
    daemon = old("fleet.control.daemon").Daemon.__new__(old("fleet.control.daemon").Daemon)
    daemon._fleet, daemon._name, daemon._directory = "campus", "d1", pathlib.Path("/srv/saffronstack/d1")
    save("control/process_mark.txt", daemon._mark("g1").encode())


def processes() -> None:
    """Write the commands that a daemon sends to a gateway process through a pipe."""
    child = subprocess.Popen(["true"], stdin=subprocess.PIPE)
    child.wait()
    assert child.stdin is not None
    child.stdin.close()
    pipe = io.BytesIO()
    child.stdin = pipe
    process = old("fleet.control.gateway_process").Process
    process(1, "aa", -1, child).go()
    process(1, "bb", -1, child).follow(process(4321, "aa", -1, None))
    save("control/pipe_commands.txt", pipe.getvalue())


def releases() -> None:
    """Write a release manifest, and the digest of a directory that `test_control_formats.py` recreates."""
    module = old("fleet.control.releases")
    formats = (old("fleet.rollout.plan").Format(part="ledger", reads=(1, 2), writes=2),)
    manifest = module.Manifest(version="1.5", command=("{python}", "{release}/run.py"), formats=formats)
    save("control/release_manifest.json", msgspec.json.encode(manifest))
    with tempfile.TemporaryDirectory() as folder:
        root = pathlib.Path(folder)
        (root / "release.json").write_bytes(msgspec.json.encode(manifest))
        (root / "lib").mkdir()
        (root / "lib" / "run.py").write_text("print('hello')\n")
        (root / "lib" / "run.py").chmod(0o755)
        save("control/release_digest.txt", module.digest(root).encode())


def rollouts() -> None:
    """Write a rollout plan, rollout records, operators' requests and the order of gateway updates."""
    plans, controller = old("fleet.rollout.plan"), old("fleet.rollout.controller")
    records = old("fleet.rollout.records")
    save("rollout/plan.json5", PLAN_FILE.encode())
    plan = old("config.load").convert(PLAN_FILE, plans.Plan, "plan.json5")
    save("rollout/plan.json", msgspec.json.encode(plan))
    small = plans.Plan(name="small", base="aa", stages=(plans.Stage(share=1.0),))
    before = plans.Release(version="1.4", digest="aa")
    formats = (plans.Format(part="ledger", reads=(1, 2), writes=2),)
    after = plans.Release(version="1.5", digest="bb", formats=formats)
    save("rollout/record_started.json", records.encode(controller.first(small, before, after)))
    for way in ("forward", "held", "back", "done", "returned"):
        record = controller.Record(
            plan=plan, old=before, new=after, way=way, stage=2, paused=True, spent=0.0125, word=9,
            why="worse: failed/sale", notes=("started: 1.4 to 1.5", "goes back: worse"),
        )  # fmt: skip
        save(f"rollout/record_{way}.json", records.encode(record))
    for what in ("pause", "resume", "abort"):
        save(f"rollout/operator_{what}.json", msgspec.json.encode(records.Said("to-1.5", what, 9)))
    fleet = [
        plans.Gateway(name=f"g{n:02}", zone="abc"[n % 3], group="ring0" if n < 2 else "rest")
        for n in range(20)
    ]
    stages = (plans.Stage(count=1), plans.Stage(groups=("ring0",)), plans.Stage(share=1.0))
    staged = plans.Plan(name="to-1.5", base="aa", stages=stages)
    reached = plans.reach(staged, fleet)
    order = {"stages": reached, "batches": plans.batches(reached[-1], fleet, 3)}
    save("rollout/order.json", msgspec.json.encode(order))


if __name__ == "__main__":
    control_messages()
    desired_state()
    processes()
    releases()
    rollouts()
