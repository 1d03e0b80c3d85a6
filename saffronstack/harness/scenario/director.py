"""Brings a day's troubles about, in time, each on a thread of its own; notes what gateways were told."""

from __future__ import annotations

import random
import threading
import time
from collections.abc import Callable
from dataclasses import replace
from typing import Any

import msgspec

from saffronstack.audit.traffic import EndpointChange, GatewayStop
from saffronstack.harness.scenario.plan import Plan, Trouble
from saffronstack.harness.scenario.processes import GatewayProcess, ScenarioError, StandInHost
from saffronstack.runtime.threads import start_thread
from saffronstack.standin.model import Faults

LIST_LATE_S = 1.0  # how late the list tells of workers that died by themselves
SCAN_NAMES = 400


class Director:
    """Owns the roster as it is told, the workers' faults and the gateways' lives."""

    def __init__(
        self,
        plan: Plan,
        gateways: list[GatewayProcess],
        host: StandInHost,
        content: Callable[[GatewayProcess, list[dict[str, Any]]], dict[str, Any]],
        seed: int,
    ) -> None:
        """``content`` makes a gateway's configuration of the list of workers."""
        self.told: list[EndpointChange] = []
        self.stopped: list[GatewayStop] = []
        self.problems: list[str] = []
        self.rate_factor = 1.0
        self.scan_share = 0.0
        self.rotation = 0
        self.reply_lost = 0.0  # part of the gateways' answers that the relays lose
        self.reply_late_s = 0.0
        self._plan = plan
        self._gateways = gateways
        self._host = host
        self._content = content
        self._random = random.Random(seed)
        self._lock = threading.RLock()
        self._roster: dict[int, dict[str, Any]] = dict(enumerate(host.workers))
        self._faults: dict[int, Faults] = {n: Faults() for n in self._roster}
        self._away: set[int] = set()  # workers that some trouble has in hand
        self._down: set[int] = set()  # gateways
        self._threads: list[threading.Thread] = []

    def begin(self, start_s: float) -> None:
        """Set every trouble going; ``start_s`` is the day's start on the monotonic clock."""
        for trouble in self._plan.troubles:
            if trouble.at_s >= self._plan.seconds:
                continue  # of a day played short
            self._threads.append(start_thread(trouble.kind, lambda t=trouble: self._one(start_s, t)))  # type: ignore[misc]

    def end(self, timeout_s: float) -> None:
        """Wait until all troubles are over."""
        end_s = time.monotonic() + timeout_s
        for thread in self._threads:
            thread.join(max(0.0, end_s - time.monotonic()))
            if thread.is_alive():
                self.problems.append(f"trouble {thread.name} did not end")

    def name_of(self, function: str) -> str:
        """Which function a client calls in place of the usual one, under the troubles of the moment."""
        with self._lock:
            if self.scan_share and self._random.random() < self.scan_share:
                return f"scan-{self._random.randrange(SCAN_NAMES)}"
            if self.rotation and function in ("identify-copy", "suggest-price"):
                return "suggest-price" if function == "identify-copy" else "identify-copy"
            return function

    def _one(self, start_s: float, trouble: Trouble) -> None:
        time.sleep(max(0.0, start_s + trouble.at_s - time.monotonic()))
        try:
            getattr(self, f"_{trouble.kind}")(trouble)
        except (ScenarioError, OSError) as error:
            self.problems.append(f"{trouble.kind}: {error}")

    # ---- choosing and telling

    def _take(self, share: float) -> list[int]:
        with self._lock:
            free = [n for n in sorted(self._roster) if n not in self._away]
            chosen = self._random.sample(free, min(len(free), max(1, round(share * len(self._roster)))))
            self._away.update(chosen)
            return chosen

    def _give_back(self, workers: list[int]) -> None:
        with self._lock:
            self._away.difference_update(workers)

    def _tell(self, changes: dict[int, dict[str, Any] | None]) -> None:
        """Change the list at every gateway; None: the worker is gone from it."""
        with self._lock:
            for number, entry in changes.items():
                if entry is None:
                    self._roster.pop(number, None)
                else:
                    self._roster[number] = entry
            now, wall = time.monotonic(), time.time()
            for number, entry in changes.items():
                name = self._host.workers[number]["id"]
                state = "gone" if entry is None else entry.get("state", "ready")
                started = entry.get("started_at", 0.0) if entry else 0.0
                self.told.append(EndpointChange(now, name, state, now - (wall - started) if started else 0.0))
            self._write()
            for gateway in self._gateways:
                if gateway.number not in self._down and self._plan.membership == "signal":
                    gateway.hangup()

    def _write(self) -> None:
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
                self._host.order("faults", [number], faults=msgspec.to_builtins(self._faults[number]))

    def _for_a_while(self, trouble: Trouble, **faults: Any) -> None:
        workers = self._take(trouble.share)
        plain = {name: getattr(Faults(), name) for name in faults}
        self._set_faults(workers, **faults)
        time.sleep(trouble.for_s)
        self._set_faults(workers, **plain)
        self._give_back(workers)

    def _return_cold(self, workers: list[int]) -> None:
        with self._lock:
            for number in workers:
                self._faults[number] = Faults()
            self._host.order("faults", workers, faults=msgspec.to_builtins(Faults()))
            self._host.order("start", workers)
        now = time.time()
        self._tell({n: {**self._host.workers[n], "started_at": now} for n in workers})
        self._give_back(workers)

    # ---- the troubles

    def _balancer_crash(self, trouble: Trouble) -> None:
        with self._lock:
            up = [g for g in self._gateways if g.number not in self._down]
            chosen = self._random.sample(up, min(len(up), max(1, round(trouble.share * len(self._gateways)))))
            self._down.update(g.number for g in chosen)
        for gateway in chosen:
            stop = GatewayStop(gateway.number, time.monotonic(), killed=True)
            self.stopped.append(stop)
            gateway.kill()
        time.sleep(trouble.for_s)
        for gateway in chosen:
            self._bring_back(gateway)

    def _balancer_roll(self, trouble: Trouble) -> None:
        for gateway in self._gateways:
            with self._lock:
                if gateway.number in self._down:
                    continue
                self._down.add(gateway.number)
            self.stopped.append(GatewayStop(gateway.number, time.monotonic(), killed=False))
            status = gateway.ask_to_end()
            if status != 0:
                self.problems.append(f"gateway {gateway.number} ended with status {status} when asked to")
            self._bring_back(gateway)
            time.sleep(trouble.for_s / len(self._gateways))

    def _bring_back(self, gateway: GatewayProcess) -> None:
        gateway.start()
        with self._lock:
            self._down.discard(gateway.number)
            gateway.hangup()  # the list may have changed while it read its file
            for stop in self.stopped:
                if stop.gateway == gateway.number and stop.restarted_s == float("inf"):
                    stop.restarted_s = time.monotonic()

    def _burst(self, trouble: Trouble) -> None:
        self.rate_factor = trouble.factor
        time.sleep(trouble.for_s)
        self.rate_factor = 1.0

    def _slow(self, trouble: Trouble) -> None:
        self._for_a_while(trouble, slow=trouble.factor)

    def _fast_errors(self, trouble: Trouble) -> None:
        self._for_a_while(trouble, errors=1.0)

    def _answer_lost(self, trouble: Trouble) -> None:
        with self._lock:
            workers = sorted(self._faults)
        self._set_faults(workers, lose_answers=trouble.share)
        time.sleep(trouble.for_s)
        self._set_faults(workers, lose_answers=0.0)

    def _handshake_slow(self, trouble: Trouble) -> None:
        self._for_a_while(trouble, handshake_s=0.1 * trouble.factor)

    def _flush(self, trouble: Trouble) -> None:
        self._host.order("flush", sorted(self._faults))

    def _origin_slow(self, trouble: Trouble) -> None:
        self._host.order("store", [], slow=trouble.factor)
        time.sleep(trouble.for_s)
        self._host.order("store", [], slow=1.0)

    def _scan(self, trouble: Trouble) -> None:
        self.scan_share = trouble.share
        time.sleep(trouble.for_s)
        self.scan_share = 0.0

    def _shift(self, trouble: Trouble) -> None:
        self.rotation = 1
        time.sleep(trouble.for_s)
        self.rotation = 0

    def _reply_lost(self, trouble: Trouble) -> None:
        self.reply_lost = trouble.share
        time.sleep(trouble.for_s)
        self.reply_lost = 0.0

    def _reply_late(self, trouble: Trouble) -> None:
        self.reply_late_s = 0.1 * trouble.factor
        time.sleep(trouble.for_s)
        self.reply_late_s = 0.0

    def _deploy(self, trouble: Trouble) -> None:
        """A rolling replacement: a tenth of the fleet at a time drains, ends, and comes back cold."""
        workers = self._take(trouble.share)
        step = max(1, len(self._faults) // 10)
        groups = [workers[n : n + step] for n in range(0, len(workers), step)]
        for group in groups:
            self._tell({n: {**self._roster[n], "state": "draining"} for n in group})
            time.sleep(max(trouble.for_s / len(groups), self._plan.rules.drain_grace_s + 0.5))
            self._host.order("stop", group)
            self._return_cold(group)

    def _mass_restart(self, trouble: Trouble) -> None:
        """Workers die at once; the list tells late, and they come back cold."""
        workers = self._take(trouble.share)
        self._host.order("stop", workers)
        time.sleep(LIST_LATE_S)
        self._tell(dict.fromkeys(workers))
        time.sleep(max(0.0, trouble.for_s - LIST_LATE_S))
        self._return_cold(workers)

    def _preempt(self, trouble: Trouble) -> None:
        """A short notice, then the end; they come back cold."""
        workers = self._take(trouble.share)
        self._tell({n: {**self._roster[n], "state": "draining"} for n in workers})
        time.sleep(1.0)
        self._host.order("stop", workers)
        self._tell(dict.fromkeys(workers))
        time.sleep(max(0.0, trouble.for_s - 1.0))
        self._return_cold(workers)
