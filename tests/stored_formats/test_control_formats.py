"""A daemon's messages and files keep the format of commit 0684301 (`capture_control.py`)."""

from __future__ import annotations

import io
import json
import pathlib
import subprocess
from typing import Any

import msgspec
import pytest

from saffronstack.fleet.control.daemon_options import DaemonOptions
from saffronstack.fleet.control.desired_state import DesiredState, DesiredStateFile
from saffronstack.fleet.control.gateway_process import GatewayProcess
from saffronstack.fleet.control.messages import (
    CONTROL_PATH,
    LEADER_LEASE,
    OPERATOR_REQUEST_LEASE,
    ControlRequest,
    DaemonStatus,
    GatewayCommand,
    GatewayMetrics,
    GatewayStatus,
)
from saffronstack.fleet.control.metrics_poller import GatewayStatusPage
from saffronstack.fleet.control.observed_gateway import GatewayPhase
from saffronstack.fleet.control.releases import ReleaseManifest, compute_digest
from saffronstack.fleet.http_server import encode_error
from saffronstack.fleet.rollout.plan import DataFormat

DATA = pathlib.Path(__file__).parent / "data" / "control"
MANIFEST = ReleaseManifest(
    version="1.5",
    command=("{python}", "{release}/run.py"),
    formats=(DataFormat(component="ledger", readable_versions=(1, 2), written_version=2),),
)
DAEMON_STATUS = DaemonStatus(
    "d1",
    7,
    True,
    4242,
    {
        "g1": GatewayStatus(
            "aa",
            "bb",
            GatewayPhase.CHANGING,
            5,
            2,
            "cc",
            "cc did not start: status 1",
            99,
            GatewayMetrics(0.25, {"sale": {"served": 12, "failed": 1}}, {"sale": "HIST"}, 51.5, 17, "aa"),
        ),
        "g2": GatewayStatus("", "", GatewayPhase.STOPPED, 0, 0),
    },
)


@pytest.mark.parametrize(
    ("name", "expected"),
    [
        ("control_request_poll", ControlRequest("campus", 7, 1)),
        (
            "control_request",
            ControlRequest(
                "campus",
                7,
                12,
                4242,
                (GatewayCommand("g1", "aa"), GatewayCommand("g2"), GatewayCommand("g3", "bb", True)),
            ),
        ),
        ("daemon_status", DAEMON_STATUS),
        (
            "daemon_status_phases",
            DaemonStatus(
                "d1",
                0,
                False,
                1,
                {phase.value: GatewayStatus("aa", "aa", phase, 1, 0) for phase in GatewayPhase},
            ),
        ),
        ("gateway_page", GatewayStatusPage(99, "aa", {"sale": {"served": 1}}, {"sale": "HIST"})),
        ("release_manifest", MANIFEST),
    ],
)
def test_a_message_is_read_and_written_as_before(name: str, expected: Any) -> None:
    content = (DATA / f"{name}.json").read_bytes()
    decoded = msgspec.json.decode(content, type=type(expected))
    assert decoded == expected
    assert msgspec.json.encode(decoded) == content


def test_a_problem_is_written_as_before() -> None:
    assert encode_error("token 4 is older than 5") == (DATA / "problem.json").read_bytes()


def test_the_leases_and_the_path_keep_their_names() -> None:
    names = json.loads((DATA / "names.json").read_bytes())
    assert names == {"leader": LEADER_LEASE, "operator": OPERATOR_REQUEST_LEASE, "path": CONTROL_PATH}


@pytest.mark.parametrize(
    ("name", "expected"),
    [
        ("desired_state_new", DesiredState("campus", "d1")),
        ("desired_state", DesiredState("campus", "d1", 7, {"g1": "aa", "g2": ""})),
    ],
)
def test_the_desired_state_file_is_read_and_written_as_before(
    tmp_path: pathlib.Path, name: str, expected: DesiredState
) -> None:
    content = (DATA / f"{name}.bin").read_bytes()
    path = tmp_path / (DATA / "desired_state_name.txt").read_text()
    path.write_bytes(content)
    file = DesiredStateFile(str(tmp_path), "campus", "d1")
    decoded = file.read()
    assert decoded == expected
    path.unlink()
    file.write(decoded)
    assert path.read_bytes() == content


def test_a_process_has_the_same_mark() -> None:
    """Each version of the daemon must find the gateways that the other version started."""
    options = DaemonOptions("campus", "d1", "", (), "", "/srv/saffronstack/d1")
    assert options.process_mark("g1") == (DATA / "process_mark.txt").read_text()


def test_commands_on_a_process_s_pipe_are_written_as_before() -> None:
    child = subprocess.Popen(["true"], stdin=subprocess.PIPE)
    child.wait()
    assert child.stdin is not None
    child.stdin.close()
    pipe = child.stdin = io.BytesIO()
    GatewayProcess(1, "aa", -1, child).allow_serving()
    GatewayProcess(1, "bb", -1, child).serve_after(GatewayProcess(4321, "aa", -1, None))
    assert pipe.getvalue() == (DATA / "pipe_commands.txt").read_bytes()


def test_a_release_s_digest_is_as_before(tmp_path: pathlib.Path) -> None:
    (tmp_path / "release.json").write_bytes((DATA / "release_manifest.json").read_bytes())
    (tmp_path / "lib").mkdir()
    (tmp_path / "lib" / "run.py").write_text("print('hello')\n")
    (tmp_path / "lib" / "run.py").chmod(0o755)
    assert compute_digest(tmp_path) == (DATA / "release_digest.txt").read_text()
