"""Lease servers and candidates as processes under faults, and the judge."""

from __future__ import annotations

import pathlib
import socket
import threading
import time

import pytest

from saffronstack.harness.leases.faulty_environment import ClockSteps
from saffronstack.harness.leases.holder_reports import Acquired, ActBegun, ActEnded, Answer
from saffronstack.harness.leases.judge import LeaseJudge
from saffronstack.harness.leases.peer import expiry_at
from saffronstack.harness.leases.processes import RigOptions
from saffronstack.harness.leases.rig import LeaseRig
from saffronstack.harness.leases.schedule import Fault, schedule, shrink
from saffronstack.harness.links import Mode, Wires
from saffronstack.runtime.threads import start_thread

SERIAL = pytest.mark.xdist_group("leases")  # heavy ones play one at a time


@SERIAL
def test_one_holder_acts_at_a_time_through_faults_of_servers_candidates_links_and_disks(
    tmp_path: pathlib.Path,
) -> None:
    rig = LeaseRig(tmp_path, RigOptions(seed=5, servers=5, candidates=6, lease_s=1.2, wait_s=0.4))
    try:
        report = rig.play(schedule(5, 30.0, 5, 6, every_s=1.2), 30.0)
    finally:
        rig.close()
    judgement = report.judgement
    assert judgement.breaches == []
    assert judgement.acquired >= 4, report
    assert judgement.acts > 50, report
    assert sum(report.faults.values()) >= 10, report
    assert report.majority_held_s > 0.4 * report.majority_s > 1.0, report


@SERIAL
@pytest.mark.parametrize("broken", ["few", "late"])
def test_the_judge_finds_broken_candidates_among_the_processes(tmp_path: pathlib.Path, broken: str) -> None:
    rig = LeaseRig(
        tmp_path, RigOptions(seed=2, servers=3, candidates=5, lease_s=1.2, wait_s=0.4, broken=broken)
    )
    # What they do wrong shows where a majority is out of reach, or the holder itself.
    kind = {"few": "cut", "late": "cut candidates"}[broken]
    faults = [
        Fault(
            1.0 + 3.0 * n,
            kind,
            2.0,
            (n % 3, (n + 1) % 3),
            (n % 5, (n + 1) % 5, (n + 2) % 5),
            ("hold", "lose")[n % 2],
        )
        for n in range(12)
    ]
    try:
        report = rig.play(faults, 40.0, until_breach=True)
    finally:
        rig.close()
    assert report.judgement.breaches, report


def test_a_schedule_comes_from_its_seed_and_is_shrunk_to_what_fails() -> None:
    faults = schedule(7, 60.0, 5, 6)
    assert faults == schedule(7, 60.0, 5, 6) != schedule(8, 60.0, 5, 6)
    assert len({fault.kind for fault in faults}) > 6
    failing = {faults[3], faults[-2]}
    assert set(shrink(faults, lambda fewer: failing <= set(fewer), 200)) == failing


def test_a_holder_that_wakes_after_its_lease_reports_that_it_does_not_hold_it() -> None:
    """Its "until now" stood for a lease that had ended seconds ago, and the judge blamed the next holder."""
    assert expiry_at(100.0, 0.995, 0.995) == 101.0
    assert expiry_at(100.0, 0.0, 1.0) == 0.0
    judge = LeaseJudge()
    judge.handle(Acquired("a", 1, 0.0, 5.0))
    judge.handle(ActBegun("a", 1, 5.0))
    judge.handle(Acquired("b", 2, 6.0, 9.0))
    judge.handle(ActEnded("a", 1, 4.9, 8.0, expiry_at(8.0, 0.0, 1.0)))
    judgement = judge.judge(0.0, 10.0)
    assert judgement.breaches == []
    assert judgement.overran == 1
    judge.close()


def test_a_clock_steps_forward_by_what_the_file_says_and_never_back(tmp_path: pathlib.Path) -> None:
    now = [0.0]
    steps = ClockSteps(tmp_path / "steps", lambda: now[0])
    assert steps() == 0.0
    for text, expected_s in (("2.5", 2.5), ("", 2.5), ("4", 4.0), ("1", 4.0)):
        (tmp_path / "steps").write_text(text)
        now[0] += ClockSteps.CHECK_INTERVAL_S
        assert steps() == expected_s


