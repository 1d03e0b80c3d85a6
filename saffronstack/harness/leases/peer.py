"""A process of the rig: a keeper or a candidate of the program, on a clock and a disk that the rig spoils.

    python -m saffronstack.harness.leases.peer '{"role": "keeper", ...}'

The program itself knows none of this: what it takes as clock and file layer is handed in here."""

from __future__ import annotations

import contextlib
import errno
import json
import os
import pathlib
import random
import socket
import sys
import threading
import time
from collections.abc import Callable
from typing import Any

from msgspec.structs import replace

from saffronstack.cli.leases import lease_fleet_of
from saffronstack.config.fleet import load_fleet
from saffronstack.durable.file_operations import FileOperations
from saffronstack.fleet.leases.candidate import Candidate
from saffronstack.fleet.leases.client import LeaseClient, holder_clock
from saffronstack.fleet.leases.lease_server import LeaseServer
from saffronstack.fleet.leases.limits import LeaseLimits
from saffronstack.fleet.leases.messages import (
    AcceptorAction,
    AcceptRequest,
    Message,
    ObservedWrites,
    SendMessage,
)
from saffronstack.fleet.leases.store import HeldLease
from saffronstack.runtime.threads import start_thread

ACT_S = 0.03
MARGIN_S = 0.1  # an act begins only with so much of the lease left beyond its length
LATE_PART = 0.1  # of the acts are decided, and done after a pause between


class LyingFiles(FileOperations):
    """A disk that does what a file of the rig's says: stalls before it has saved, is full, fails."""

    def __init__(self, orders: pathlib.Path) -> None:
        self._orders = orders

    def _order(self) -> dict[str, Any]:
        try:
            read: dict[str, Any] = json.loads(self._orders.read_text())
        except (OSError, ValueError):
            return {}
        return read

    def open(self, path: pathlib.Path) -> int:
        """A new file's descriptor."""
        if self._order().get("full"):
            raise OSError(errno.ENOSPC, os.strerror(errno.ENOSPC), str(path))
        return super().open(path)

    def sync(self, descriptor: int) -> None:
        """On the disk when this returns, however long that takes."""
        order = self._order()
        if order.get("fails"):
            raise OSError(errno.EIO, os.strerror(errno.EIO))
        until_s = time.monotonic() + float(order.get("stall_s", 0.0))
        while time.monotonic() < until_s and self._order().get("stall_s"):
            time.sleep(0.02)
        super().sync(descriptor)


def clock_at(rate: float, base: Callable[[], float]) -> Callable[[], float]:
    """A clock that runs at so many seconds a second."""
    zero = base()
    return lambda: zero + (base() - zero) * rate


class Steps:
    """Seconds by which a machine's clock is ahead of the others': it was suspended, says a file of the rig's.

    Forward alone: the clock that holders count by goes on meanwhile and is never set."""

    LOOK_S = 0.01

    def __init__(self, path: pathlib.Path, clock: Callable[[], float] = time.monotonic) -> None:
        self._path, self._clock = path, clock
        self._looked_s = -self.LOOK_S
        self._by_s = 0.0

    def __call__(self) -> float:
        """The whole of them so far."""
        now = self._clock()
        if now >= self._looked_s + self.LOOK_S:
            self._looked_s = now
            with contextlib.suppress(OSError, ValueError):  # none yet
                self._by_s = max(self._by_s, float(self._path.read_text()))
        return self._by_s


def keep(told: dict[str, Any]) -> None:
    """Be a keeper until standard input ends."""
    fleet = load_fleet(told["fleet"])
    node = LeaseServer(
        told["name"], lease_fleet_of(fleet), told["state"],
        clock=clock_at(told.get("rate", 1.0), time.monotonic),
        files=LyingFiles(pathlib.Path(told["disk"])) if "disk" in told else None,
    )  # fmt: skip
    if "trace" in told:
        trace_keeper(node, pathlib.Path(told["trace"]))
    host, port = node.start()
    print(f"{host}:{port}", flush=True)
    while sys.stdin.buffer.read(1024):
        continue
    os._exit(0)


class Trace:
    """Lines of what a machine heard and did, in the machine's own time; written whole, one at a time."""

    def __init__(self, path: pathlib.Path) -> None:
        self._descriptor = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_APPEND, 0o600)

    def note(self, **what: Any) -> None:
        """One line."""
        line = json.dumps({"at": round(holder_clock(), 4), **what}, default=repr)
        os.write(self._descriptor, line.encode() + b"\n")


