"""Many gateways of the platform's front, each a process, among stand-ins, with faults between; and the sums.

Clients send at random moments and stop waiting at their own time; every try is noted as its socket saw it,
every call and run as the hosts saw it, and `saffronstack.audit` judges both."""

from __future__ import annotations

import contextlib
import json
import os
import pathlib
import random
import signal
import socket
import struct
import subprocess
import sys
import threading
import time
from collections import Counter
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from itertools import count
from typing import Any

from saffronstack.audit.traffic import Seen, Stopped, Told, Try
from saffronstack.core.threads import spawn
from saffronstack.resp.reader import RespLimits, RespReader, encode
from saffronstack.standin.platform import Directory, Entry, LinesHost
from saffronstack.standin.stamps import Stamped
from saffronstack.standin.worker import hold_port

START_S = 60.0
LAG_LOOK_S = 0.02
ONCE = 1 << 16  # places of functions that are asked once; all of the class "look"
OPEN_MOST = 24  # calls on one connection of clients
ENDINGS = {"OK": "served", "BUSY": "refused"}
CLASSES: list[dict[str, Any]] = [
    {"Name": "look", "Idempotency": "safe", "DeadlineS": 3.0, "PromiseS": 0.5},
    {"Name": "sell", "Idempotency": "unsafe", "DeadlineS": 3.0, "PromiseS": 0.75, "Worth": 2.0},
]
EFFECTS = {str(cls["Name"]): str(cls["Idempotency"]) for cls in CLASSES}


@dataclass(frozen=True)
class FleetPlan:
    """Sizes and figures; times in seconds, rates in calls a second over the fleet."""

    gateways: int = 40
    hosts: int = 8
    rate: float = 160.0
    functions: int = 40
    sell_part: float = 0.2
    memory_mb: float = 1000.0  # of a copy
    host_mb: float = 16000.0
    lanes: int = 2
    cores: int = 4
    work_s: float = 0.02
    load_s: float = 0.15
    cold_share: float = 0.4
    cold_s: float = 6.0
    keep_alive_s: float = 8.0
    uneven: float = 3.0  # how often the busiest gateways' share holds the mean
    sockets: int = 256
    memory_limit_mb: int = 96
    hot: int = 0  # so many functions take four in five of the calls
    once: float = 0.0  # part of the calls for functions that are asked once and never again
    sizes: tuple[int, ...] = (1,)  # of the hosts, in turn: weight, and cores as a multiple
    seed: int = 1

    def size_of(self, place: int) -> int:
        """A host's."""
        return self.sizes[place % len(self.sizes)]

    def popularity(self) -> list[float]:
        """How often each function is called beside others."""
        usual = [1.0 / (place + 2) for place in range(self.functions)]
        if not self.hot:
            return usual
        rest = sum(usual[self.hot :])
        return [4 * rest / self.hot] * self.hot + usual[self.hot :]

    def settings(self, gateway: int) -> dict[str, Any]:
        """What the platform hands a gateway."""
        return {
            "Areas": ["east", "west"], "Kinds": ["std"], "Instances": self.gateways, "SelfIndex": gateway,
            "FamilyInfo": {
                "MemoryMbByKind": [self.host_mb], "IdleLifeS": self.keep_alive_s, "SaysWarm": True,
                "NotesPeersInHand": True,
            },
            "LoadInfo": {"Via": "answers", "Fields": ["queue", "util"]},
            "Permissions": {
                "MaxAttempts": 6, "Cancelling": True, "RetryAfter": True, "MaxRetryAfterS": 0.5,
                "ConnectTimeoutS": 0.25, "IdleCloseS": 30.0, "StreamsPerConn": 32,
            },
            "RequestClasses": CLASSES,
            "Tenants": [
                {"Name": "acme", "Share": 0.8, "QuotaRps": 1.6 * self.rate},
                {"Name": "flood", "Share": 0.2, "QuotaRps": 0.4 * self.rate},
            ],
            "Rules": {
                "DrainGraceS": 2.0, "ColdShare": self.cold_share, "ColdS": self.cold_s, "TipMultiple": 3.0,
                "TipAfterS": 1.0,
            },
        }  # fmt: skip