def test_the_judge_distinguishes_two_holders_older_tokens_and_pauses() -> None:
    judge = LeaseJudge()
    judge.handle(Acquired("a", 1, 0.0, 5.0))
    assert judge.handle(ActBegun("a", 1, 5.0)) == Answer(True)
    assert judge.handle(ActEnded("a", 1, 1.0, 1.1, 5.0)) == Answer(True)
    assert judge.judge(0.0, 10.0).breaches == []
    judge.handle(Acquired("b", 2, 4.0, 9.0))
    (breach,) = judge.judge(0.0, 10.0).breaches
    assert "a (token 1) holds until 5.000, b (token 2) from 4.000" in breach
    judge.close()
    judge = LeaseJudge()
    judge.handle(Acquired("a", 1, 0.0, 5.0))
    judge.handle(ActBegun("a", 1, 5.0))
    judge.handle(Acquired("b", 2, 6.0, 9.0))
    judge.handle(ActBegun("b", 2, 9.0))
    # a was stopped in the midst of its act and wakes: its token is refused, and nobody is to blame.
    assert judge.handle(ActEnded("a", 1, 4.9, 7.0, 5.0)) == Answer(False)
    judgement = judge.judge(0.0, 10.0)
    assert judgement.breaches == []
    assert judgement.rejected == 1
    assert judgement.longest_free_s == 1.0
    judge.handle(Acquired("c", 2, 9.5, 9.6))
    assert "c and b both acquired token 2" in judge.judge(0.0, 10.0).breaches[0]
    judge.close()


class EchoServer:
    """Answers each line with itself."""

    def __init__(self) -> None:
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self.listener.getsockname()[1]}"
        start_thread("echo", self.run)

    def run(self) -> None:
        while True:
            try:
                sock, _ = self.listener.accept()
            except OSError:
                return
            start_thread("echoes", lambda sock=sock: self.serve(sock))  # type: ignore[misc]

    @staticmethod
    def serve(sock: socket.socket) -> None:
        with sock:
            try:
                while data := sock.recv(65536):
                    sock.sendall(data)
            except OSError:
                return


def test_wires_hold_delay_lose_reset_and_refuse_each_direction() -> None:
    echo, wires = EchoServer(), Wires()
    address = wires.pair("a", "b", echo.address)
    host, _, port = address.rpartition(":")
    sock = socket.create_connection((host, int(port)), timeout=10.0)
    sock.sendall(b"one\n")
    assert sock.recv(100) == b"one\n"
    forward, backward = wires.between({"a"}, {"b"}), wires.between({"b"}, {"a"})
    wires.set(backward, Mode.HOLD)
    sock.sendall(b"two\n")
    sock.settimeout(0.2)
    with pytest.raises(TimeoutError):
        sock.recv(100)
    sock.settimeout(10.0)
    wires.set(backward)
    assert sock.recv(100) == b"two\n"  # nothing of it was lost
    wires.set(forward, Mode.LOSE)
    sock.sendall(b"gone\n")
    threading.Event().wait(0.1)  # the relay must have read it before the direction passes again
    wires.set(forward, late_s=0.3)
    began_s = time.monotonic()
    sock.sendall(b"late\n")
    assert sock.recv(100) == b"late\n"
    assert time.monotonic() - began_s >= 0.3
    wires.set(forward)
    large = bytes(range(256)) * 20_000
    start_thread("sender", lambda: sock.sendall(large))
    received = b""
    while len(received) < len(large):
        received += sock.recv(65536)
    assert received == large
    wires.reset(forward)
    with pytest.raises(ConnectionResetError):
        sock.recv(100)
    wires.refuse(forward, True)

    def connect_and_receive() -> None:
        with socket.create_connection((host, int(port)), timeout=10.0) as connection:
            connection.recv(100)

    with pytest.raises(ConnectionResetError):
        connect_and_receive()
    wires.refuse(forward, False)
    with socket.create_connection((host, int(port)), timeout=10.0) as reconnected:
        reconnected.sendall(b"x")
        reconnected.shutdown(socket.SHUT_WR)
        assert reconnected.recv(100) == b"x"
        assert reconnected.recv(100) == b""
    wires.close()
    echo.listener.close()
