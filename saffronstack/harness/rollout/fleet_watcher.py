"""Observes a fleet during a rollout: gateways that run the new release, unavailable ones and crashes."""

from __future__ import annotations

import threading
import time
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field

from saffronstack.audit.traffic import GatewayStop
from saffronstack.fleet.control.messages import GatewayStatus
from saffronstack.runtime.threads import start_thread

POLL_INTERVAL_S = 0.1
JOIN_TIMEOUT_S = 30.0
CRASH_MARGIN_S = 1.0  # on either side of the time at which a crash is detected


@dataclass
class FleetObservations:
    """Observations of a rollout.

    Attributes:
        reached: Names of the gateways that have run the new release.
        max_unavailable: Maximum number of gateways that were unavailable at once.
        crashes: Unexpected exits of gateways since the start of the harness.
        restarts: Latest restart count of each gateway.
    """

    reached: set[str] = field(default_factory=set)
    max_unavailable: int = 0
    crashes: list[GatewayStop] = field(default_factory=list)
    restarts: dict[str, int] = field(default_factory=dict)

    def reset(self) -> None:
        """Reset for another rollout; crashes are kept, because the workers' logs cover earlier rollouts."""
        self.reached.clear()
        self.max_unavailable = 0


class FleetWatcher:
    """Polls all daemons on a thread."""

    def __init__(
        self,
        observations: FleetObservations,
        poll: Callable[[], Mapping[str, GatewayStatus]],
        new_digest: str,
    ) -> None:
        self._observations, self._poll, self._new_digest = observations, poll, new_digest
        self._stopping = threading.Event()
        self._thread: threading.Thread | None = None

    def start(self) -> None:
        """Start the thread."""
        self._thread = start_thread("fleet-watcher", self._run)

    def stop(self) -> None:
        """Stop the thread and wait until it has ended."""
        self._stopping.set()
        if self._thread is not None:
            self._thread.join(JOIN_TIMEOUT_S)

    def _run(self) -> None:
        while not self._stopping.is_set():
            self._observe(self._poll())
            self._stopping.wait(POLL_INTERVAL_S)

    def _observe(self, statuses: Mapping[str, GatewayStatus]) -> None:
        observations = self._observations
        unavailable = 0
        for name, status in statuses.items():
            unavailable += not status.running_release
            if status.running_release == self._new_digest:
                observations.reached.add(name)
            if status.restarts > observations.restarts.get(name, 0):  # the daemon restarted it after a crash
                now_s = time.monotonic()
                crash = GatewayStop(int(name[1:]), now_s - CRASH_MARGIN_S, True, now_s + CRASH_MARGIN_S)
                observations.crashes.append(crash)
            observations.restarts[name] = status.restarts
        observations.max_unavailable = max(observations.max_unavailable, unavailable)
