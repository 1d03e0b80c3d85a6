"""Days on which many gateways that see little must load their hosts evenly all the same."""

from __future__ import annotations

import random
import signal
import threading
import time
from collections import Counter
from collections.abc import Callable, Iterable

from saffronstack.audit.traffic import ClientRequest, WorkerLogEntry
from saffronstack.harness.fleet.cluster import Fleet
from saffronstack.harness.fleet.faults import Day, Step, calm, cold, host_zone
from saffronstack.standin.model import Faults
from saffronstack.standin.platform import HostEntry

LATE_LIST_S = 1.2  # a list counts as told 1.5 s after it changed
FLOOD = 2.0  # calls of the flooding tenant, as a multiple of all others'
PAUSE_S = 0.6
SETTLED = 0.5  # part of the day after which gateways have learnt of what began early


def _arrivals(fleet: Fleet, seen: Iterable[WorkerLogEntry], since_s: float) -> Counter[str]:
    """Calls by host, from so many seconds after the beginning on."""
    since_s += fleet.began_s
    return Counter(one.worker for one in seen if one.what == "arrive" and one.t - one.late >= since_s)


def _served(tries: Iterable[ClientRequest]) -> float:
    """The part of those that were answered or should have been."""
    ends = Counter(t.outcome for t in tries if t.outcome not in ("broken", "not_taken", "left"))
    return ends["served"] / max(1, ends.total())


def _most(fleet: Fleet, seen: list[WorkerLogEntry], seconds: float, host: int, multiple: float) -> list[str]:
    """A host that gets more than a multiple of its fair share once the day has settled."""
    came = _arrivals(fleet, seen, SETTLED * seconds)
    name = fleet.hosts[host].name
    share = came[name] / max(1, came.total()) * len(fleet.hosts)
    return [f"{name} got {share:.2f} of its fair share, {multiple:g} at most"] if share > multiple else []


def _least(fleet: Fleet, seen: list[WorkerLogEntry], seconds: float, host: int, multiple: float) -> list[str]:
    """A host that gets less than a part of its fair share though it is well."""
    came = _arrivals(fleet, seen, SETTLED * seconds)
    name = fleet.hosts[host].name
    share = came[name] / max(1, came.total()) * len(fleet.hosts)
    return [f"{name} got {share:.2f} of its fair share, {multiple:g} at least"] if share < multiple else []


def replaced(fleet: Fleet, seconds: float) -> list[Step]:
    """Six in ten hosts return cold under new names, within most of the day; the rest has to bear it."""
    count = max(1, round(0.6 * len(fleet.hosts)))
    places = list(range(count))
    span = 0.6 * seconds / count

    def one(place: int) -> Callable[[], None]:
        return lambda: cold(fleet, range(place, place + 1))

    return [(0.15 * seconds + n * span, one(place)) for n, place in enumerate(places)]


def liars(fleet: Fleet, seconds: float) -> list[Step]:
    """One host always says that it is idle, while it is slow; another that it is full, while it is well."""

    def lie() -> None:
        fleet.hosts[0].faults = Faults(told_busy=0.0, slow=3.0)
        fleet.hosts[1].faults = Faults(told_busy=1.0, told_waiting=30)

    return [(0.1 * seconds, lie)]


def look_at_liars(fleet: Fleet, seen: list[WorkerLogEntry], seconds: float) -> list[str]:
    """The one must not draw the traffic, the other must not be left alone."""
    return _most(fleet, seen, seconds, 0, 2.0) + _least(fleet, seen, seconds, 1, 0.05)


def apart(fleet: Fleet, seconds: float) -> list[Step]:
    """Half of the gateways hear of each new list late: a host drains, leaves, and another one comes."""

    def change(entries: Callable[[], list[HostEntry]]) -> Callable[[], None]:
        def step() -> None:
            fleet.directory.gets_previous_list = lambda port: port % 2 == 0
            fleet.tell(entries())
            threading.Event().wait(LATE_LIST_S)
            fleet.directory.gets_previous_list = lambda port: False

        return step

    def drained() -> list[HostEntry]:
        return [HostEntry(e.name, e.address, n == 2, e.started, e.zone, e.weight)
                for n, e in enumerate(fleet.entries)]  # fmt: skip

    def left() -> list[HostEntry]:
        return [entry for entry in fleet.entries if not entry.draining]

    def back() -> list[HostEntry]:
        host = fleet.hosts[2]
        host.stop()
        host.name += "x"
        host.start()
        started = int(time.time() * 1000)
        return [*fleet.entries, HostEntry(host.name, host.address, False, started, host_zone(2))]

    return [
        (0.15 * seconds, change(drained)), (0.4 * seconds, change(left)), (0.6 * seconds, change(back))
    ]  # fmt: skip


def flood(fleet: Fleet, seconds: float) -> list[Step]:
    """One tenant floods one gateway with more than all others send anywhere."""

    def run() -> None:
        chance = random.Random(fleet.plan.seed)
        end_s, number = time.monotonic() + 0.5 * seconds, 0
        while time.monotonic() < end_s:
            time.sleep(chance.expovariate(FLOOD * fleet.plan.rate))
            number += 1
            place = 5 * chance.randrange(fleet.plan.functions // 5) + 1
            fleet.callers[0].call(0xF100D << 40 | number, "look", fleet.name_of(place), 3.0, "flood")

    return [(0.2 * seconds, run)]


def look_at_flood(fleet: Fleet, seen: list[WorkerLogEntry], seconds: float) -> list[str]:
    """Everybody else is served."""
    served = _served(t for t in fleet.tries if t.tenant == "acme")
    return [f"beside the flood {served:.3f} of the others' calls were served"] if served < 0.93 else []


def paused(fleet: Fleet, seconds: float) -> list[Step]:
    """Gateways stop for longer than calls take, and go on: what piled up meanwhile comes at once."""

    def pause() -> None:
        for gateway in fleet.gateways:
            gateway.send(signal.SIGSTOP)
        threading.Event().wait(PAUSE_S)
        for gateway in fleet.gateways:
            gateway.send(signal.SIGCONT)

    return [(0.5 * seconds, pause)]


def look_at_sick(fleet: Fleet, seen: list[WorkerLogEntry], seconds: float) -> list[str]:
    """A host that fails fast looks idle, and must not draw traffic; a slow one gets less than its share."""
    return _most(fleet, seen, seconds, 1, 0.7) + _most(fleet, seen, seconds, 0, 1.0)


UNEVEN: dict[str, Day] = {
    "replaced": Day("six in ten hosts replaced by cold ones", replaced, 0.85),
    "liars": Day("one host says idle and is slow, one says full and is well", liars, 0.9, look=look_at_liars),
    "apart": Day("lists reach gateways at different moments", apart, 0.95),
    "flood": Day("a tenant floods one gateway", flood, 0.6, look=look_at_flood),
    "hot": Day("three functions take 80% of the calls", calm, 0.97, plan={"hot": 3}),
    "once": Day("one call in three is for a function asked once", calm, 0.95, 1.0, {"once": 0.33}),
    "sizes": Day("hosts of one and of four", calm, 0.97, plan={"sizes": (1, 1, 1, 4)}),
    "alone": Day("one gateway", calm, 0.97, plan={"gateways": 1}),
    "paused": Day("one gateway, stopped for 0.6 s", paused, 0.97, plan={"gateways": 1}),
    "idle": Day("more gateways than calls a second", calm, 0.97, 1.5, {"rate": 15.0}),
}
