"""Lease servers and candidates as processes under faults, and the checker of their reports."""

from __future__ import annotations

import pathlib
import socket
import threading
import time

import pytest

from saffronstack.harness.leases.faulty_environment import ClockSteps
from saffronstack.harness.leases.holder_reports import Acquired, ActBegun, ActEnded, ReportResponse
from saffronstack.harness.leases.judge import LeaseChecker
from saffronstack.harness.leases.peer import expiry_at
from saffronstack.harness.leases.processes import HarnessOptions
from saffronstack.harness.leases.rig import LeaseHarness
from saffronstack.harness.leases.schedule import Fault, draw_schedule, shrink_schedule
from saffronstack.harness.links import LinkMode, LinkRelay
from saffronstack.runtime.threads import start_thread

SERIAL = pytest.mark.xdist_group("leases")  # tests with many processes run one at a time


@SERIAL
def test_one_holder_acts_at_a_time_through_faults_of_servers_candidates_links_and_disks(
    tmp_path: pathlib.Path,
) -> None:
    rig = LeaseHarness(tmp_path, HarnessOptions(seed=5, servers=5, candidates=6, lease_s=1.2, wait_s=0.4))
    try:
        report = rig.run(draw_schedule(5, 30.0, 5, 6, mean_interval_s=1.2), 30.0)
    finally:
        rig.close()
    check_result = report.check_result
    assert check_result.breaches == []
    assert check_result.acquired >= 4, report
    assert check_result.acts > 50, report
    assert sum(report.faults.values()) >= 10, report
    assert report.majority_held_s > 0.4 * report.majority_s > 1.0, report


@SERIAL
@pytest.mark.parametrize("broken", ["few", "late"])
def test_the_checker_finds_broken_candidate_processes(tmp_path: pathlib.Path, broken: str) -> None:
    rig = LeaseHarness(
        tmp_path, HarnessOptions(seed=2, servers=3, candidates=5, lease_s=1.2, wait_s=0.4, broken=broken)
    )
    # The defects show when a candidate reaches no majority, or when the holder is disconnected.
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
        report = rig.run(faults, 40.0, until_breach=True)
    finally:
        rig.close()
    assert report.check_result.breaches, report


def test_a_schedule_comes_from_its_seed_and_is_shrunk_to_what_fails() -> None:
    faults = draw_schedule(7, 60.0, 5, 6)
    assert faults == draw_schedule(7, 60.0, 5, 6) != draw_schedule(8, 60.0, 5, 6)
    assert len({fault.kind for fault in faults}) > 6
    failing = {faults[3], faults[-2]}
    assert set(shrink_schedule(faults, lambda fewer: failing <= set(fewer), 200)) == failing


def test_a_holder_that_resumes_after_expiry_reports_that_it_does_not_hold_the_lease() -> None:
    """Guards against a holder that reports an expired lease as valid until the current time.

    The checker then blamed the next holder.
    """
    assert expiry_at(100.0, 0.995, 0.995) == 101.0
    assert expiry_at(100.0, 0.0, 1.0) == 0.0
    judge = LeaseChecker()
    judge.handle(Acquired("a", 1, 0.0, 5.0))
    judge.handle(ActBegun("a", 1, 5.0))
    judge.handle(Acquired("b", 2, 6.0, 9.0))
    judge.handle(ActEnded("a", 1, 4.9, 8.0, expiry_at(8.0, 0.0, 1.0)))
    check_result = judge.check(0.0, 10.0)
    assert check_result.breaches == []
    assert check_result.overran == 1
    judge.close()


def test_a_clock_steps_forward_by_what_the_file_says_and_never_back(tmp_path: pathlib.Path) -> None:
    now = [0.0]
    steps = ClockSteps(tmp_path / "steps", lambda: now[0])
    assert steps() == 0.0
    for text, expected_s in (("2.5", 2.5), ("", 2.5), ("4", 4.0), ("1", 4.0)):
        (tmp_path / "steps").write_text(text)
        now[0] += ClockSteps.CHECK_INTERVAL_S
        assert steps() == expected_s