class Gateway:
    """One gateway process; its address and configuration file stay over its lives."""

    def __init__(self, number: int, folder: pathlib.Path, plan: FleetPlan) -> None:
        self.number = number
        self.plan = plan
        self.path = folder / f"gateway-{number}.json"
        self.log = folder / f"gateway-{number}.log"
        self._held = hold_port("127.0.0.1")  # nobody else gets the port between two lives
        self.address = ("127.0.0.1", self._held.getsockname()[1])
        self.process: subprocess.Popen[bytes] | None = None
        self.lives = 0

    def write(self, nameserver: str, entries: Iterable[Entry], serial: int) -> None:
        """The configuration file, changed as a whole."""
        states = {True: "Terminating", False: "Ready"}
        endpoints = [
            {
                "name": entry.name, "address": entry.address, "zone": entry.zone, "type": "std", "group": 0,
                "status": states[entry.draining], "weight": entry.weight, "since_ms": entry.started,
            }
            for entry in entries
        ]  # fmt: skip
        pool = {"index": 0, "snapshot": True, "endpoints": endpoints}
        content = {
            "name": f"n{self.number}", "listen": f"{self.address[0]}:{self.address[1]}",
            "seed": f"{self.plan.seed * 100_000 + self.number * 100 + self.lives:016x}",
            "nameserver": nameserver, "known": {"rev": serial, "notices": [{"rev": serial, "pool": pool}]},
            "limits": {
                "cores": 1.0, "memory_mb": self.plan.memory_limit_mb, "sockets": self.plan.sockets,
            },
            "settings": self.plan.settings(self.number),
        }  # fmt: skip
        partial = self.path.with_suffix(".tmp")
        partial.write_text(json.dumps(content))
        os.replace(partial, self.path)

    def start(self) -> None:
        """Start it; ``ready`` tells when it takes calls."""
        self.lives += 1
        with open(self.log, "ab") as log:
            self.process = subprocess.Popen(
                [sys.executable, "-m", "saffronstack.platform"], stderr=log,
                env={**os.environ, "LB_CONFIG": str(self.path), "LB_NAME": f"n{self.number}"},
            )  # fmt: skip

    def ready(self) -> bool:
        """Whether this life takes calls; AssertionError where it ended instead."""
        assert self.process is not None and self.process.poll() is None, self.log.read_text()
        return self.log.read_text().count("takes calls") >= self.lives

    def send(self, number: signal.Signals) -> None:
        """A signal to its process."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def wait(self, timeout_s: float = 20.0) -> int:
        """Its exit status; it is killed where it does not end in time."""
        assert self.process is not None
        try:
            return self.process.wait(timeout_s)
        except subprocess.TimeoutExpired:
            self.process.kill()
            self.process.wait()
            return -int(signal.SIGKILL)

    def descriptors(self) -> int:
        """How many it holds; 0 where it is gone."""
        assert self.process is not None
        with contextlib.suppress(OSError):
            return len(os.listdir(f"/proc/{self.process.pid}/fd"))
        return 0

    def memory_mb(self) -> float:
        """Resident memory; 0 where it is gone."""
        assert self.process is not None
        with contextlib.suppress(OSError):
            pages = int(pathlib.Path(f"/proc/{self.process.pid}/statm").read_text().split()[1])
            return pages * os.sysconf("SC_PAGE_SIZE") / 1e6
        return 0.0


class Line:
    """One connection of a gateway's clients; it ends with the first error."""

    def __init__(self, sock: socket.socket, caller: Caller) -> None:
        self.sock = sock
        self.open: dict[int, Try] = {}  # by tag; under the caller's lock
        self.tags = 0
        self._caller = caller

    def read(self) -> None:
        """Fill in the tries whose answers come, until the connection ends."""
        reader = RespReader(RespLimits(body_bytes=1 << 20))
        self.sock.settimeout(30.0)
        answers = Stamped(self.sock)
        while True:
            try:
                data = answers.recv(65536)
            except OSError:
                data = b""
            if not data:
                self._caller.broke(self)
                return
            now = answers.came_s
            reader.feed(data)
            while (words := reader.next()) is not None:
                self._caller.answered(self, int(words[0]), words[1].decode(), now)


