"""Write the state that a killed gateway of an earlier commit leaves, and the responses its clients received.

Run from a clean checkout of that commit, with its dependencies installed:

    cd CHECKOUT && PYTHONPATH=$PWD python REPOSITORY/tests/formats/capture.py REPOSITORY/tests/formats/COMMIT

A gateway of the checkout runs as a process with stub workers. It executes deferred calls and operations and
is killed when all have responses and the usage no longer changes. `test_formats.py` checks the state. The
script imports modules by the names of that commit, which differ from those of the present code.
"""

from __future__ import annotations

import importlib
import json
import pathlib
import shutil
import subprocess
import sys
import tempfile
import time
from typing import Any

TENANT = "corner-books"
DEFERRED_CALLS = 6
OPERATIONS = 4
SETTLE_S = 1.0
PARTS = ("ledger", "operations", "usage")


def configuration(folder: pathlib.Path, fleet: Any) -> dict[str, Any]:
    """Build the configuration that `test_formats.py` uses, with its state in `folder`."""
    stack = importlib.import_module("tests.support.stack")
    content: dict[str, Any] = stack.configuration(fleet, folder / "ledger")
    content["metering"] = {"directory": str(folder / "usage")}
    content["operations"] = {"directory": str(folder / "operations"), "window_s": 1e9}
    for request_class in content["classes"]:
        if request_class["effect"] != "safe":
            request_class |= {"note_operations": True, "operation_window_s": 1e9}
    return content


def serve(config_path: str) -> None:
    """Run a gateway until this process is killed."""
    config = importlib.import_module("saffronstack.config")
    gateway = importlib.import_module("saffronstack.gateway")
    running = gateway.Gateway(config.parse(pathlib.Path(config_path).read_text()))
    host, port = running.start()
    print(f"{host}:{port}", flush=True)
    while True:
        time.sleep(60)


def defer_calls(client: Any) -> dict[str, str]:
    """Send deferred calls and return their conditions by request id, once all are final."""
    request_ids = []
    for number in range(DEFERRED_CALLS):
        function = ("identify-copy", "record-sale")[number % 2]
        answer = client.invoke(function, json.dumps({"op": f"d{number}"}).encode(), "Event")
        assert answer.status == 202, answer.body
        request_ids.append(answer.headers.get("x-amzn-requestid"))
    conditions = {}
    for request_id in request_ids:
        while (answer := client.request("GET", f"/deferred/{request_id}")).status == 202:
            time.sleep(0.02)
        conditions[request_id] = json.loads(answer.body)["requestContext"]["condition"]
    return conditions


def run_operations(client: Any) -> dict[str, str]:
    """Run operations with an idempotency key and return their responses by key."""
    answers = {}
    for number in range(OPERATIONS):
        name = f"name-{number}"
        payload = json.dumps({"op": f"o{number}"}).encode()
        answer = client.invoke("record-sale", payload, extra=(("Idempotency-Key", name),))
        assert answer.status == 200, answer.body
        answers[name] = answer.body.decode()
    return answers


def settled_usage(client: Any) -> dict[str, Any]:
    """Return the tenant's usage report when it no longer changes."""
    before: dict[str, Any] = {}
    while True:
        usage: dict[str, Any] = json.loads(client.request("GET", f"/usage/{TENANT}").body)
        if usage == before:
            return usage
        before = usage
        time.sleep(SETTLE_S)


def capture(folder: pathlib.Path) -> None:
    """Run a gateway with its state in `folder`, kill it, and write `told.json` there."""
    standins = importlib.import_module("saffronstack.standin.fleet")
    model = importlib.import_module("saffronstack.standin.model")
    clients = importlib.import_module("saffronstack.client")
    fleet = standins.StandInFleet(2, lambda number: model.Profile(load_s=0.01, work_s=0.005))
    config_path = folder / "config.json"
    config_path.write_text(json.dumps(configuration(folder, fleet)))
    process = subprocess.Popen(
        [sys.executable, __file__, "--serve", str(config_path)], stdout=subprocess.PIPE, text=True
    )
    try:
        assert process.stdout is not None
        client = clients.Client(process.stdout.readline().strip(), 30.0, tenant=TENANT)
        told = {
            "deferred": defer_calls(client),
            "operations": run_operations(client),
            "usage": settled_usage(client),
        }
    finally:
        process.kill()
        process.wait()
        fleet.stop()
    (folder / "told.json").write_text(json.dumps(told, indent=1))


def main(destination: pathlib.Path) -> None:
    """Capture in a temporary directory and copy the parts that `test_formats.py` reads."""
    with tempfile.TemporaryDirectory() as temporary:
        folder = pathlib.Path(temporary)
        capture(folder)
        destination.mkdir(parents=True)
        for part in PARTS:
            (destination / part).mkdir()
            for path in sorted((folder / part).glob("*.seg")):
                shutil.copyfile(path, destination / part / path.name)
        shutil.copyfile(folder / "told.json", destination / "told.json")


if __name__ == "__main__":
    if sys.argv[1] == "--serve":
        serve(sys.argv[2])
    else:
        main(pathlib.Path(sys.argv[1]))
