"""Messages and files of a daemon, as commit 0684301 wrote them (`capture_control.py`)."""

from __future__ import annotations

import io
import json
import pathlib
import subprocess
from typing import Any

import msgspec
import pytest

from saffronstack.fleet.control import messages
from saffronstack.fleet.control.daemon import Daemon
from saffronstack.fleet.control.desired_state import Kept, Wanted
from saffronstack.fleet.control.figures_poller import _Page
from saffronstack.fleet.control.gateway_process import Process
from saffronstack.fleet.control.messages import Control, DaemonState, Figures, GatewayState, Order
from saffronstack.fleet.control.releases import Manifest, digest
from saffronstack.fleet.http_server import problem
from saffronstack.fleet.rollout.plan import Format

DATA = pathlib.Path(__file__).parent / "data" / "control"
MANIFEST = Manifest(
    version="1.5",
    command=("{python}", "{release}/run.py"),
    formats=(Format(part="ledger", reads=(1, 2), writes=2),),
)
PHASES = ("none", "starting", "up", "changing", "down", "ending")
DAEMON_STATUS = DaemonState(
    "d1",
    7,
    True,
    4242,
    {
        "g1": GatewayState(
            "aa",
            "bb",
            "changing",
            5,
            2,
            "cc",
            "cc did not start: status 1",
            99,
            Figures(0.25, {"sale": {"served": 12, "failed": 1}}, {"sale": "HIST"}, 51.5, 17, "aa"),
        ),
        "g2": GatewayState("", "", "none", 0, 0),
    },
)


@pytest.mark.parametrize(
    ("name", "expected"),
    [
        ("control_request_poll", Control("campus", 7, 1)),
        (
            "control_request",
            Control("campus", 7, 12, 4242, (Order("g1", "aa"), Order("g2"), Order("g3", "bb", True))),
        ),
        ("daemon_status", DAEMON_STATUS),
        (
            "daemon_status_phases",
            DaemonState("d1", 0, False, 1, {name: GatewayState("aa", "aa", name, 1, 0) for name in PHASES}),  # type: ignore[arg-type]
        ),
        ("gateway_page", _Page(99, "aa", {"sale": {"served": 1}}, {"sale": "HIST"})),
        ("release_manifest", MANIFEST),
    ],
)
def test_a_message_is_read_and_written_as_before(name: str, expected: Any) -> None:
    content = (DATA / f"{name}.json").read_bytes()
    decoded = msgspec.json.decode(content, type=type(expected))
    assert decoded == expected
    assert msgspec.json.encode(decoded) == content


def test_a_problem_is_written_as_before() -> None:
    assert problem("token 4 is older than 5") == (DATA / "problem.json").read_bytes()


def test_the_leases_and_the_path_keep_their_names() -> None:
    names = json.loads((DATA / "names.json").read_bytes())
    assert names == {"leader": messages.LEAD, "operator": messages.WORDS, "path": messages.TARGET}


@pytest.mark.parametrize(
    ("name", "expected"),
    [
        ("desired_state_new", Wanted("campus", "d1")),
        ("desired_state", Wanted("campus", "d1", 7, {"g1": "aa", "g2": ""})),
    ],
)
def test_the_desired_state_file_is_read_and_written_as_before(
    tmp_path: pathlib.Path, name: str, expected: Wanted
) -> None:
    content = (DATA / f"{name}.bin").read_bytes()
    path = tmp_path / (DATA / "desired_state_name.txt").read_text()
    path.write_bytes(content)
    file = Kept(str(tmp_path), "campus", "d1")
    decoded = file.read()
    assert decoded == expected
    path.unlink()
    file.write(decoded)
    assert path.read_bytes() == content


def test_a_process_s_mark_is_as_before() -> None:
    """A daemon of either text finds the gateways that the other one left serving."""
    daemon = Daemon.__new__(Daemon)
    daemon._fleet, daemon._name, daemon._directory = "campus", "d1", pathlib.Path("/srv/saffronstack/d1")
    assert daemon._mark("g1") == (DATA / "process_mark.txt").read_text()


def test_commands_on_a_process_s_pipe_are_written_as_before() -> None:
    child = subprocess.Popen(["true"], stdin=subprocess.PIPE)
    child.wait()
    assert child.stdin is not None
    child.stdin.close()
    pipe = child.stdin = io.BytesIO()
    Process(1, "aa", -1, child).go()
    Process(1, "bb", -1, child).follow(Process(4321, "aa", -1, None))
    assert pipe.getvalue() == (DATA / "pipe_commands.txt").read_bytes()


def test_a_release_s_digest_is_as_before(tmp_path: pathlib.Path) -> None:
    (tmp_path / "release.json").write_bytes((DATA / "release_manifest.json").read_bytes())
    (tmp_path / "lib").mkdir()
    (tmp_path / "lib" / "run.py").write_text("print('hello')\n")
    (tmp_path / "lib" / "run.py").chmod(0o755)
    assert digest(tmp_path) == (DATA / "release_digest.txt").read_text()
