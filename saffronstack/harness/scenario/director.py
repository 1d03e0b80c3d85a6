"""Injects the faults of a scenario, each on its own thread, and records the published worker states."""

from __future__ import annotations

import random
import threading
import time
from collections.abc import Callable
from dataclasses import replace
from typing import Any

import msgspec

from saffronstack.audit.traffic import EndpointChange, GatewayStop
from saffronstack.harness.scenario.plan import Plan, ScheduledFault
from saffronstack.harness.scenario.processes import GatewayProcess, ScenarioError, StubWorkersProcess
from saffronstack.runtime.threads import start_thread
from saffronstack.standin.model import Faults

LIST_DELAY_S = 1.0  # until the endpoint list shows that a worker has died
SCAN_FUNCTION_COUNT = 400


class FaultInjector:
    """Owns the endpoint list, the injected worker faults, and the stops and restarts of gateways."""

    def __init__(
        self,
        plan: Plan,
        gateways: list[GatewayProcess],
        stubs: StubWorkersProcess,
        content: Callable[[GatewayProcess, list[dict[str, Any]]], dict[str, Any]],
        seed: int,
    ) -> None:
        """``content`` returns a gateway's configuration for a list of workers."""
        self.told: list[EndpointChange] = []
        self.stopped: list[GatewayStop] = []
        self.problems: list[str] = []
        self.rate_factor = 1.0
        self.scan_share = 0.0
        self.rotation = 0
        self.response_loss_probability = 0.0  # of a gateway's response, in the relay
        self.max_response_delay_s = 0.0
        self._plan = plan
        self._gateways = gateways
        self._stubs = stubs
        self._content = content
        self._rng = random.Random(seed)
        self._lock = threading.RLock()
        self._roster: dict[int, dict[str, Any]] = dict(enumerate(stubs.workers))
        self._faults: dict[int, Faults] = {n: Faults() for n in self._roster}
        self._reserved: set[int] = set()  # workers that a fault in progress affects
        self._stopped_gateways: set[int] = set()  # numbers of gateways
        self._threads: list[threading.Thread] = []

    def begin(self, start_s: float) -> None:
        """Start a thread for each fault; ``start_s`` is the start of the run on the monotonic clock."""
        for fault in self._plan.troubles:
            if fault.at_s >= self._plan.seconds:
                continue  # the run was shortened
            self._threads.append(start_thread(fault.kind, lambda t=fault: self._inject(start_s, t)))  # type: ignore[misc]

    def end(self, timeout_s: float) -> None:
        """Wait until all faults have ended."""
        end_s = time.monotonic() + timeout_s
        for thread in self._threads:
            thread.join(max(0.0, end_s - time.monotonic()))
            if thread.is_alive():
                self.problems.append(f"fault {thread.name} did not end")

    def choose_function(self, function: str) -> str:
        """Return the function that a client calls in place of ``function`` under the current faults."""
        with self._lock:
            if self.scan_share and self._rng.random() < self.scan_share:
                return f"scan-{self._rng.randrange(SCAN_FUNCTION_COUNT)}"
            if self.rotation and function in ("identify-copy", "suggest-price"):
                return "suggest-price" if function == "identify-copy" else "identify-copy"
            return function

    def _inject(self, start_s: float, fault: ScheduledFault) -> None:
        time.sleep(max(0.0, start_s + fault.at_s - time.monotonic()))
        try:
            getattr(self, f"_{fault.kind}")(fault)
        except (ScenarioError, OSError) as error:
            self.problems.append(f"{fault.kind}: {error}")

    # ---- choosing workers and publishing the endpoint list

    def _reserve_workers(self, share: float) -> list[int]:
        with self._lock:
            free = [n for n in sorted(self._roster) if n not in self._reserved]
            chosen = self._rng.sample(free, min(len(free), max(1, round(share * len(self._roster)))))
            self._reserved.update(chosen)
            return chosen

    def _release_workers(self, workers: list[int]) -> None:
        with self._lock:
            self._reserved.difference_update(workers)

    def _publish_changes(self, changes: dict[int, dict[str, Any] | None]) -> None:
        """Change the endpoint list of every gateway; None removes a worker."""
        with self._lock:
            for number, entry in changes.items():
                if entry is None:
                    self._roster.pop(number, None)
                else:
                    self._roster[number] = entry
            now, wall = time.monotonic(), time.time()
            for number, entry in changes.items():
                name = self._stubs.workers[number]["id"]
                state = "gone" if entry is None else entry.get("state", "ready")
                started = entry.get("started_at", 0.0) if entry else 0.0
                self.told.append(EndpointChange(now, name, state, now - (wall - started) if started else 0.0))
            self._write_lists()
            for gateway in self._gateways:
                if gateway.number not in self._stopped_gateways and self._plan.membership == "signal":
                    gateway.reload()

    def _write_lists(self) -> None:
        roster = [self._roster[n] for n in sorted(self._roster)]
        for gateway in self._gateways:
            if self._plan.membership == "file":
                gateway.write_roster(roster)
            else:
                gateway.write(self._content(gateway, roster))

    def _set_faults(self, workers: list[int], **changes: Any) -> None:
        with self._lock:
            for number in workers:
                self._faults[number] = replace(self._faults[number], **changes)
                self._stubs.send_command("faults", [number], faults=msgspec.to_builtins(self._faults[number]))

    def _apply_worker_faults(self, fault: ScheduledFault, **faults: Any) -> None:
        workers = self._reserve_workers(fault.share)
        defaults = {name: getattr(Faults(), name) for name in faults}
        self._set_faults(workers, **faults)
        time.sleep(fault.for_s)
        self._set_faults(workers, **defaults)
        self._release_workers(workers)

    def _restart_cold(self, workers: list[int]) -> None:
        with self._lock:
            for number in workers:
                self._faults[number] = Faults()
            self._stubs.send_command("faults", workers, faults=msgspec.to_builtins(Faults()))
            self._stubs.send_command("start", workers)
        now = time.time()
        self._publish_changes({n: {**self._stubs.workers[n], "started_at": now} for n in workers})
        self._release_workers(workers)

    # ---- the faults, each in a method named after its kind

    def _balancer_crash(self, fault: ScheduledFault) -> None:
        with self._lock:
            up = [gateway for gateway in self._gateways if gateway.number not in self._stopped_gateways]
            chosen = self._rng.sample(up, min(len(up), max(1, round(fault.share * len(self._gateways)))))
            self._stopped_gateways.update(gateway.number for gateway in chosen)
        for gateway in chosen:
            stop = GatewayStop(gateway.number, time.monotonic(), killed=True)
            self.stopped.append(stop)
            gateway.kill()
        time.sleep(fault.for_s)
        for gateway in chosen:
            self._restart(gateway)

    def _balancer_roll(self, fault: ScheduledFault) -> None:
        for gateway in self._gateways:
            with self._lock:
                if gateway.number in self._stopped_gateways:
                    continue
                self._stopped_gateways.add(gateway.number)
            self.stopped.append(GatewayStop(gateway.number, time.monotonic(), killed=False))
            status = gateway.terminate()
            if status != 0:
                self.problems.append(f"gateway {gateway.number} ended with status {status} when asked to")
            self._restart(gateway)
            time.sleep(fault.for_s / len(self._gateways))

    def _restart(self, gateway: GatewayProcess) -> None:
        gateway.start()
        with self._lock:
            self._stopped_gateways.discard(gateway.number)
            gateway.reload()  # the endpoint list may have changed while the gateway read it
            for stop in self.stopped:
                if stop.gateway == gateway.number and stop.restarted_s == float("inf"):
                    stop.restarted_s = time.monotonic()

    def _burst(self, fault: ScheduledFault) -> None:
        self.rate_factor = fault.factor
        time.sleep(fault.for_s)
        self.rate_factor = 1.0

    def _slow(self, fault: ScheduledFault) -> None:
        self._apply_worker_faults(fault, slow=fault.factor)

    def _fast_errors(self, fault: ScheduledFault) -> None:
        self._apply_worker_faults(fault, errors=1.0)

    def _answer_lost(self, fault: ScheduledFault) -> None:
        with self._lock:
            workers = sorted(self._faults)
        self._set_faults(workers, lose_answers=fault.share)
        time.sleep(fault.for_s)
        self._set_faults(workers, lose_answers=0.0)

    def _handshake_slow(self, fault: ScheduledFault) -> None:
        self._apply_worker_faults(fault, handshake_s=0.1 * fault.factor)

    def _flush(self, fault: ScheduledFault) -> None:
        self._stubs.send_command("flush", sorted(self._faults))

    def _origin_slow(self, fault: ScheduledFault) -> None:
        self._stubs.send_command("store", [], slow=fault.factor)
        time.sleep(fault.for_s)
        self._stubs.send_command("store", [], slow=1.0)

    def _scan(self, fault: ScheduledFault) -> None:
        self.scan_share = fault.share
        time.sleep(fault.for_s)
        self.scan_share = 0.0

    def _shift(self, fault: ScheduledFault) -> None:
        self.rotation = 1
        time.sleep(fault.for_s)
        self.rotation = 0

    def _reply_lost(self, fault: ScheduledFault) -> None:
        self.response_loss_probability = fault.share
        time.sleep(fault.for_s)
        self.response_loss_probability = 0.0

    def _reply_late(self, fault: ScheduledFault) -> None:
        self.max_response_delay_s = 0.1 * fault.factor
        time.sleep(fault.for_s)
        self.max_response_delay_s = 0.0

    def _deploy(self, fault: ScheduledFault) -> None:
        """Replace workers in a rolling update: a tenth of all at a time drains, stops and returns cold."""
        workers = self._reserve_workers(fault.share)
        step = max(1, len(self._faults) // 10)
        groups = [workers[n : n + step] for n in range(0, len(workers), step)]
        for group in groups:
            self._publish_changes({n: {**self._roster[n], "state": "draining"} for n in group})
            time.sleep(max(fault.for_s / len(groups), self._plan.rules.drain_grace_s + 0.5))
            self._stubs.send_command("stop", group)
            self._restart_cold(group)

    def _mass_restart(self, fault: ScheduledFault) -> None:
        """Stop workers at once, without a notice; the list shows it late, and they return cold."""
        workers = self._reserve_workers(fault.share)
        self._stubs.send_command("stop", workers)
        time.sleep(LIST_DELAY_S)
        self._publish_changes(dict.fromkeys(workers))
        time.sleep(max(0.0, fault.for_s - LIST_DELAY_S))
        self._restart_cold(workers)

    def _preempt(self, fault: ScheduledFault) -> None:
        """Stop workers one second after they are marked as draining; they return cold."""
        workers = self._reserve_workers(fault.share)
        self._publish_changes({n: {**self._roster[n], "state": "draining"} for n in workers})
        time.sleep(1.0)
        self._stubs.send_command("stop", workers)
        self._publish_changes(dict.fromkeys(workers))
        time.sleep(max(0.0, fault.for_s - 1.0))
        self._restart_cold(workers)
