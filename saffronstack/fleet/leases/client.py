"""Candidates on real links: one thread keeps time and hears for all leases of a process."""

from __future__ import annotations

import heapq
import threading
import time
from collections.abc import Callable

import structlog

from saffronstack.fleet.leases.holder import Candidate, CandidateAction, Gained, Lost, Stored
from saffronstack.fleet.leases.links import KeeperLink
from saffronstack.fleet.leases.messages import Bounds, Message, Say, WakeAt
from saffronstack.runtime.threads import start_thread

log = structlog.get_logger("saffronstack.leases")
IDLE_S = 0.5
RELEASE_S = 0.5  # how long a close waits for what it gives back to leave


def holder_clock() -> float:
    """Seconds that go on while the machine is suspended: a holder must not sleep through its lease. Keepers
    count by CLOCK_MONOTONIC, which stands still meanwhile: they grant later, which is harmless."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class _Held:
    """A lease that was gained, as its owner sees it; `store.Held`."""

    def __init__(self, client: LeaseClient, lease: str, token: int, value: bytes) -> None:
        self._client = client
        self.lease, self.token, self.value = lease, token, value

    def left_s(self) -> float:
        """See `store.Held`."""
        return self._client.left_s(self)

    def put(self, content: bytes, wait_s: float) -> bool:
        """See `store.Held`."""
        return self._client.put(self, content, wait_s)

    def release(self) -> None:
        """See `store.Held`."""
        self._client.release(self)


class _Wanted:
    """One lease that this process wants or holds."""

    def __init__(self, candidate: Candidate, lost: Callable[[str], None] | None) -> None:
        self.candidate = candidate
        self.lost = lost
        self.held: _Held | None = None
        self.stored = 0  # count of the newest value that a majority has
        self.ended = False


class LeaseClient:
    """The leases of one process over the fleet's own keepers; a `store.LeaseStore`."""

    def __init__(
        self,
        fleet: str,
        name: str,
        addresses: dict[str, str],
        bounds: Bounds,
        lease_s: float,
        wait_s: float,
        seed: int,
        clock: Callable[[], float] = holder_clock,
        make: Callable[[str, str, float, Bounds, int], Candidate] = Candidate,
    ) -> None:
        """``name`` is new with every life of a process; ``wait_s`` bounds each exchange with a keeper."""
        self._make = make
        self._name, self._bounds, self._lease_s, self._seed = name, bounds, lease_s, seed
        self._clock = clock
        self._lock = threading.Condition()
        self._wanted: dict[str, _Wanted] = {}
        self._wakes: list[tuple[float, int, str]] = []
        self._order = 0
        self._told: list[tuple[Callable[[str], None], str]] = []
        self._stopping = False
        self._links = {
            keeper: KeeperLink(
                keeper, address, fleet, name, wait_s, self._heard, time.monotonic, seed * 31 + number
            )
            for number, (keeper, address) in enumerate(sorted(addresses.items()))
        }
        for link in self._links.values():
            link.start()
        start_thread("leases", self._keep_time)

    # ---- what its owner asks

    def acquire(self, lease: str, wait_s: float, lost: Callable[[str], None] | None = None) -> _Held | None:
        """See `store.LeaseStore`. ValueError where this process wants or holds it already."""
        with self._lock:
            if self._stopping:
                return None
            if lease in self._wanted:
                raise ValueError(f"lease {lease!r} is wanted by this process already")
            self._order += 1
            name = f"{self._name}.{self._order}"  # a new candidate each time: its numbers are its own
            candidate = self._make(name, lease, self._lease_s, self._bounds, self._seed + self._order)
            wanted = self._wanted[lease] = _Wanted(candidate, lost)
            self._do(lease, candidate.want(self._clock()))
            self._lock.wait_for(lambda: wanted.held is not None or self._stopping, wait_s)
            if wanted.held is None:
                self._drop(lease)
            return wanted.held

    def left_s(self, held: _Held) -> float:
        """For how long it is held; 0 where it is not."""
        with self._lock:
            wanted = self._wanted.get(held.lease)
            if wanted is None or wanted.held is not held:
                return 0.0
            now = self._clock()
            return wanted.candidate.until_s - now if wanted.candidate.holds(now) else 0.0

    def put(self, held: _Held, content: bytes, wait_s: float) -> bool:
        """See `store.Held`."""
        with self._lock:
            wanted = self._wanted.get(held.lease)
            now = self._clock()
            if wanted is None or wanted.held is not held or not wanted.candidate.holds(now):
                return False
            self._do(held.lease, wanted.candidate.put(now, content))
            count = wanted.candidate.value.count
            self._lock.wait_for(lambda: wanted.stored >= count or wanted.ended or self._stopping, wait_s)
            if wanted.stored < count:
                return False
            held.value = content
            return True

    def release(self, held: _Held) -> None:
        """See `store.Held`."""
        with self._lock:
            wanted = self._wanted.get(held.lease)
            if wanted is not None and wanted.held is held:
                self._drop(held.lease)

    def close(self) -> None:
        """Give everything back; waits half a second at most for that to leave."""
        with self._lock:
            for lease in list(self._wanted):
                self._drop(lease)
        until_s = time.monotonic() + RELEASE_S
        for link in self._links.values():
            link.stop(max(0.01, until_s - time.monotonic()))
        with self._lock:
            self._stopping = True
            self._lock.notify_all()

    def troubles(self) -> dict[str, str]:
        """What each keeper's link met last; empty where it answers."""
        return {keeper: link.trouble for keeper, link in self._links.items()}

    def holder_of(self, lease: str) -> str:
        """Who else holds it, by the last word heard."""
        with self._lock:
            wanted = self._wanted.get(lease)
            return wanted.candidate.holder if wanted is not None else ""

    # ---- inside; the lock is held

    def _drop(self, lease: str) -> None:
        wanted = self._wanted.pop(lease)
        wanted.ended = True
        self._do(lease, wanted.candidate.give_back(self._clock()))
        self._lock.notify_all()

    def _do(self, lease: str, actions: list[CandidateAction]) -> None:
        wanted = self._wanted.get(lease)
        for action in actions:
            if isinstance(action, Say):
                self._links[action.to].say(action.message)
            elif isinstance(action, WakeAt):
                self._order += 1
                heapq.heappush(self._wakes, (action.at_s, self._order, lease))
                self._lock.notify_all()
            elif wanted is None:
                continue
            elif isinstance(action, Gained):
                if wanted.held is None:
                    wanted.held = _Held(self, lease, action.token, action.value.content)
                    self._lock.notify_all()
            elif isinstance(action, Stored):
                wanted.stored = max(wanted.stored, action.value.count)
                self._lock.notify_all()
            elif isinstance(action, Lost):
                self._lost(lease, wanted, action)

    def _listen(self) -> None:
        """Keepers tell those in line when it is their turn."""
        waits = any(wanted.candidate.waits for wanted in self._wanted.values())
        for link in self._links.values():
            link.listen(waits)

    def _lost(self, lease: str, wanted: _Wanted, lost: Lost) -> None:
        """It is over for this owner: what it asks for next is another lease with another token."""
        if wanted.held is None or wanted.ended:
            return
        log.warning("lease lost", lease=lease, token=lost.token, why=lost.why)
        if self._wanted.get(lease) is wanted:
            self._drop(lease)
        if wanted.lost is not None:
            self._told.append((wanted.lost, lost.why))

    # ---- threads

    def _heard(self, keeper: str, messages: tuple[Message, ...]) -> None:
        with self._lock:
            now = self._clock()
            for message in messages:
                lease = getattr(message, "lease", "")
                wanted = self._wanted.get(lease)
                if wanted is not None:
                    self._do(lease, wanted.candidate.handle(now, keeper, message))
            self._listen()
            self._lock.notify_all()

    def _keep_time(self) -> None:
        while True:
            with self._lock:
                if self._stopping and not self._told:
                    return
                now = self._clock()
                while self._wakes and self._wakes[0][0] <= now:
                    _, _, lease = heapq.heappop(self._wakes)
                    wanted = self._wanted.get(lease)
                    if wanted is not None:
                        self._do(lease, wanted.candidate.tick(now))
                self._listen()
                told, self._told = self._told, []
                if not told:
                    wait_s = min(IDLE_S, max(0.001, self._wakes[0][0] - now)) if self._wakes else IDLE_S
                    self._lock.wait(wait_s)
            for lost, why in told:
                try:
                    lost(why)
                except Exception:
                    log.exception("what is told of a lost lease failed")
