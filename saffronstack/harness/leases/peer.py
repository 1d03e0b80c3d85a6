"""Process of the lease harness: a lease server or a candidate, whose clock and disk can be made faulty.

    python -m saffronstack.harness.leases.peer '{"role": "server", ...}'

Clock and file operations are injected here; the production code has no knowledge of the harness.
"""

from __future__ import annotations

import json
import os
import pathlib
import random
import socket
import sys
import threading
import time

import msgspec

from saffronstack.cli.leases import create_lease_fleet
from saffronstack.config.fleet import load_fleet_file
from saffronstack.fleet.leases.candidate import Candidate
from saffronstack.fleet.leases.client import LeaseClient, holder_clock
from saffronstack.fleet.leases.lease_server import LeaseServer
from saffronstack.fleet.leases.messages import AcceptorAction, Message, SendMessage
from saffronstack.fleet.leases.store import HeldLease
from saffronstack.harness.leases.broken_candidates import BROKEN_CANDIDATES
from saffronstack.harness.leases.faulty_environment import ClockSteps, FaultyFiles, drifting_clock
from saffronstack.harness.leases.holder_reports import (
    Acquired,
    ActBegun,
    ActEnded,
    HolderReport,
    Released,
    ReportResponse,
    decode_response,
    encode_line,
)
from saffronstack.runtime.threads import start_thread

ACT_DURATION_S = 0.03
ACT_INTERVAL_S = 0.02
MIN_LEASE_MARGIN_S = 0.1  # remaining lease time after an act, below which the act is not started
PRE_ACT_DELAY_PROBABILITY = 0.1  # of a delay between the check of the lease and the act
MAX_PRE_ACT_DELAY_S = 0.05
MEAN_HOLD_S = 6.0  # until a holder releases the lease
MAX_REACQUIRE_DELAY_S = 0.2  # between a release and the next acquisition
ACQUIRE_TIMEOUT_S = 60.0
REPORT_TIMEOUT_S = 20.0


class ServerOptions(msgspec.Struct, frozen=True, tag_field="role", tag="server"):
    """Options of a lease server.

    Attributes:
        fleet: Path of the fleet file.
        name: Name of the server.
        state: Path of its state directory.
        clock_rate: Speed of its clock relative to the machine's.
        disk_fault: Path of the file from which it reads the fault of its disk.
        trace: Path of the file to which it writes its decisions.
    """

    fleet: str
    name: str
    state: str
    clock_rate: float
    disk_fault: str
    trace: str


class CandidateOptions(msgspec.Struct, frozen=True, tag_field="role", tag="candidate"):
    """Options of a candidate; ``broken`` is a key of `BROKEN_CANDIDATES`, or empty."""

    fleet: str
    name: str
    lease: str
    resource: str  # address of the checker
    seed: int
    clock_rate: float
    clock_steps: str
    broken: str = ""


def run_server(options: ServerOptions) -> None:
    """Run a lease server until standard input ends."""
    server = LeaseServer(
        options.name,
        create_lease_fleet(load_fleet_file(options.fleet)),
        options.state,
        clock=drifting_clock(options.clock_rate, time.monotonic),
        files=FaultyFiles(pathlib.Path(options.disk_fault)),
    )
    trace_server_decisions(server, pathlib.Path(options.trace))
    host, port = server.start()
    print(f"{host}:{port}", flush=True)
    exit_with_parent()


def exit_with_parent() -> None:
    """Exit when standard input ends, which happens when the parent process exits."""
    while sys.stdin.buffer.read(1024):
        continue
    os._exit(0)


class Trace:
    """File of JSON lines with the time of CLOCK_BOOTTIME, written without buffering."""

    def __init__(self, path: pathlib.Path) -> None:
        """Open a file for appending."""
        self._descriptor = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_APPEND, 0o600)

    def write(self, **fields: object) -> None:
        """Write the current time and the fields as a line."""
        line = json.dumps({"at": round(holder_clock(), 4), **fields}, default=repr)
        os.write(self._descriptor, line.encode() + b"\n")