def test_the_checker_distinguishes_two_holders_older_tokens_and_pauses() -> None:
    judge = LeaseChecker()
    judge.handle(Acquired("a", 1, 0.0, 5.0))
    assert judge.handle(ActBegun("a", 1, 5.0)) == ReportResponse(True)
    assert judge.handle(ActEnded("a", 1, 1.0, 1.1, 5.0)) == ReportResponse(True)
    assert judge.check(0.0, 10.0).breaches == []
    judge.handle(Acquired("b", 2, 4.0, 9.0))
    (breach,) = judge.check(0.0, 10.0).breaches
    assert "a (token 1) holds until 5.000, b (token 2) from 4.000" in breach
    judge.close()
    judge = LeaseChecker()
    judge.handle(Acquired("a", 1, 0.0, 5.0))
    judge.handle(ActBegun("a", 1, 5.0))
    judge.handle(Acquired("b", 2, 6.0, 9.0))
    judge.handle(ActBegun("b", 2, 9.0))
    # a was paused during its action and resumes: its token is rejected, which is no breach.
    assert judge.handle(ActEnded("a", 1, 4.9, 7.0, 5.0)) == ReportResponse(False)
    check_result = judge.check(0.0, 10.0)
    assert check_result.breaches == []
    assert check_result.rejected == 1
    assert check_result.longest_free_s == 1.0
    judge.handle(Acquired("c", 2, 9.5, 9.6))
    assert "c and b both acquired token 2" in judge.check(0.0, 10.0).breaches[0]
    judge.close()


class EchoServer:
    """Sends received data back to the client."""

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
    echo, wires = EchoServer(), LinkRelay()
    address = wires.add_link("a", "b", echo.address)
    host, _, port = address.rpartition(":")
    sock = socket.create_connection((host, int(port)), timeout=10.0)
    sock.sendall(b"one\n")
    assert sock.recv(100) == b"one\n"
    forward, backward = wires.directions_between({"a"}, {"b"}), wires.directions_between({"b"}, {"a"})
    wires.set_mode(backward, LinkMode.HOLD)
    sock.sendall(b"two\n")
    sock.settimeout(0.2)
    with pytest.raises(TimeoutError):
        sock.recv(100)
    sock.settimeout(10.0)
    wires.set_mode(backward)
    assert sock.recv(100) == b"two\n"  # no data was lost
    wires.set_mode(forward, LinkMode.LOSE)
    sock.sendall(b"gone\n")
    threading.Event().wait(0.1)  # the relay must read the data before this direction forwards again
    wires.set_mode(forward, delay_s=0.3)
    began_s = time.monotonic()
    sock.sendall(b"late\n")
    assert sock.recv(100) == b"late\n"
    assert time.monotonic() - began_s >= 0.3
    wires.set_mode(forward)
    large = bytes(range(256)) * 20_000
    start_thread("sender", lambda: sock.sendall(large))
    received = b""
    while len(received) < len(large):
        received += sock.recv(65536)
    assert received == large
    wires.reset_connections(forward)
    with pytest.raises(ConnectionResetError):
        sock.recv(100)
    wires.set_refusing(forward, True)

    def connect_and_receive() -> None:
        with socket.create_connection((host, int(port)), timeout=10.0) as connection:
            connection.recv(100)

    with pytest.raises(ConnectionResetError):
        connect_and_receive()
    wires.set_refusing(forward, False)
    with socket.create_connection((host, int(port)), timeout=10.0) as reconnected:
        reconnected.sendall(b"x")
        reconnected.shutdown(socket.SHUT_WR)
        assert reconnected.recv(100) == b"x"
        assert reconnected.recv(100) == b""
    wires.close()
    echo.listener.close()
