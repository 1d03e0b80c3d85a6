"""Polls one gateway for its metrics, on a thread of its own so that a hung gateway delays no other."""

from __future__ import annotations

import threading
import time
from collections.abc import Callable
from dataclasses import dataclass

import msgspec

from saffronstack.daemon.errors import NoResponseError, NotSentError
from saffronstack.daemon.http_exchange import exchange
from saffronstack.fleet.control.gateway_process import GatewayProcess
from saffronstack.fleet.control.messages import STATUS_PATH, GatewayMetrics
from saffronstack.http1 import writer
from saffronstack.runtime.threads import start_thread

POLL_INTERVAL_S = 0.5
POLL_TIMEOUT_S = 1.0


class GatewayStatusPage(msgspec.Struct, frozen=True, rename={"outcomes": "classes", "latencies": "times"}):
    """The part of a gateway's status page that rollouts use."""

    pid: int
    release: str = ""
    outcomes: dict[str, dict[str, int]] = {}
    latencies: dict[str, str] = {}


def fetch_status_page(address: str, clock: Callable[[], float]) -> GatewayStatusPage | None:
    """Return the status page of the process that responds on an address within a second, or None."""
    request = writer.request("GET", STATUS_PATH, [("Host", address), ("Connection", "close")])
    try:
        head, body = exchange(address, request, clock() + POLL_TIMEOUT_S, clock)
        return msgspec.json.decode(body, type=GatewayStatusPage) if head.status == 200 else None
    except (NotSentError, NoResponseError, msgspec.MsgspecError):
        return None  # the gateway is starting, ending or overloaded; readers check the metrics' age


def find_serving_pid(address: str, clock: Callable[[], float]) -> int | None:
    """Return the id of the process that serves on an address; None if none responds."""
    page = fetch_status_page(address, clock)
    return None if page is None else page.pid


@dataclass(frozen=True, slots=True)
class _PolledProcess:
    incarnation: int
    process: GatewayProcess


@dataclass(frozen=True, slots=True)
class _TimedMetrics:
    incarnation: int
    polled_s: float
    metrics: GatewayMetrics


class MetricsPoller:
    """Caches the latest metrics of one gateway's current incarnation."""

    def __init__(self, address: str, clock: Callable[[], float] = time.monotonic) -> None:
        self._address, self._clock = address, clock
        self._lock = threading.Lock()  # guards _polled_process and _latest
        self._polled_process: _PolledProcess | None = None
        self._latest: _TimedMetrics | None = None
        self._stopping = threading.Event()
        self._thread: threading.Thread | None = None

    def start(self) -> None:
        """Start polling."""
        self._thread = start_thread("metrics-poller", self._run)

    def stop(self) -> None:
        """Stop polling; ``join`` waits for a poll in progress."""
        self._stopping.set()

    def join(self, timeout_s: float) -> None:
        """Wait until the thread has ended, for ``timeout_s`` seconds at most."""
        if self._thread is not None:
            self._thread.join(timeout_s)

    def watch(self, incarnation: int, process: GatewayProcess) -> None:
        """Poll this incarnation instead of any earlier one."""
        with self._lock:
            self._polled_process = _PolledProcess(incarnation, process)

    def latest(self, incarnation: int) -> GatewayMetrics | None:
        """Return the latest metrics of an incarnation; None before its first poll."""
        with self._lock:
            latest = self._latest
        if latest is None or latest.incarnation != incarnation:
            return None
        return msgspec.structs.replace(latest.metrics, age_s=round(self._clock() - latest.polled_s, 3))

    def _run(self) -> None:
        while not self._stopping.wait(POLL_INTERVAL_S):
            with self._lock:
                polled = self._polled_process
            if polled is not None:
                self._poll(polled.incarnation, polled.process)

    def _poll(self, incarnation: int, process: GatewayProcess) -> None:
        polled_s = self._clock()
        page = fetch_status_page(self._address, self._clock)
        if page is None or page.pid != process.pid:
            return  # another incarnation responded: a draining one, or one of an earlier daemon
        metrics = GatewayMetrics(
            age_s=0.0,
            outcomes_by_class=page.outcomes,
            latencies_by_class=page.latencies,
            memory_mb=process.memory_mb(),
            open_descriptors=process.open_descriptors(),
            reported_release=page.release,
        )
        with self._lock:
            self._latest = _TimedMetrics(incarnation, polled_s, metrics)