class Caller:
    """The clients of one gateway. Each connection carries fewer calls than a gateway lets one have open: what
    is refused is refused by its decisions, however long a stall of the machine makes calls pile up."""

    def __init__(self, gateway: Gateway, tries: list[Try]) -> None:
        self.gateway = gateway
        self.doubled = 0  # answers under a tag that was answered, or never used
        self._tries = tries
        plan = gateway.plan
        self._facts = f"memory_mb:{plan.memory_mb:g};lanes:{plan.lanes}"
        self._lock = threading.Lock()
        self._lines: list[Line] = []

    def call(self, request: int, cls: str, function: str, timeout_s: float, tenant: str = "acme") -> Try:
        """Send one; its try is filled in when something comes back."""
        op = f"{request:016x}"
        t = Try(op, self.gateway.number, function, time.monotonic(), 0.0, id=op, tenant=tenant)
        t.deadline_s = t.sent_s + timeout_s
        told = (
            f"req={op},timeout={timeout_s * 1000:.0f},owner={tenant},subject={function},facts={self._facts}"
        )
        with self._lock:
            self._tries.append(t)
            line = next((one for one in self._lines if len(one.open) < OPEN_MOST), None)
            fresh = line is None
            if line is None:
                try:
                    line = Line(socket.create_connection(self.gateway.address, timeout=5.0), self)
                except OSError:
                    t.end, t.ended_s = "not_taken", time.monotonic()
                    return t
                self._lines.append(line)
            line.tags += 1
            words = (b"CALL", b"%d" % line.tags, cls.encode(), told.encode(), b"x")
            line.open[line.tags] = t
            t.sent_s = time.monotonic()  # its time runs from here, however long the connection took
            t.deadline_s = t.sent_s + timeout_s
            try:
                line.sock.sendall(encode(words))
            except OSError:
                self._end(line)
                return t
            # After the first bytes: a thread may be long in starting, and a gateway waits 2 s for them.
            if fresh:
                spawn("caller", line.read)
        return t

    def answered(self, line: Line, tag: int, word: str, now: float) -> None:
        """An answer came on a connection."""
        with self._lock:
            t = line.open.pop(tag, None)
        if t is None:
            self.doubled += 1
        else:
            t.end, t.ended_s = ENDINGS.get(word, "failed"), now

    def broke(self, line: Line) -> None:
        """A connection is over."""
        with self._lock:
            self._end(line)

    def _end(self, line: Line) -> None:
        """What was open on it got nothing."""
        if line in self._lines:
            self._lines.remove(line)
        for t in line.open.values():
            t.end, t.ended_s = "broken", time.monotonic()
        line.open.clear()
        with contextlib.suppress(OSError):
            line.sock.close()

    def close(self) -> None:
        """End the connections."""
        with self._lock:
            for line in list(self._lines):
                self._end(line)