def trace_keeper(node: LeaseServer, path: pathlib.Path) -> None:
    """Note each decision of a keeper, and what it began with."""
    trace, machine = Trace(path), node.service._acceptor
    table, recovery = machine.table, machine.recovery
    handle, tick = machine.handle, machine.tick
    trace.note(began=recovery.disk_state.value, write=table.last_write, records=repr(machine.records()))

    def handled(now: float, sender: str, message: Message) -> list[AcceptorAction]:
        actions = handle(now, sender, message)
        said = [repr(action.message) for action in actions if isinstance(action, SendMessage)]
        sure, write = recovery.has_recovered, table.last_write
        trace.note(now=now, heard=repr(message), said=said, sure=sure, write=write)
        return actions

    def ticked(now: float) -> list[AcceptorAction]:
        before = recovery.has_recovered
        actions = tick(now)
        if recovery.has_recovered is not before:
            trace.note(now=now, settled=True, records=repr(machine.records()))
        return actions

    machine.handle, machine.tick = handled, ticked  # type: ignore[method-assign]


class Actor:
    """A candidate that has the rig's resource do things while it holds, and says what it believes."""

    def __init__(self, told: dict[str, Any]) -> None:
        fleet = load_fleet(told["fleet"])
        rate = float(told.get("rate", 1.0))
        self.name, self.lease, self._rate = str(told["name"]), str(told["lease"]), rate
        self._random = random.Random(int(told["seed"]))
        clock, steps = clock_at(rate, holder_clock), Steps(pathlib.Path(told.get("steps", "")))
        self.client = LeaseClient(
            lease_fleet_of(fleet),
            self.name,
            fleet.lease_s,
            int(told["seed"]),
            lambda: clock() + steps(),
            BROKEN.get(told.get("broken", ""), Candidate),
        )
        host, _, port = str(told["resource"]).rpartition(":")
        self._lock = threading.Lock()
        self._sock = socket.create_connection((host, int(port)), timeout=20.0)
        self._reader = self._sock.makefile("rb")

    def _say(self, **what: Any) -> dict[str, Any]:
        with self._lock:
            self._sock.sendall(json.dumps({"name": self.name, **what}).encode() + b"\n")
            answer: dict[str, Any] = json.loads(self._reader.readline() or b"{}")
            return answer

    def believed_until(self, held: HeldLease) -> float:
        """In the machine's own time, until when it believes to hold, asked for before it is said; 0 where it
        does not believe so any more. One that was stopped in the midst of an act wakes to that."""
        return until_of(holder_clock(), held.remaining_s(), self._rate)

    def run(self) -> None:
        """Until killed."""
        while True:
            held = self.client.acquire(self.lease, 60.0)
            if held is None:
                continue
            gained_s = holder_clock()
            self._say(do="gained", token=held.token, at=gained_s, until=self.believed_until(held))
            ends_s = holder_clock() + self._random.expovariate(1 / 6.0)
            while held.remaining_s() > 0 and holder_clock() < ends_s:
                self._act(held)
                time.sleep(0.02)
            if held.remaining_s() > 0:
                # Said before it is done: the next one may act before a word that comes after it.
                self._say(do="released", token=held.token, at=holder_clock())
                held.release()
            time.sleep(self._random.random() * 0.2)

    def _act(self, held: HeldLease) -> None:
        left_s = held.remaining_s()
        if left_s < ACT_S + MARGIN_S:
            return
        if self._random.random() < LATE_PART:
            time.sleep(self._random.random() * 0.05)
        until_s = self.believed_until(held)
        began_s = holder_clock()
        if not self._say(do="begin", token=held.token, until=until_s).get("taken"):
            return
        time.sleep(ACT_S)
        self._say(
            do="end", token=held.token, began=began_s, ended=holder_clock(), until=self.believed_until(held)
        )


def until_of(now: float, left_s: float, rate: float) -> float:
    """The moment until which ``left_s`` of a clock of that rate run; 0 where nothing is left."""
    return now + left_s / rate if left_s > 0 else 0.0


class Late(Candidate):
    """Believes in its lease for twice the time that it has keepers grant."""

    def _accept_request(self, observed_writes: ObservedWrites = ()) -> AcceptRequest:
        return replace(super()._accept_request(observed_writes), duration_s=self.lease_s / 2)


class One(LeaseLimits):
    """One keeper's word is a majority."""

    __slots__ = ()

    @property
    def majority(self) -> int:
        """One of any number: the fault that the judge must find."""
        return 1


class Few(Candidate):
    """One keeper's word is enough for it."""

    def __init__(self, name: str, lease: str, length_s: float, bounds: LeaseLimits, seed: int) -> None:
        super().__init__(
            name, lease, length_s, One(bounds.servers, bounds.max_lease_s, bounds.max_clock_drift), seed
        )


# Candidates that the judge of the processes must find.
BROKEN: dict[str, type[Candidate]] = {"late": Late, "few": Few}


def main() -> None:
    """See above."""
    told = json.loads(sys.argv[1])
    if told["role"] == "keeper":
        keep(told)
        return

    def end_with_rig() -> None:
        while sys.stdin.buffer.read(1024):
            continue
        os._exit(0)

    start_thread("parent", end_with_rig)
    print("ready", flush=True)
    Actor(told).run()


if __name__ == "__main__":
    main()
