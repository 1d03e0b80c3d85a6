"""Watches a fleet beside a rollout: who runs the new release, how many are down, who crashes."""

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
CRASH_MARGIN_S = 1.0  # around the moment at which the end of a gateway is seen


@dataclass
class FleetObservations:
    """What was observed.

    Attributes:
        reached: Gateways that ever ran the new release.
        max_unavailable: Gateways that did not serve at one time.
        crashes: Ends of gateways that nobody asked for, since the rig began.
        restarts: The last known number of them, by gateway.
    """

    reached: set[str] = field(default_factory=set)
    max_unavailable: int = 0
    crashes: list[GatewayStop] = field(default_factory=list)
    restarts: dict[str, int] = field(default_factory=dict)

    def reset(self) -> None:
        """Begin another rollout; crashes are kept, since workers' logs reach back too."""
        self.reached.clear()
        self.max_unavailable = 0


class FleetWatcher:
    """Polls all daemons on a thread of its own."""

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
        """Start to watch."""
        self._thread = start_thread("fleet-watcher", self._run)

    def stop(self) -> None:
        """Stop to watch, and wait for the thread."""
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
            if status.restarts > observations.restarts.get(name, 0):  # it crashed, as a bad release does
                now_s = time.monotonic()
                crash = GatewayStop(int(name[1:]), now_s - CRASH_MARGIN_S, True, now_s + CRASH_MARGIN_S)
                observations.crashes.append(crash)
            observations.restarts[name] = status.restarts
        observations.max_unavailable = max(observations.max_unavailable, unavailable)
