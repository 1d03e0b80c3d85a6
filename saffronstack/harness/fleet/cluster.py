"""Runs many platform gateways as processes, with stub hosts and fault injection, and counts what they did.

Clients send at random times and have their own timeouts. Each attempt is recorded as its socket observed it,
and each call and execution as the hosts observed it. `saffronstack.audit` checks both.
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
from saffronstack.harness.fleet.clients import GatewayClients
from saffronstack.harness.fleet.gateway import Gateway
from saffronstack.harness.fleet.plan import FleetPlan
from saffronstack.runtime.threads import start_thread
from saffronstack.standin.platform import HostEntry, StubDnsServer, StubHost

START_TIMEOUT_S = 60.0
LAG_SEND_INTERVAL_S = 0.02
SINGLE_USE_OFFSET = 1 << 16  # numbers of functions that are called once start here; all in the class "look"


@dataclass
class FleetCounts:
    """Counts over the whole fleet, by second since the start of the traffic."""

    calls: Counter[int] = field(default_factory=Counter)
    connections: Counter[int] = field(default_factory=Counter)  # opened by gateways to hosts
    asks: Counter[int] = field(default_factory=Counter)  # polls of the endpoint list
    arrivals: Counter[tuple[str, int]] = field(default_factory=Counter)  # of calls, by host
    loads: int = 0
    warm: int = 0
    descriptors: int = 0  # maximum of one gateway
    memory_mb: float = 0.0

    def per_second(self, counts: Counter[int], since: int, until: int) -> float:
        """Return the mean per second over whole seconds."""
        return sum(counts[second] for second in range(since, until)) / max(1, until - since)


class ReadLag:
    """Measures how late a thread of this process reads received bytes.

    The times that clients and hosts of this process record can be late by as much.
    """

    def __init__(self) -> None:
        self.max_s = 0.0
        self._near, self._far = socket.socketpair()
        self._ended = False
        self._threads = [start_thread("lag-writer", self._write), start_thread("lag-reader", self._read)]

    def _write(self) -> None:
        while not self._ended:
            self._near.sendall(struct.pack("d", time.monotonic()))
            time.sleep(LAG_SEND_INTERVAL_S)

    def _read(self) -> None:
        with self._far:
            while (sent := self._far.recv(8)) and len(sent) == 8:
                self.max_s = max(self.max_s, time.monotonic() - float(struct.unpack("d", sent)[0]))

    def close(self) -> None:
        """Stop the threads."""
        self._ended = True
        self._threads[0].join(5.0)
        self._near.close()
        self._threads[1].join(5.0)


class Fleet:
    """Hosts and directory in this process, gateways in processes of their own. A context manager."""

    def __init__(self, plan: FleetPlan, folder: pathlib.Path, hosts: list[StubHost]) -> None:
        self.plan = plan
        self.hosts = hosts
        self.tries: list[ClientRequest] = []
        self.told: list[EndpointChange] = []
        self.stopped: list[GatewayStop] = []
        self.entries = [
            HostEntry(host.name, host.address, weight=plan.host_size(index))
            for index, host in enumerate(hosts)
        ]
        self.directory = StubDnsServer(*self.entries)
        self.gateways = [Gateway(number, folder, plan) for number in range(plan.gateways)]
        self.clients_by_gateway = [GatewayClients(gateway, self.tries) for gateway in self.gateways]
        self.start_s = 0.0
        # Serializes restarts and reloads: SIGHUP ends a gateway that has not started yet.
        self.restart_lock = threading.Lock()
        self.failed_steps: list[str] = []  # errors of steps that failed
        self.lag = ReadLag()
        self.max_descriptors = 0
        self.max_memory_mb = 0.0

    def __enter__(self) -> Fleet:
        self.start(self.gateways)
        return self

    def __exit__(self, *exc: object) -> None:
        for clients in self.clients_by_gateway:
            clients.close()
        for gateway in self.gateways:
            gateway.send_signal(signal.SIGKILL)
        for gateway in self.gateways:
            if gateway.process is not None:
                gateway.wait()
        self.lag.close()
        self.directory.close()
        for host in self.hosts:
            host.stop()

    def start(self, gateways: Iterable[Gateway]) -> None:
        """Start gateways at the same time; return once all accept calls."""
        batch = list(gateways)
        for gateway in batch:
            gateway.write(self.directory.address, self.entries, self.directory.serial)
            gateway.start()
        end_s = time.monotonic() + START_TIMEOUT_S
        for gateway in batch:
            while not gateway.is_ready():
                assert time.monotonic() < end_s, f"gateway {gateway.number} did not start in time"
                time.sleep(0.02)

    def publish_endpoints(self, entries: list[HostEntry]) -> None:
        """Publish a new endpoint list at the directory; gateways get it at their next poll."""
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
        """Kill gateways at the same time with SIGKILL."""
        batch = list(gateways)
        for gateway in batch:
            self.stopped.append(GatewayStop(gateway.number, time.monotonic(), True))
            gateway.send_signal(signal.SIGKILL)
        for gateway in batch:
            gateway.wait()

    def terminate(self, gateway: Gateway) -> None:
        """Send SIGTERM to a gateway."""
        self.stopped.append(GatewayStop(gateway.number, time.monotonic(), False))
        gateway.send_signal(signal.SIGTERM)

    def restart(self, gateways: Iterable[Gateway]) -> None:
        """Start gateways again that were killed or have ended."""
        batch = list(gateways)
        self.start(batch)
        now = time.monotonic()
        for gateway in batch:
            for stop in self.stopped:
                if stop.gateway == gateway.number and stop.restarted_s == float("inf"):
                    stop.restarted_s = now

    def run(self, duration_s: float, steps: Iterable[tuple[float, Callable[[], None]]] = ()) -> None:
        """Send traffic for a duration, and run each step at its time on a thread of its own."""
        plan, rng = self.plan, random.Random(self.plan.seed)
        shares = [rng.random() ** (plan.uneven - 1) + 0.1 for _ in self.gateways]
        weights = plan.function_weights()
        self.start_s = time.monotonic()
        threads = [
            start_thread("step", lambda at_s=at_s, step=step: self._step(at_s, step))  # type: ignore[misc]
            for at_s, step in steps
        ]
        at_s, request, sampled_s = 0.0, len(self.tries), 0.0
        while at_s < duration_s:
            at_s += rng.expovariate(plan.rate)
            delay_s = self.start_s + at_s - time.monotonic()
            if delay_s > 0:
                time.sleep(delay_s)
            request += 1
            index = rng.choices(range(plan.functions), weights)[0]
            if rng.random() < plan.once:
                index = SINGLE_USE_OFFSET + 5 * request + 1
            class_name = "sell" if index % 5 == 0 else "look"
            clients = rng.choices(self.clients_by_gateway, shares)[0]
            clients.call(plan.seed << 32 | request, class_name, self.function_id(index), 3.0)
            if at_s > sampled_s + 1.0:
                sampled_s = at_s
                self.sample_resources()
        for thread in threads:
            thread.join(60.0)
            if thread.is_alive():
                self.failed_steps.append("a step did not end")
        end_s = time.monotonic() + 5.0
        while time.monotonic() < end_s and any(not attempt.outcome for attempt in self.tries):
            time.sleep(0.02)

    def _step(self, at_s: float, step: Callable[[], None]) -> None:
        time.sleep(max(0.0, self.start_s + at_s - time.monotonic()))
        try:
            step()
        except Exception as error:  # noqa: BLE001 - the report names it
            self.failed_steps.append(f"step at {at_s:.1f} s: {error!r}")

    def sample_resources(self) -> None:
        """Sample the open descriptors and the memory of some gateways."""
        for gateway in self.gateways[:: max(1, len(self.gateways) // 8)]:
            if gateway.process is not None:
                self.max_descriptors = max(self.max_descriptors, gateway.descriptor_count())
                self.max_memory_mb = max(self.max_memory_mb, gateway.memory_mb())

    @staticmethod
    def function_id(index: int) -> str:
        """Return the id of a function on the platform."""
        return f"{0x5AFF0000 + index:016x}"

    def counts(self, seen: Iterable[WorkerLogEntry], connects: Iterable[float]) -> FleetCounts:
        """Return the counts of what hosts, directory and clients observed."""
        counts = FleetCounts(descriptors=self.max_descriptors, memory_mb=self.max_memory_mb)
        for attempt in self.tries:
            counts.calls[int(attempt.sent_s - self.start_s)] += 1
        for at_s in connects:
            counts.connections[int(at_s - self.start_s)] += 1
        for at_s, _ in list(self.directory.queries):
            counts.asks[int(at_s - self.start_s)] += 1
        for entry in seen:
            if entry.what == "arrive":
                counts.arrivals[entry.worker, int(entry.t - self.start_s)] += 1
        return counts
