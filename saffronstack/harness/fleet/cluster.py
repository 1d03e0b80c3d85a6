"""Many gateways of the platform's front, each a process, among stand-ins, with faults between; and the sums.

Clients send at random moments and stop waiting at their own time; every try is noted as its socket saw it,
every call and run as the hosts saw it, and `saffronstack.audit` judges both.
"""

from __future__ import annotations

import pathlib
import random
import signal
import socket
import struct
import threading
import time
from collections import Counter
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from saffronstack.audit.traffic import ClientRequest, EndpointChange, GatewayStop, WorkerLogEntry
from saffronstack.harness.fleet.clients import Caller
from saffronstack.harness.fleet.gateway import Gateway
from saffronstack.harness.fleet.plan import FleetPlan
from saffronstack.runtime.threads import start_thread
from saffronstack.standin.platform import HostEntry, StubDnsServer, StubHost

START_S = 60.0
LAG_LOOK_S = 0.02
ONCE = 1 << 16  # places of functions that are asked once; all of the class "look"


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
        self._threads = [start_thread("lag-writer", self._write), start_thread("lag-reader", self._read)]

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

    def __init__(self, plan: FleetPlan, folder: pathlib.Path, hosts: list[StubHost]) -> None:
        self.plan = plan
        self.hosts = hosts
        self.tries: list[ClientRequest] = []
        self.told: list[EndpointChange] = []
        self.stopped: list[GatewayStop] = []
        self.entries = [
            HostEntry(host.name, host.address, weight=plan.size_of(place)) for place, host in enumerate(hosts)
        ]
        self.directory = StubDnsServer(*self.entries)
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

    def tell(self, entries: list[HostEntry]) -> None:
        """A new list at the directory; gateways hear of it when they ask."""
        self.entries = entries
        self.directory.update(*entries)
        now = time.monotonic()
        listed = {entry.name for entry in entries}
        for entry in entries:
            started = now - (time.time() - entry.started / 1000) if entry.started else 0.0
            self.told.append(
                EndpointChange(now, entry.name, "draining" if entry.draining else "ready", started)
            )
        for name in {told.worker for told in self.told} - listed:
            self.told.append(EndpointChange(now, name, "gone"))

    def kill(self, gateways: Iterable[Gateway]) -> None:
        """Kill -9, all at once."""
        some = list(gateways)
        for gateway in some:
            self.stopped.append(GatewayStop(gateway.number, time.monotonic(), True))
            gateway.send(signal.SIGKILL)
        for gateway in some:
            gateway.wait()

    def leave(self, gateway: Gateway) -> None:
        """SIGTERM."""
        self.stopped.append(GatewayStop(gateway.number, time.monotonic(), False))
        gateway.send(signal.SIGTERM)

    def again(self, gateways: Iterable[Gateway]) -> None:
        """Start killed or ended gateways again."""
        some = list(gateways)
        self.start(some)
        now = time.monotonic()
        for gateway in some:
            for stop in self.stopped:
                if stop.gateway == gateway.number and stop.restarted_s == float("inf"):
                    stop.restarted_s = now

    def play(self, seconds: float, steps: Iterable[tuple[float, Callable[[], None]]] = ()) -> None:
        """Traffic for so long; each step runs at its time, on a thread of its own."""
        plan, chance = self.plan, random.Random(self.plan.seed)
        shares = [chance.random() ** (plan.uneven - 1) + 0.1 for _ in self.gateways]
        popular = plan.popularity()
        self.began_s = time.monotonic()
        threads = [start_thread("step", lambda at=at, step=step: self._step(at, step)) for at, step in steps]  # type: ignore[misc]
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
        while time.monotonic() < end_s and any(not t.outcome for t in self.tries):
            time.sleep(0.02)

    def _step(self, at: float, step: Callable[[], None]) -> None:
        time.sleep(max(0.0, self.began_s + at - time.monotonic()))
        try:
            step()
        except Exception as error:  # noqa: BLE001 - the verdict names it
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

    def sums(self, seen: Iterable[WorkerLogEntry], connects: Iterable[float]) -> Sums:
        """What hosts, directory and clients saw, by second."""
        sums = Sums(descriptors=self.most_descriptors, memory_mb=self.most_mb)
        for t in self.tries:
            sums.calls[int(t.sent_s - self.began_s)] += 1
        for at in connects:
            sums.links[int(at - self.began_s)] += 1
        for at, _ in list(self.directory.queries):
            sums.asks[int(at - self.began_s)] += 1
        for entry in seen:
            if entry.what == "arrive":
                sums.arrivals[entry.worker, int(entry.t - self.began_s)] += 1
        return sums
