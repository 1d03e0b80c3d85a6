"""Tests of a daemon over HTTP: accepted and rejected requests, and the releases that it starts with."""

from __future__ import annotations

import itertools
import json
import pathlib
from collections.abc import Callable, Iterator
from contextlib import ExitStack
from typing import Any

import msgspec
import pytest

from saffronstack.client import Client
from saffronstack.fleet.control.daemon import Daemon
from saffronstack.fleet.control.daemon_options import DaemonOptions, GatewaySpec
from saffronstack.fleet.control.desired_state import DesiredState, DesiredStateFile
from saffronstack.fleet.control.messages import (
    CONTROL_PATH,
    LEADER_LEASE,
    ControlRequest,
    DaemonStatus,
    GatewayCommand,
)
from saffronstack.fleet.control.releases import read_release
from saffronstack.fleet.leases.messages import LeaseValue
from saffronstack.fleet.leases.quorum_read import LeaseStatus, QuorumRead
from saffronstack.harness.rollout.sample_releases import write_release
from saffronstack.standin.worker import reserve_port
from tests.support.stack import eventually

EMPTY_READ = QuorumRead(True, {})
LEADER = LeaseStatus(LEADER_LEASE, "p", 9, 3, 5.0, LeaseValue())
START_FAULT = "does not start"  # name of the fault in the sample releases
# A standby process that ignores SIGTERM until it serves, like a gateway, and records SIGHUP in a file. Its
# second start is prepared only once the file `...-again` exists.
STANDBY_PROGRAM = """
import pathlib, signal, sys, time
signal.signal(signal.SIGTERM, lambda *_: None)
signal.signal(signal.SIGHUP, lambda *_: pathlib.Path(f"{marker}-reloaded").touch())
release = pathlib.Path(__file__).parent
marker = release.parent.with_name(f"{release.name}-started")
while marker.exists() and not pathlib.Path(f"{marker}-again").exists():
    time.sleep(0.01)
marker.touch()
print("saffronstack is prepared", flush=True)
sys.stdin.readline()
signal.signal(signal.SIGTERM, signal.SIG_DFL)
print("saffronstack takes calls", flush=True)
while True:
    time.sleep(3600)
"""


class DaemonHarness:
    """Runs daemons with one gateway, one after another, on the same state directory."""

    def __init__(self, folder: pathlib.Path, gateway_address: str) -> None:
        self._folder = folder
        self._options = DaemonOptions(
            fleet="f",
            name="d1",
            address="127.0.0.1:0",
            gateways=(GatewaySpec("g1", gateway_address, str(folder / "g1.json5"), 5.0),),
            releases_directory=str(folder / "releases"),
            state_directory=str(folder / "state"),
        )
        self.state_file = DesiredStateFile(self._options.state_directory, "f", "d1")
        self.sequences = itertools.count(1)
        self._daemon: Daemon | None = None

    def write_release(self, version: str) -> str:
        """Install a release that does not start, and return its digest."""
        directory = write_release(self._folder / "releases", version, START_FAULT)
        return read_release(directory).release.digest

    def write_standby_release(self, version: str) -> str:
        """Install a release whose second process is prepared after `let_prepare`, and return its digest."""
        directory = write_release(self._folder / "releases", version, START_FAULT)
        (pathlib.Path(directory) / "gateway.py").write_text(STANDBY_PROGRAM)
        return read_release(directory).release.digest

    def let_prepare(self, version: str) -> None:
        """Let the second process of a standby release become prepared."""
        (self._folder / f"{version}-started-again").touch()

    def has_reloaded(self, version: str) -> bool:
        """Return whether a process of a standby release has received SIGHUP."""
        return (self._folder / f"{version}-started-reloaded").exists()

    def start(self, read: QuorumRead = EMPTY_READ, **options: Any) -> None:
        """Start a daemon after stopping the previous one."""
        self.stop()
        self._daemon = Daemon(self._options, lambda: read, **options)
        self._daemon.start()

    def processes(self) -> list[int]:
        """Return the process ids of the gateway."""
        assert self._daemon is not None
        return self._daemon.pids()

    def stop(self) -> None:
        """Stop the daemon and terminate its gateway."""
        if self._daemon is not None:
            assert self._daemon.stop(terminate_gateways=True)
        self._daemon = None

    def post(self, request: ControlRequest) -> tuple[int, Any]:
        """Send a request; return the HTTP status, and the error message or the daemon's status."""
        assert self._daemon is not None
        host, port = self._daemon.address
        client = Client(f"{host}:{port}", 10.0)
        try:
            response = client.request("POST", CONTROL_PATH, msgspec.json.encode(request))
        finally:
            client.close()
        if response.status != 200:
            return response.status, json.loads(response.body)["message"]
        return 200, msgspec.json.decode(response.body, type=DaemonStatus)

    def command(self, command: GatewayCommand) -> int:
        """Send a command with token 4; return the HTTP status."""
        incarnation = self.poll(4).incarnation
        return self.post(ControlRequest("f", 4, next(self.sequences), incarnation, (command,)))[0]

    def poll(self, token: int) -> DaemonStatus:
        """Poll the daemon with a token until it accepts a request; return its status."""

        def post() -> DaemonStatus | None:
            status, content = self.post(ControlRequest("f", token, next(self.sequences)))
            return content if status == 200 else None

        status: DaemonStatus = eventually(post)
        return status


