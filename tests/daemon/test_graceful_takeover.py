"""A gateway process that takes over from another one on the same listening socket, with or without daemon."""

from __future__ import annotations

import json
import pathlib
import signal
import subprocess
import sys

from saffronstack.client import Client
from saffronstack.daemon.listener_handover import request_listener
from saffronstack.fleet.control import gateway_process
from saffronstack.fleet.control.gateway_process import Told
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
    told: list[Told] = []
    with hold_port("127.0.0.1") as held:
        address = f"127.0.0.1:{held.getsockname()[1]}"
        path = tmp_path / "g1.json5"
        path.write_text(json.dumps(configuration(fleet, deadline_s=AMPLE_DEADLINE_S)))
        listening = gateway_process.listener(address)
        mark = f"test/{tmp_path}"
        made = [
            gateway_process.start(
                "g1",
                n,
                f"r{n}",
                [*SERVE, "--config", str(path)],
                mark,
                listening,
                tmp_path / "log",
                told.append,
            )
            for n in (1, 2)
        ]
        first, second = made
        eventually(lambda: {one.number for one in told if one.what == "prepared"} == {1, 2})
        first.go()
        eventually(lambda: any(one.what == "up" and one.number == 1 for one in told))
        assert [one.release for one in gateway_process.left(mark)] == ["r1", "r2"]
        # The daemon's end: its pipes close. The one that serves goes on, the one that follows waits for it.
        second.follow(first)
        for life in made:
            assert life._child is not None
            assert life._child.stdin is not None
            life._child.stdin.close()
        client = Client(address, 10.0)
        assert client.invoke("identify-copy", b"{}").status == 200
        taken = request_listener(f"{mark}/r1", first.pid)
        assert taken is not None
        first.send(signal.SIGTERM)
        eventually(lambda: any(one.what == "ended" and one.number == 1 for one in told))
        eventually(lambda: any(one.what == "up" and one.number == 2 for one in told))
        assert client.invoke("identify-copy", b"{}").status == 200
        client.close()
        second.send(signal.SIGTERM)
        eventually(lambda: any(one.what == "ended" and one.number == 2 for one in told))
        taken.close()
        listening.close()
    fleet.stop()
    assert [one.why for one in told if one.what == "ended"] == ["status 0", "status 0"]


def test_one_that_follows_serves_on_though_nobody_reads_what_it_says(tmp_path: pathlib.Path) -> None:
    fleet = StandInFleet(1)
    path = tmp_path / "g1.json5"
    path.write_text(json.dumps(configuration(fleet, deadline_s=AMPLE_DEADLINE_S)))
    listening = gateway_process.listener("127.0.0.1:0")
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