class Impatient:
    """Clients that leave long before their answer and come again as somebody new, far too often."""

    def __init__(self, fleet: Fleet, clients: int, patience_s: float, seconds: float) -> None:
        self._fleet, self._patience_s, self._seconds = fleet, patience_s, seconds
        self._clients = clients
        self._numbers = count(1)

    def run(self) -> None:
        """Until its time is over."""
        end_s = time.monotonic() + self._seconds
        threads = [
            spawn("impatient", lambda n=n: self._client(random.Random(n), end_s))  # type: ignore[misc]
            for n in range(self._clients)
        ]
        for thread in threads:
            thread.join(self._seconds + 10.0)

    def _client(self, chance: random.Random, end_s: float) -> None:
        plan = self._fleet.plan
        facts = f"memory_mb:{plan.memory_mb:g};lanes:{plan.lanes}"
        while time.monotonic() < end_s:
            gateway = chance.choice(self._fleet.gateways)
            place = 1 + 5 * chance.randrange(plan.functions // 5)  # of the class "look"
            function = self._fleet.name_of(place)
            op = f"{0xFEED << 40 | next(self._numbers):016x}"
            t = Try(op, gateway.number, function, time.monotonic(), 0.0, id=op)
            t.deadline_s = t.sent_s + 3.0
            told = f"req={op},timeout=3000,owner=acme,subject={function},facts={facts}"
            self._fleet.tries.append(t)
            try:
                with socket.create_connection(gateway.address, timeout=5.0) as sock:
                    sock.sendall(encode((b"CALL", b"1", b"look", told.encode(), b"x")))
                    sock.settimeout(self._patience_s)
                    came = sock.recv(65536)
                    t.end = "served" if b"OK" in came else "refused" if b"BUSY" in came else "broken"
            except TimeoutError:
                t.end = "left"
            except OSError:
                t.end = "not_taken"
            t.ended_s = time.monotonic()


@dataclass
class Sums:
    """What the fleet did together, by second since the beginning of the traffic."""

    calls: Counter[int] = field(default_factory=Counter)
    links: Counter[int] = field(default_factory=Counter)  # opened to hosts
    asks: Counter[int] = field(default_factory=Counter)  # for the list
    arrivals: Counter[tuple[str, int]] = field(default_factory=Counter)  # by host
    loads: int = 0
    warm: int = 0
    descriptors: int = 0  # the most that one gateway held
    memory_mb: float = 0.0

    def per_second(self, counted: Counter[int], since: int, until: int) -> float:
        """The mean over whole seconds."""
        return sum(counted[second] for second in range(since, until)) / max(1, until - since)


class Lag:
    """How late a thread of this process reads what has come; what clients and hosts here saw may be so."""

    def __init__(self) -> None:
        self.most_s = 0.0
        self._near, self._far = socket.socketpair()
        self._ended = False
        self._threads = [spawn("lag-writer", self._write), spawn("lag-reader", self._read)]

    def _write(self) -> None:
        while not self._ended:
            self._near.sendall(struct.pack("d", time.monotonic()))
            time.sleep(LAG_LOOK_S)

    def _read(self) -> None:
        with self._far:
            while (sent := self._far.recv(8)) and len(sent) == 8:
                self.most_s = max(self.most_s, time.monotonic() - float(struct.unpack("d", sent)[0]))

    def close(self) -> None:
        """End its threads."""
        self._ended = True
        self._threads[0].join(5.0)
        self._near.close()
        self._threads[1].join(5.0)


class Fleet:
    """Hosts and directory in this process, gateways in their own. Use as a context."""

    def __init__(self, plan: FleetPlan, folder: pathlib.Path, hosts: list[LinesHost]) -> None:
        self.plan = plan
        self.hosts = hosts
        self.tries: list[Try] = []
        self.told: list[Told] = []
        self.stopped: list[Stopped] = []
        self.entries = [
            Entry(host.name, host.address, weight=plan.size_of(place)) for place, host in enumerate(hosts)
        ]
        self.directory = Directory(*self.entries)
        self.gateways = [Gateway(number, folder, plan) for number in range(plan.gateways)]
        self.callers = [Caller(gateway, self.tries) for gateway in self.gateways]
        self.began_s = 0.0
        self.turn = threading.Lock()  # steps that must not cross: SIGHUP before a gateway is ready ends it
        self.faults: list[str] = []  # steps that did not come off
        self.lag = Lag()
        self.most_descriptors = 0
        self.most_mb = 0.0

    def __enter__(self) -> Fleet:
        self.start(self.gateways)
        return self

    def __exit__(self, *exc: object) -> None:
        for caller in self.callers:
            caller.close()
        for gateway in self.gateways:
            gateway.send(signal.SIGKILL)
        for gateway in self.gateways:
            if gateway.process is not None:
                gateway.wait()
        self.lag.close()
        self.directory.close()
        for host in self.hosts:
            host.stop()

    def start(self, gateways: Iterable[Gateway]) -> None:
        """Start them all at once, and return when they take calls."""
        some = list(gateways)
        for gateway in some:
            gateway.write(self.directory.address, self.entries, self.directory.serial)
            gateway.start()
        end_s = time.monotonic() + START_S
        for gateway in some:
            while not gateway.ready():
                assert time.monotonic() < end_s, f"gateway {gateway.number} did not start in time"
                time.sleep(0.02)

    def tell(self, entries: list[Entry]) -> None:
        """A new list at the directory; gateways hear of it when they ask."""
        self.entries = entries
        self.directory.put(*entries)
        now = time.monotonic()
        listed = {entry.name for entry in entries}
        for entry in entries:
            started = now - (time.time() - entry.started / 1000) if entry.started else 0.0
            self.told.append(Told(now, entry.name, "draining" if entry.draining else "ready", started))
        for name in {told.worker for told in self.told} - listed:
            self.told.append(Told(now, name, "gone"))

    def kill(self, gateways: Iterable[Gateway]) -> None:
        """kill -9, all at once."""
        some = list(gateways)
        for gateway in some:
            self.stopped.append(Stopped(gateway.number, time.monotonic(), True))
            gateway.send(signal.SIGKILL)
        for gateway in some:
            gateway.wait()

    def leave(self, gateway: Gateway) -> None:
        """SIGTERM."""
        self.stopped.append(Stopped(gateway.number, time.monotonic(), False))
        gateway.send(signal.SIGTERM)

    def again(self, gateways: Iterable[Gateway]) -> None:
        """Start killed or ended gateways again."""
        some = list(gateways)
        self.start(some)
        now = time.monotonic()
        for gateway in some:
            for stop in self.stopped:
                if stop.gateway == gateway.number and stop.back_s == float("inf"):
                    stop.back_s = now

    def play(self, seconds: float, steps: Iterable[tuple[float, Callable[[], None]]] = ()) -> None:
        """Traffic for so long; each step runs at its time, on a thread of its own."""
        plan, chance = self.plan, random.Random(self.plan.seed)
        shares = [chance.random() ** (plan.uneven - 1) + 0.1 for _ in self.gateways]
        popular = plan.popularity()
        self.began_s = time.monotonic()
        threads = [spawn("step", lambda at=at, step=step: self._step(at, step)) for at, step in steps]  # type: ignore[misc]
        at, request, looked_s = 0.0, len(self.tries), 0.0
        while at < seconds:
            at += chance.expovariate(plan.rate)
            pause = self.began_s + at - time.monotonic()
            if pause > 0:
                time.sleep(pause)
            request += 1
            place = chance.choices(range(plan.functions), popular)[0]
            if chance.random() < plan.once:
                place = ONCE + 5 * request + 1
            cls = "sell" if place % 5 == 0 else "look"
            caller = chance.choices(self.callers, shares)[0]
            caller.call(plan.seed << 32 | request, cls, self.name_of(place), 3.0)
            if at > looked_s + 1.0:
                looked_s = at
                self.look()
        for thread in threads:
            thread.join(60.0)
            if thread.is_alive():
                self.faults.append("a step did not end")
        end_s = time.monotonic() + 5.0
        while time.monotonic() < end_s and any(not t.end for t in self.tries):
            time.sleep(0.02)

    def _step(self, at: float, step: Callable[[], None]) -> None:
        time.sleep(max(0.0, self.began_s + at - time.monotonic()))
        try:
            step()
        except Exception as error:
            self.faults.append(f"step at {at:.1f} s: {error!r}")

    def look(self) -> None:
        """Descriptors and memory of a few gateways."""
        for gateway in self.gateways[:: max(1, len(self.gateways) // 8)]:
            if gateway.process is not None:
                self.most_descriptors = max(self.most_descriptors, gateway.descriptors())
                self.most_mb = max(self.most_mb, gateway.memory_mb())

    @staticmethod
    def name_of(place: int) -> str:
        """A function's name on the platform."""
        return f"{0x5AFF0000 + place:016x}"

    def sums(self, seen: Iterable[Seen], connects: Iterable[float]) -> Sums:
        """What hosts, directory and clients saw, by second."""
        sums = Sums(descriptors=self.most_descriptors, memory_mb=self.most_mb)
        for t in self.tries:
            sums.calls[int(t.sent_s - self.began_s)] += 1
        for at in connects:
            sums.links[int(at - self.began_s)] += 1
        for at, _ in list(self.directory.asks):
            sums.asks[int(at - self.began_s)] += 1
        for entry in seen:
            if entry.what == "arrive":
                sums.arrivals[entry.worker, int(entry.t - self.began_s)] += 1
        return sums
