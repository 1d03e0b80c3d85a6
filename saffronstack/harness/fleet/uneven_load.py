"""Scenarios in which many gateways with few calls each must still load their hosts evenly."""

from __future__ import annotations

import random
import signal
import threading
import time
from collections import Counter
from collections.abc import Callable, Iterable

from saffronstack.audit.traffic import ClientRequest, WorkerLogEntry
from saffronstack.harness.fleet.cluster import Fleet
from saffronstack.harness.fleet.faults import Scenario, Step, calm, host_zone, restart_hosts_cold
from saffronstack.standin.model import Faults
from saffronstack.standin.platform import HostEntry

STALE_LIST_S = 1.2  # an endpoint list counts as published 1.5 s after its change
FLOOD_RATE_MULTIPLE = 2.0  # calls of the flooding tenant, as a multiple of the others' calls
PAUSE_S = 0.6
SETTLED_FRACTION = 0.5  # of the run, after which gateways have reacted to early faults


def _arrivals(fleet: Fleet, seen: Iterable[WorkerLogEntry], since_s: float) -> Counter[str]:
    """Count calls by host, from ``since_s`` seconds after the start."""
    since_s += fleet.start_s
    return Counter(one.worker for one in seen if one.what == "arrive" and one.t - one.late >= since_s)


def _served_fraction(tries: Iterable[ClientRequest]) -> float:
    """Return the served fraction of the attempts that were or should have been answered."""
    outcomes = Counter(
        attempt.outcome for attempt in tries if attempt.outcome not in ("broken", "not_taken", "left")
    )
    return outcomes["served"] / max(1, outcomes.total())


def _check_max_share(
    fleet: Fleet, seen: list[WorkerLogEntry], duration_s: float, host: int, multiple: float
) -> list[str]:
    """Return a problem if a host got more than a multiple of its fair share in the settled part."""
    arrivals = _arrivals(fleet, seen, SETTLED_FRACTION * duration_s)
    name = fleet.hosts[host].name
    share = arrivals[name] / max(1, arrivals.total()) * len(fleet.hosts)
    return [f"{name} got {share:.2f} of its fair share, {multiple:g} at most"] if share > multiple else []


def _check_min_share(
    fleet: Fleet, seen: list[WorkerLogEntry], duration_s: float, host: int, multiple: float
) -> list[str]:
    """Return a problem if a healthy host got less than a multiple of its fair share in the settled part."""
    arrivals = _arrivals(fleet, seen, SETTLED_FRACTION * duration_s)
    name = fleet.hosts[host].name
    share = arrivals[name] / max(1, arrivals.total()) * len(fleet.hosts)
    return [f"{name} got {share:.2f} of its fair share, {multiple:g} at least"] if share < multiple else []


def replaced(fleet: Fleet, duration_s: float) -> list[Step]:
    """Replace 60% of the hosts one by one with cold ones under new names; the others take their load."""
    count = max(1, round(0.6 * len(fleet.hosts)))
    indices = list(range(count))
    span = 0.6 * duration_s / count

    def one(index: int) -> Callable[[], None]:
        return lambda: restart_hosts_cold(fleet, range(index, index + 1))

    return [(0.15 * duration_s + n * span, one(index)) for n, index in enumerate(indices)]


def liars(fleet: Fleet, duration_s: float) -> list[Step]:
    """Make one slow host report that it is idle, and a healthy one that it is full."""

    def report_wrong_load() -> None:
        fleet.hosts[0].faults = Faults(told_busy=0.0, slow=3.0)
        fleet.hosts[1].faults = Faults(told_busy=1.0, told_waiting=30)

    return [(0.1 * duration_s, report_wrong_load)]


def check_liars(fleet: Fleet, seen: list[WorkerLogEntry], duration_s: float) -> list[str]:
    """Check that the slow host does not attract the traffic and that the healthy one gets some."""
    return _check_max_share(fleet, seen, duration_s, 0, 2.0) + _check_min_share(
        fleet, seen, duration_s, 1, 0.05
    )


