"""Case 9: a keyed call that may have run in one rack is sent to another rack, and runs there too."""

from __future__ import annotations

import pathlib
import signal
import sys
import threading
import time
from typing import Any

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "support-2"))
from rig import PYTHON, TROUBLE, NotRun, Rig, Workers, configuration, eventually, free_port, invoke, play

WINDOW_S = 5.0  # for so long the hosts of a rack drop a repeat
BACK_AFTER_S = 3.2  # campus-books: gateways "come back after 3.2 to 7.5 s"
ROOM = 3  # calls that a host runs at a time
WORK_S = 1.0
FUNCTION = "adjust-price"
MAX_CALLS = 12


def start_hosts(rig: Rig) -> list[Workers]:
    """Start two hosts, each in a rack of its own."""
    program = str(pathlib.Path(__file__).resolve().parents[1] / "support-2/rack_worker.py")
    hosts = []
    for name in ("host-1", "host-2"):
        port, log = free_port(), rig.directory / f"{name}.runs"
        command = [PYTHON, "-B", program, str(port), name, str(ROOM), str(WORK_S), str(WINDOW_S), str(log)]
        hosts.append(Workers(name, rig.start(name, command), [port], log))
    eventually(lambda: all(host.count("start") for host in hosts), 10.0, "the hosts start")
    return hosts


def gateway_config(rig: Rig, name: str, hosts: list[Workers]) -> dict[str, Any]:
    keyed = {
        "name": "setting", "effect": "keyed", "group": "cell", "window_s": WINDOW_S, "aim_s": 0.75, "deadline_s": 3.0,
    }  # fmt: skip
    return configuration(
        [host.listed(cell=f"rack-of-{host.name}")[0] for host in hosts],
        classes=[keyed],
        functions=[{"name": FUNCTION, "class": "setting", "memory_mb": 256, "lanes": 1}],
        ledger={"directory": str(rig.directory / "ledger" / name)},
    )


def keys_passed_on(hosts: list[Workers]) -> set[str]:
    """Return the keys of calls that one host had no room for, and that another one runs."""
    full = {entry["key"] for host in hosts for entry in host.what("full")}
    return full & {entry["key"] for host in hosts for entry in host.what("run")}


def call_g2(rig: Rig, address: str, number: int) -> None:
    answer = invoke(address, FUNCTION, {"call": number}, Idempotency_Key=f"of-g2-{number}")
    rig.note(f"of-g2-{number}, answered: {answer.status} {answer.body[:80]!r}")


def case(rig: Rig) -> list[str]:
    hosts = start_hosts(rig)
    config = gateway_config(rig, "g1", hosts)
    gateway = rig.serve("g1", config)
    other = rig.serve("g2", gateway_config(rig, "g2", hosts))
    # Calls of the other gateway take room that g1 does not know of.
    threads = [threading.Thread(target=call_g2, args=(rig, other.address, n)) for n in range(ROOM)]
    for thread in threads:
        thread.start()
    eventually(lambda: sum(host.count("run") for host in hosts) >= ROOM - 1, 2.0, "g2's calls run")
    accepted = 0
    while not keys_passed_on(hosts):
        if accepted == MAX_CALLS:
            raise NotRun("no call was passed on from a full host to the other one")
        answer = invoke(
            gateway.address, FUNCTION, {"call": accepted}, X_Amz_Invocation_Type="Event",
            Idempotency_Key=f"of-g1-{accepted}",
        )  # fmt: skip
        rig.note(f"of-g1-{accepted}: {answer.status} {answer.headers.get('x-amzn-requestid')}")
        if answer.status != 202:
            raise NotRun(f"of-g1-{accepted} was not accepted")
        accepted += 1
        time.sleep(0.02)
    if TROUBLE:
        rig.signal(gateway.process, signal.SIGKILL, "g1")
        gateway.process.wait(5.0)
        time.sleep(BACK_AFTER_S)
        rig.serve("g1", config)
    for thread in threads:
        thread.join()
    time.sleep(WINDOW_S)
    entries = sorted((entry for host in hosts for entry in host.entries()), key=lambda entry: entry["unix"])
    runs: dict[str, list[dict[str, Any]]] = {}
    for entry in entries:
        at_s = entry["unix"] - entries[0]["unix"]
        rig.note(f"hosts, at {at_s:.3f}: {entry['worker']} {entry['what']} {entry.get('key', '')}")
        if entry["what"] == "run":
            runs.setdefault(entry["key"], []).append(entry)
    return [
        f"{key} ran on {found[0]['worker']}, and {found[1]['unix'] - found[0]['unix']:.2f} s later on "
        f"{found[1]['worker']} (each host is a rack of its own, and drops repeats for {WINDOW_S:g} s)"
        for key, found in sorted(runs.items())
        if len(found) > 1
    ]


play(__file__, case)