@pytest.fixture
def harness(tmp_path: pathlib.Path) -> Iterator[DaemonHarness]:
    with ExitStack() as stack:
        held_port = stack.enter_context(reserve_port("127.0.0.1"))
        harness = DaemonHarness(tmp_path, f"127.0.0.1:{held_port.getsockname()[1]}")
        stack.callback(harness.stop)
        yield harness


@pytest.fixture
def create_command(harness: DaemonHarness) -> Callable[..., ControlRequest]:
    """Start a daemon that has accepted token 5; return a function that creates commands to run a release."""
    digest = harness.write_release("1")
    harness.start()
    incarnation = harness.poll(5).incarnation

    def create(**changed: Any) -> ControlRequest:
        commands = (GatewayCommand("g1", digest),)
        valid = ControlRequest("f", 5, next(harness.sequences), incarnation, commands)
        return msgspec.structs.replace(valid, **changed)

    return create


def test_a_poll_returns_the_token_that_was_accepted(harness: DaemonHarness) -> None:
    harness.start()
    status = harness.poll(5)
    assert status.token == 5
    assert not status.is_token_lost


@pytest.mark.parametrize(
    ("changed", "status", "reason"),
    [
        ({"fleet": "other"}, 403, "not of 'other'"),
        ({"token": 4, "sequence": 9}, 409, "token 4 is older than 5"),
        ({"sequence": 1}, 409, "out of order"),
        ({"incarnation": 1}, 409, "another incarnation"),
        ({"commands": (GatewayCommand("g9", "ab"),)}, 400, "none of this daemon's"),
        ({"commands": (GatewayCommand("g1", "ab"),)}, 400, "no release has"),
    ],
)
def test_a_rejected_request_changes_nothing(
    harness: DaemonHarness,
    create_command: Callable[..., ControlRequest],
    changed: dict[str, Any],
    status: int,
    reason: str,
) -> None:
    response = harness.post(create_command(**changed))
    assert response[0] == status
    assert reason in response[1]
    assert harness.poll(6).gateways["g1"].desired_release == ""


def test_a_command_sets_the_desired_release_and_outlives_the_daemon(
    harness: DaemonHarness, create_command: Callable[..., ControlRequest]
) -> None:
    request = create_command()
    digest = request.commands[0].release
    status, content = harness.post(request)
    assert status == 200
    assert content.gateways["g1"].desired_release == digest
    harness.start()
    assert harness.poll(6).gateways["g1"].desired_release == digest
    assert harness.post(ControlRequest("f", 5, next(harness.sequences)))[0] == 409


def test_a_release_that_does_not_start_is_reported(
    harness: DaemonHarness, create_command: Callable[..., ControlRequest]
) -> None:
    assert harness.post(create_command())[0] == 200
    eventually(lambda: "did not start" in harness.poll(6).gateways["g1"].last_error)


def test_a_lost_token_is_learned_from_lease_servers_before_any_request_is_accepted(
    harness: DaemonHarness,
) -> None:
    harness.start(QuorumRead(False, {LEADER_LEASE: LEADER}))
    status, reason = harness.post(ControlRequest("f", 99, 1))
    assert status == 409
    assert "lease servers have not reported" in reason
    harness.start(QuorumRead(True, {LEADER_LEASE: LEADER}))
    assert harness.poll(9).token == 9
    assert harness.post(ControlRequest("f", 8, next(harness.sequences))) == (409, "token 8 is older than 9")


def test_a_daemon_that_restarts_after_a_rollback_runs_the_old_release(harness: DaemonHarness) -> None:
    old, new = harness.write_release("old"), harness.write_release("new")
    harness.state_file.write(DesiredState("f", "d1", 3, {"g1": new}))
    harness.start(replacements=lambda read: {new: old})
    eventually(lambda: harness.poll(4).gateways["g1"].desired_release == old)
    harness.stop()
    stored = harness.state_file.read()
    assert stored is not None
    assert stored.releases == {"g1": old}


@pytest.fixture
def changing_harness(harness: DaemonHarness) -> DaemonHarness:
    """Start a gateway that changes its release: `new` is prepared, and the fallback with `old` is not."""
    old, new = harness.write_standby_release("old"), harness.write_standby_release("new")
    harness.state_file.write(DesiredState("f", "d1", 3, {"g1": old}))
    harness.start()
    eventually(lambda: harness.poll(4).gateways["g1"].running_release == old)
    assert harness.command(GatewayCommand("g1", new)) == 200
    eventually(lambda: len(harness.processes()) == 3)
    return harness


def test_a_daemon_that_stops_during_a_release_change_ends_its_standbys_too(
    changing_harness: DaemonHarness,
) -> None:
    """Guards against a daemon that sends SIGTERM to standby processes and then waits for the drain timeout.

    Standby processes wait for a command and do not end on SIGTERM.
    """
    changing_harness.stop()


def test_a_reload_during_a_release_change_reaches_the_successor_once_it_serves(
    changing_harness: DaemonHarness,
) -> None:
    """Guards against a successor that serves with a configuration that it read before the reload."""
    assert changing_harness.command(GatewayCommand("g1", reload=True)) == 200
    eventually(lambda: changing_harness.has_reloaded("old"))
    assert not changing_harness.has_reloaded("new")
    changing_harness.let_prepare("old")
    eventually(lambda: changing_harness.has_reloaded("new"))