def apart(fleet: Fleet, duration_s: float) -> list[Step]:
    """Publish lists that half of the gateways get late: a host drains, is removed, and comes back as new."""

    def change(entries: Callable[[], list[HostEntry]]) -> Callable[[], None]:
        def step() -> None:
            fleet.directory.gets_previous_list = lambda port: port % 2 == 0
            fleet.publish_endpoints(entries())
            threading.Event().wait(STALE_LIST_S)
            fleet.directory.gets_previous_list = lambda port: False

        return step

    def with_draining() -> list[HostEntry]:
        return [HostEntry(entry.name, entry.address, n == 2, entry.started, entry.zone, entry.weight)
                for n, entry in enumerate(fleet.entries)]  # fmt: skip

    def without_draining() -> list[HostEntry]:
        return [entry for entry in fleet.entries if not entry.draining]

    def with_returned() -> list[HostEntry]:
        host = fleet.hosts[2]
        host.stop()
        host.name += "x"
        host.start()
        started = int(time.time() * 1000)
        return [*fleet.entries, HostEntry(host.name, host.address, False, started, host_zone(2))]

    return [
        (0.15 * duration_s, change(with_draining)),
        (0.4 * duration_s, change(without_draining)),
        (0.6 * duration_s, change(with_returned)),
    ]


def flood(fleet: Fleet, duration_s: float) -> list[Step]:
    """Make one tenant send more calls to one gateway than all others send to the fleet."""

    def run() -> None:
        rng = random.Random(fleet.plan.seed)
        end_s, number = time.monotonic() + 0.5 * duration_s, 0
        while time.monotonic() < end_s:
            time.sleep(rng.expovariate(FLOOD_RATE_MULTIPLE * fleet.plan.rate))
            number += 1
            index = 5 * rng.randrange(fleet.plan.functions // 5) + 1
            fleet.clients_by_gateway[0].call(
                0xF100D << 40 | number, "look", fleet.function_id(index), 3.0, "flood"
            )

    return [(0.2 * duration_s, run)]


def check_flood(fleet: Fleet, seen: list[WorkerLogEntry], duration_s: float) -> list[str]:
    """Check that the calls of the other tenants are served."""
    served = _served_fraction(attempt for attempt in fleet.tries if attempt.tenant == "acme")
    return [f"beside the flood {served:.3f} of the others' calls were served"] if served < 0.93 else []


def paused(fleet: Fleet, duration_s: float) -> list[Step]:
    """Pause the gateways for longer than calls take; the calls that piled up then arrive at once."""

    def pause() -> None:
        for gateway in fleet.gateways:
            gateway.send_signal(signal.SIGSTOP)
        threading.Event().wait(PAUSE_S)
        for gateway in fleet.gateways:
            gateway.send_signal(signal.SIGCONT)

    return [(0.5 * duration_s, pause)]


def check_sick(fleet: Fleet, seen: list[WorkerLogEntry], duration_s: float) -> list[str]:
    """Check that a fast-failing host, which seems idle, and a slow one get less than their share."""
    return _check_max_share(fleet, seen, duration_s, 1, 0.7) + _check_max_share(
        fleet, seen, duration_s, 0, 1.0
    )


UNEVEN_LOAD_SCENARIOS: dict[str, Scenario] = {
    "replaced": Scenario("six in ten hosts replaced by cold ones", replaced, 0.85),
    "liars": Scenario(
        "one host says idle and is slow, one says full and is well", liars, 0.9, find_problems=check_liars
    ),
    "apart": Scenario("lists reach gateways at different moments", apart, 0.95),
    "flood": Scenario("a tenant floods one gateway", flood, 0.6, find_problems=check_flood),
    "hot": Scenario("three functions take 80% of the calls", calm, 0.97, plan={"hot": 3}),
    "once": Scenario("one call in three is for a function asked once", calm, 0.95, 1.0, {"once": 0.33}),
    "sizes": Scenario("hosts of one and of four", calm, 0.97, plan={"sizes": (1, 1, 1, 4)}),
    "alone": Scenario("one gateway", calm, 0.97, plan={"gateways": 1}),
    "paused": Scenario("one gateway, stopped for 0.6 s", paused, 0.97, plan={"gateways": 1}),
    "idle": Scenario("more gateways than calls a second", calm, 0.97, 1.5, {"rate": 15.0}),
}
