"""The lease commands, the fleet file, and gateways that run lease servers."""

from __future__ import annotations

import json
import os
import pathlib
import signal
import subprocess
import sys

import pytest

from saffronstack.config.fleet import load_fleet_file
from saffronstack.config.load import ConfigError
from saffronstack.standin.fleet import StubWorkerFleet
from saffronstack.standin.worker import reserve_port
from tests.support.lease_servers import NAMES, lease_servers, run_saffron
from tests.support.stack import configuration, eventually


def test_a_command_runs_under_a_lease_and_is_ended_when_that_is_lost(tmp_path: pathlib.Path) -> None:
    with lease_servers(tmp_path, lease_s=4.0) as fleet:
        path = fleet.write_config(lease_s=4.0, longest_s=4.0)
        show = 'echo "$SAFFRON_LEASE $SAFFRON_LEASE_TOKEN"; exit 7'
        done = run_saffron("lease", "run", "cron/nightly", "--fleet", path, "--", "/bin/sh", "-c", show)
        assert done.returncode == 7, done.stderr
        assert done.stdout.split()[0] == "cron/nightly", done.stderr
        assert int(done.stdout.split()[1]) > 0
        missing = run_saffron("lease", "run", "x", "--fleet", path, "--", "/nothing/here")
        assert missing.returncode == 127
        assert "/nothing/here" in missing.stderr
        marker_file = tmp_path / "went-on"
        script = f"trap '' TERM; while :; do echo x >> {marker_file}; sleep 0.05; done"
        command = [sys.executable, "-m", "saffronstack.cli.main", "lease", "run", "job", "--fleet", path]
        running = subprocess.Popen(
            [*command, "--", "/bin/sh", "-c", script], stderr=subprocess.PIPE, text=True
        )
        eventually(marker_file.exists)
        rejected = run_saffron("lease", "run", "job", "--fleet", path, "--wait", "0.3", "--", "true")
        assert rejected.returncode == 75
        assert "not granted within" in rejected.stderr
        listed = run_saffron("lease", "list", "--fleet", path)
        assert listed.returncode == 0
        assert "job: held by" in listed.stdout
        assert "cron/nightly: free" in listed.stdout
        shown = json.loads(run_saffron("lease", "show", "job", "--fleet", path, "--json").stdout)
        assert shown["held"]
        assert shown["token"] > 0
        assert run_saffron("lease", "show", "nobody", "--fleet", path).returncode == 1
        assert run_saffron("keeper", "status", "--fleet", path).returncode == 0
        for name in ("k0", "k1"):
            fleet.servers.pop(name).stop()
        assert running.wait(10.0) == 76
        assert running.stderr is not None
        assert "was lost" in running.stderr.read()
        size = marker_file.stat().st_size
        assert run_saffron("keeper", "status", "--fleet", path).returncode == 69
        unavailable = run_saffron("lease", "run", "job", "--fleet", path, "--wait", "0.5", "--", "true")
        assert unavailable.returncode == 69
        assert "no majority" in unavailable.stderr
        # The command ignored SIGTERM and was killed with its child processes.
        assert marker_file.stat().st_size == size


def test_a_signal_is_forwarded_to_the_command_and_its_status_returned(tmp_path: pathlib.Path) -> None:
    with lease_servers(tmp_path, lease_s=2.0) as fleet:
        marker_file = tmp_path / "up"
        script = f"trap 'exit 9' TERM; touch {marker_file}; while :; do sleep 0.05; done"
        running = subprocess.Popen(
            [sys.executable, "-m", "saffronstack.cli.main", "lease", "run", "job", "--fleet",
             fleet.write_config(), "--", "/bin/sh", "-c", script]
        )  # fmt: skip
        eventually(marker_file.exists)
        running.send_signal(signal.SIGTERM)
        assert running.wait(10.0) == 9


def test_a_lease_server_process_prints_its_address_and_rejects_foreign_state(tmp_path: pathlib.Path) -> None:
    port_holders = [reserve_port("127.0.0.1") for _ in NAMES]
    entries = [
        {"name": name, "address": f"127.0.0.1:{sock.getsockname()[1]}"}
        for name, sock in zip(NAMES, port_holders, strict=True)
    ]
    path = tmp_path / "fleet.json5"
    path.write_text(json.dumps({"fleet": "f", "keepers": entries}))
    server_options = ["--fleet", str(path), "--name", "k0", "--state", str(tmp_path / "k0")]
    assert run_saffron("keeper", "establish", *server_options).returncode == 0
    again = run_saffron("keeper", "establish", *server_options)
    assert again.returncode == 2
    assert "there is a keeper's state here" in again.stderr
    other = run_saffron(
        "keeper", "run", "--fleet", str(path), "--name", "k1", "--state", str(tmp_path / "k0")
    )
    assert other.returncode == 2
    assert "the state of keeper 'k0', not of 'k1'" in other.stderr
    unknown = run_saffron(
        "keeper", "run", "--fleet", str(path), "--name", "k9", "--state", str(tmp_path / "x")
    )
    assert unknown.returncode == 2
    assert "none of the keepers" in unknown.stderr
    process = subprocess.Popen(
        [sys.executable, "-m", "saffronstack.cli.main", "keeper", "run", *server_options],
        stdout=subprocess.PIPE,
    )
    assert process.stdout is not None
    assert entries[0]["address"] in process.stdout.readline().decode()
    os.kill(process.pid, signal.SIGTERM)
    assert process.wait(10.0) == 0
    process.stdout.close()
    for sock in port_holders:
        sock.close()


