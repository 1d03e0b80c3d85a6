"""Days on which many gateways that see little must load their hosts evenly all the same."""

from __future__ import annotations

import random
import signal
import threading
import time
from collections import Counter
from collections.abc import Callable, Iterable

from saffronstack.audit.traffic import Seen, Try
from saffronstack.harness.fleet.cluster import Fleet
from saffronstack.harness.fleet.faults import Scenario, Step, calm, host_zone, restart_hosts_cold
from saffronstack.standin.model import Faults
from saffronstack.standin.platform import Entry

STALE_LIST_S = 1.2  # a list counts as told 1.5 s after it changed
FLOOD_RATE_MULTIPLE = 2.0  # calls of the flooding tenant, as a multiple of all others'
PAUSE_S = 0.6
SETTLED_FRACTION = 0.5  # part of the day after which gateways have learnt of what began early


def _arrivals(fleet: Fleet, seen: Iterable[Seen], since_s: float) -> Counter[str]:
    """Calls by host, from so many seconds after the beginning on."""
    since_s += fleet.start_s
    return Counter(one.worker for one in seen if one.what == "arrive" and one.t - one.late >= since_s)


def _served_fraction(tries: Iterable[Try]) -> float:
    """The part of those that were answered or should have been."""
    outcomes = Counter(attempt.end for attempt in tries if attempt.end not in ("broken", "not_taken", "left"))
    return outcomes["served"] / max(1, outcomes.total())


def _check_max_share(
    fleet: Fleet, seen: list[Seen], duration_s: float, host: int, multiple: float
) -> list[str]:
    """A host that gets more than a multiple of its fair share once the day has settled."""
    arrivals = _arrivals(fleet, seen, SETTLED_FRACTION * duration_s)
    name = fleet.hosts[host].name
    share = arrivals[name] / max(1, arrivals.total()) * len(fleet.hosts)
    return [f"{name} got {share:.2f} of its fair share, {multiple:g} at most"] if share > multiple else []


def _check_min_share(
    fleet: Fleet, seen: list[Seen], duration_s: float, host: int, multiple: float
) -> list[str]:
    """A host that gets less than a part of its fair share though it is well."""
    arrivals = _arrivals(fleet, seen, SETTLED_FRACTION * duration_s)
    name = fleet.hosts[host].name
    share = arrivals[name] / max(1, arrivals.total()) * len(fleet.hosts)
    return [f"{name} got {share:.2f} of its fair share, {multiple:g} at least"] if share < multiple else []


def replaced(fleet: Fleet, duration_s: float) -> list[Step]:
    """Six in ten hosts return cold under new names, within most of the day; the rest has to bear it."""
    count = max(1, round(0.6 * len(fleet.hosts)))
    indices = list(range(count))
    span = 0.6 * duration_s / count

    def one(index: int) -> Callable[[], None]:
        return lambda: restart_hosts_cold(fleet, range(index, index + 1))

    return [(0.15 * duration_s + n * span, one(index)) for n, index in enumerate(indices)]


def liars(fleet: Fleet, duration_s: float) -> list[Step]:
    """One host always says that it is idle, while it is slow; another that it is full, while it is well."""

    def report_wrong_load() -> None:
        fleet.hosts[0].faults = Faults(told_busy=0.0, slow=3.0)
        fleet.hosts[1].faults = Faults(told_busy=1.0, told_waiting=30)

    return [(0.1 * duration_s, report_wrong_load)]


def check_liars(fleet: Fleet, seen: list[Seen], duration_s: float) -> list[str]:
    """The one must not draw the traffic, the other must not be left alone."""
    return _check_max_share(fleet, seen, duration_s, 0, 2.0) + _check_min_share(
        fleet, seen, duration_s, 1, 0.05
    )


def apart(fleet: Fleet, duration_s: float) -> list[Step]:
    """Half of the gateways hear of each new list late: a host drains, leaves, and another one comes."""

    def change(entries: Callable[[], list[Entry]]) -> Callable[[], None]:
        def step() -> None:
            fleet.directory.behind = lambda port: port % 2 == 0
            fleet.publish_endpoints(entries())
            threading.Event().wait(STALE_LIST_S)
            fleet.directory.behind = lambda port: False

        return step

    def with_draining() -> list[Entry]:
        return [Entry(entry.name, entry.address, n == 2, entry.started, entry.zone, entry.weight)
                for n, entry in enumerate(fleet.entries)]  # fmt: skip

    def without_draining() -> list[Entry]:
        return [entry for entry in fleet.entries if not entry.draining]

    def with_returned() -> list[Entry]:
        host = fleet.hosts[2]
        host.stop()
        host.name += "x"
        host.start()
        started = int(time.time() * 1000)
        return [*fleet.entries, Entry(host.name, host.address, False, started, host_zone(2))]

    return [
        (0.15 * duration_s, change(with_draining)),
        (0.4 * duration_s, change(without_draining)),
        (0.6 * duration_s, change(with_returned)),
    ]


def flood(fleet: Fleet, duration_s: float) -> list[Step]:
    """One tenant floods one gateway with more than all others send anywhere."""

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


def check_flood(fleet: Fleet, seen: list[Seen], duration_s: float) -> list[str]:
    """Everybody else is served."""
    served = _served_fraction(attempt for attempt in fleet.tries if attempt.tenant == "acme")
    return [f"beside the flood {served:.3f} of the others' calls were served"] if served < 0.93 else []


def paused(fleet: Fleet, duration_s: float) -> list[Step]:
    """Gateways stop for longer than calls take, and go on: what piled up meanwhile comes at once."""

    def pause() -> None:
        for gateway in fleet.gateways:
            gateway.send_signal(signal.SIGSTOP)
        threading.Event().wait(PAUSE_S)
        for gateway in fleet.gateways:
            gateway.send_signal(signal.SIGCONT)

    return [(0.5 * duration_s, pause)]


def check_sick(fleet: Fleet, seen: list[Seen], duration_s: float) -> list[str]:
    """A host that fails fast looks idle, and must not draw traffic; a slow one gets less than its share."""
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