def trace_server_decisions(server: LeaseServer, path: pathlib.Path) -> None:
    """Write the initial state of a server's acceptor and each of its decisions to a file."""
    trace, acceptor = Trace(path), server.service._acceptor
    table, recovery = acceptor.table, acceptor.recovery
    handle, tick = acceptor.handle, acceptor.tick
    trace.write(
        started=recovery.disk_state.value, last_write=table.last_write, records=repr(acceptor.records())
    )

    def traced_handle(now: float, sender: str, message: Message) -> list[AcceptorAction]:
        actions = handle(now, sender, message)
        trace.write(
            now=now,
            received=repr(message),
            sent=[repr(action.message) for action in actions if isinstance(action, SendMessage)],
            has_recovered=recovery.has_recovered,
            last_write=table.last_write,
        )
        return actions

    def traced_tick(now: float) -> list[AcceptorAction]:
        had_recovered = recovery.has_recovered
        actions = tick(now)
        if recovery.has_recovered is not had_recovered:
            trace.write(now=now, recovered=True, records=repr(acceptor.records()))
        return actions

    acceptor.handle, acceptor.tick = traced_handle, traced_tick  # type: ignore[method-assign]


class CandidateProcess:
    """A candidate that acts on the resource while it holds the lease, and reports holding times and acts."""

    def __init__(self, options: CandidateOptions) -> None:
        """Create the lease client and connect to the resource."""
        fleet = load_fleet_file(options.fleet)
        self.name, self.lease, self._clock_rate = options.name, options.lease, options.clock_rate
        self._random = random.Random(options.seed)
        clock = drifting_clock(options.clock_rate, holder_clock)
        clock_steps = ClockSteps(pathlib.Path(options.clock_steps))
        self.client = LeaseClient(
            create_lease_fleet(fleet),
            self.name,
            fleet.lease_s,
            options.seed,
            lambda: clock() + clock_steps(),
            BROKEN_CANDIDATES.get(options.broken, Candidate),
        )
        host, _, port = options.resource.rpartition(":")
        self._lock = threading.Lock()  # guards the connection
        self._sock = socket.create_connection((host, int(port)), timeout=REPORT_TIMEOUT_S)
        self._reader = self._sock.makefile("rb")

    def _report(self, report: HolderReport) -> ReportResponse:
        with self._lock:
            self._sock.sendall(encode_line(report))
            return decode_response(self._reader.readline())

    def lease_expiry_s(self, held: HeldLease) -> float:
        """Return the lease's expiry in seconds of CLOCK_BOOTTIME; 0 if the lease has expired.

        It is computed for each report, because the lease may expire while the process is paused in an act.
        """
        return expiry_at(holder_clock(), held.remaining_s(), self._clock_rate)

    def run(self) -> None:
        """Acquire the lease, act on the resource and release the lease, until the process is killed."""
        while True:
            held = self.client.acquire(self.lease, ACQUIRE_TIMEOUT_S)
            if held is not None:
                self._hold_lease(held)
                time.sleep(self._random.random() * MAX_REACQUIRE_DELAY_S)

    def _hold_lease(self, held: HeldLease) -> None:
        acquired_s = holder_clock()
        self._report(Acquired(self.name, held.token, acquired_s, self.lease_expiry_s(held)))
        release_at_s = holder_clock() + self._random.expovariate(1 / MEAN_HOLD_S)
        while held.remaining_s() > 0 and holder_clock() < release_at_s:
            self._act(held)
            time.sleep(ACT_INTERVAL_S)
        if held.remaining_s() > 0:
            # Reported before the release, since the next holder could act before a later report arrives.
            self._report(Released(self.name, held.token, holder_clock()))
            held.release()

    def _act(self, held: HeldLease) -> None:
        if held.remaining_s() < ACT_DURATION_S + MIN_LEASE_MARGIN_S:
            return
        if self._random.random() < PRE_ACT_DELAY_PROBABILITY:
            time.sleep(self._random.random() * MAX_PRE_ACT_DELAY_S)
        until_s = self.lease_expiry_s(held)
        began_s = holder_clock()
        if not self._report(ActBegun(self.name, held.token, until_s)).is_accepted:
            return
        time.sleep(ACT_DURATION_S)
        ended_s = holder_clock()
        self._report(ActEnded(self.name, held.token, began_s, ended_s, self.lease_expiry_s(held)))


def expiry_at(now: float, remaining_s: float, clock_rate: float) -> float:
    """Return when ``remaining_s`` seconds of a clock of that rate have passed; 0 if nothing remains."""
    return now + remaining_s / clock_rate if remaining_s > 0 else 0.0


def main() -> None:
    """Run the process that the JSON options in the first argument describe."""
    options: ServerOptions | CandidateOptions = msgspec.json.decode(
        sys.argv[1], type=ServerOptions | CandidateOptions
    )
    if isinstance(options, ServerOptions):
        run_server(options)
        return
    start_thread("parent", exit_with_parent)
    print("ready", flush=True)
    CandidateProcess(options).run()


if __name__ == "__main__":
    main()
