"""A gateway process that takes over from another one on the same listening socket, with or without daemon."""

from __future__ import annotations

import json
import pathlib
import signal
import subprocess
import sys

from saffronstack.client import Client
from saffronstack.daemon.listener_handover import request_listener
from saffronstack.fleet.control.gateway_process import ProcessEvent, ProcessEventKind
from saffronstack.fleet.control.process_discovery import find_processes
from saffronstack.fleet.control.process_launcher import LaunchSpec, bind_listener, launch
from saffronstack.standin.fleet import StandInFleet
from saffronstack.standin.worker import hold_port
from tests.support.stack import AMPLE_DEADLINE_S, configuration, eventually

SERVE = [
    sys.executable, "-m", "saffronstack.cli.main", "serve", "--log-level", "error",
    "--cpus", "all",  # pinned to one, it waits for whatever else runs there
]  # fmt: skip


def test_a_gateway_goes_on_without_its_daemon_and_one_that_follows_comes_by_itself(
    tmp_path: pathlib.Path,
) -> None:
    fleet = StandInFleet(1)
    told: list[ProcessEvent] = []
    with hold_port("127.0.0.1") as held:
        address = f"127.0.0.1:{held.getsockname()[1]}"
        path = tmp_path / "g1.json5"
        path.write_text(json.dumps(configuration(fleet, deadline_s=AMPLE_DEADLINE_S)))
        listening = bind_listener(address)
        mark = f"test/{tmp_path}"
        made = [
            launch(
                LaunchSpec("g1", n, f"r{n}", [*SERVE, "--config", str(path)], mark, tmp_path / "log"),
                listening,
                told.append,
            )
            for n in (1, 2)
        ]
        first, second = made
        eventually(
            lambda: {one.incarnation for one in told if one.kind is ProcessEventKind.PREPARED} == {1, 2}
        )
        first.allow_serving()
        eventually(lambda: any(one.kind is ProcessEventKind.SERVING and one.incarnation == 1 for one in told))
        assert [one.release for one in find_processes(mark)] == ["r1", "r2"]
        # The daemon's end: its pipes close. The one that serves goes on, the one that follows waits for it.
        second.serve_after(first)
        for life in made:
            assert life._child is not None
            assert life._child.stdin is not None
            life._child.stdin.close()
        client = Client(address, 10.0)
        assert client.invoke("identify-copy", b"{}").status == 200
        taken = request_listener(f"{mark}/r1", first.pid)
        assert taken is not None
        first.send_signal(signal.SIGTERM)
        eventually(lambda: any(one.kind is ProcessEventKind.ENDED and one.incarnation == 1 for one in told))
        eventually(lambda: any(one.kind is ProcessEventKind.SERVING and one.incarnation == 2 for one in told))
        assert client.invoke("identify-copy", b"{}").status == 200
        client.close()
        second.send_signal(signal.SIGTERM)
        eventually(lambda: any(one.kind is ProcessEventKind.ENDED and one.incarnation == 2 for one in told))
        taken.close()
        listening.close()
    fleet.stop()
    assert [one.reason for one in told if one.kind is ProcessEventKind.ENDED] == ["status 0", "status 0"]


def test_one_that_follows_serves_on_though_nobody_reads_what_it_says(tmp_path: pathlib.Path) -> None:
    fleet = StandInFleet(1)
    path = tmp_path / "g1.json5"
    path.write_text(json.dumps(configuration(fleet, deadline_s=AMPLE_DEADLINE_S)))
    listening = bind_listener("127.0.0.1:0")
    command = [*SERVE, "--config", str(path), "--listen-fd", str(listening.fileno()), "--standby"]

    def start() -> subprocess.Popen[bytes]:
        return subprocess.Popen(
            command, stdin=subprocess.PIPE, stdout=subprocess.PIPE, pass_fds=(listening.fileno(),)
        )

    with start() as first, start() as second, listening:
        for life in (first, second):
            assert life.stdout is not None
            assert life.stdout.readline() == b"saffronstack is prepared\n"
        assert first.stdin is not None
        assert first.stdout is not None
        first.stdin.write(b"go\n")
        first.stdin.flush()
        assert first.stdout.readline().startswith(b"saffronstack takes calls")
        assert second.stdin is not None
        assert second.stdout is not None
        second.stdin.write(b"after %d\n" % first.pid)
        second.stdin.flush()
        second.stdin.close()  # the daemon has died, and with it both of its ends
        second.stdout.close()
        first.send_signal(signal.SIGTERM)
        assert first.wait(30.0) == 0
        host, port = listening.getsockname()
        client = Client(f"{host}:{port}", 30.0)
        assert client.invoke("identify-copy", b"{}").status == 200
        client.close()
        second.send_signal(signal.SIGTERM)
        assert second.wait(30.0) == 0
    fleet.stop()


def test_one_that_was_only_prepared_ends_with_its_daemon() -> None:
    ran = subprocess.run(
        [*SERVE, "--with-standins", "--listen", "127.0.0.1:0", "--standby"], input="", capture_output=True,
        text=True, timeout=60.0, check=False,
    )  # fmt: skip
    assert ran.returncode == 0
    assert ran.stdout.strip() == "saffronstack is prepared"