@pytest.mark.parametrize(
    ("changes", "expected_text"),
    [
        (
            {"keepers": [{"name": "a", "address": "h:1"}, {"name": "b", "address": "h:2"}]},
            "keepers: 2 of them",
        ),
        (
            {"keepers": [{"name": n, "address": "h:1"} for n in "abc"]},
            "keepers[1].address: h:1 is that of keepers[0] too",
        ),
        (
            {"keepers": [{"name": "a", "address": f"h:{n}"} for n in (1, 2, 3)]},
            "keepers[1].name: 'a' stands at keepers[0] too",
        ),
        (
            {"keepers": [{"name": n, "address": f"h:{p}"} for n, p in (("a", 1), ("b", 2), ("c", 70000))]},
            "no port",
        ),
        ({"lease_s": 1.5, "wait_s": 1.0}, "lease_s: 1.5 s are under twice the longest wait"),
        ({"lease_s": 40.0}, "over longest_s"),
        ({"kepers": []}, "unknown key"),
        ({"fleet": "no name"}, "fleet"),
    ],
)
def test_an_invalid_fleet_file_is_rejected_with_place_and_reason(
    tmp_path: pathlib.Path, changes: dict[str, object], expected_text: str
) -> None:
    path = tmp_path / "fleet.json5"
    entries = [{"name": name, "address": f"127.0.0.1:{9000 + n}"} for n, name in enumerate(NAMES)]
    path.write_text(json.dumps({"fleet": "f", "keepers": entries, **changes}))
    with pytest.raises(ConfigError) as raised:
        load_fleet_file(str(path))
    assert expected_text in str(raised.value)
    assert str(path) in str(raised.value)
    if "kepers" not in changes:
        checked = run_saffron("config", "check", str(path))
        assert checked.returncode == 1
        assert expected_text in checked.stderr


def test_gateways_serve_leases_and_run_tasks_beside_their_calls(tmp_path: pathlib.Path) -> None:
    """Three gateways each run a lease server; one gateway at a time runs the fleet's sweep task."""
    workers = StubWorkerFleet(2)
    port_holders = [reserve_port("127.0.0.1") for _ in NAMES]
    entries = [
        {"name": name, "address": f"127.0.0.1:{sock.getsockname()[1]}"}
        for name, sock in zip(NAMES, port_holders, strict=True)
    ]
    shared = tmp_path / "fleet.json5"
    task = {
        "name": "tidy",
        "kind": "sweep",
        "period_s": 60,
        "budget_s": 5,
        "outputs": [str(tmp_path / "out")],
    }
    content = {"fleet": "f", "keepers": entries, "lease_s": 2.0, "longest_s": 2.0, "wait_s": 0.5}
    shared.write_text(json.dumps({**content, "tasks": [task]}))
    assert run_saffron("config", "check", str(shared)).stdout.endswith("good: fleet f, 3 keepers, 1 tasks\n")
    gateways = []
    for name in NAMES:
        state = str(tmp_path / name)
        run_saffron("keeper", "establish", "--fleet", str(shared), "--name", name, "--state", state)
        gateway_settings = {"path": str(shared), "keeper": name, "state_directory": state, "tasks": True}
        path = tmp_path / f"{name}.json5"
        path.write_text(
            json.dumps({**configuration(workers, tmp_path / f"ledger-{name}"), "fleet": gateway_settings})
        )
        serve = [sys.executable, "-m", "saffronstack.cli.main", "serve", "--config", str(path)]
        gateways.append(subprocess.Popen([*serve, "--log-level", "error"], stdout=subprocess.PIPE))
    for gateway in gateways:
        assert gateway.stdout is not None
        assert b"http://" in gateway.stdout.readline()

    def is_listed() -> bool:
        return "task/tidy: held by" in run_saffron("lease", "list", "--fleet", str(shared)).stdout

    eventually(is_listed)
    for gateway in gateways:
        gateway.terminate()
    assert [gateway.wait(30) for gateway in gateways] == [0, 0, 0]
    for gateway in gateways:
        assert gateway.stdout is not None
        gateway.stdout.close()
    for sock in port_holders:
        sock.close()
    workers.stop()
