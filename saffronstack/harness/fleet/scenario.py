"""Runs a scenario on a fleet of gateways, and checks it from what sockets observed."""

from __future__ import annotations

import pathlib
from collections import Counter
from dataclasses import dataclass, field

import msgspec

from saffronstack.audit.rules import find_breaches
from saffronstack.audit.traffic import FunctionRule, RuleLimits, Traffic, WorkerLogEntry
from saffronstack.harness.fleet.cluster import Fleet, FleetCounts
from saffronstack.harness.fleet.faults import FAULT_SCENARIOS
from saffronstack.harness.fleet.load_spread import Arrival, evenness
from saffronstack.harness.fleet.plan import EFFECTS, FleetPlan
from saffronstack.harness.fleet.uneven_load import UNEVEN_LOAD_SCENARIOS
from saffronstack.standin.model import Profile, Store
from saffronstack.standin.platform import StubHost

# Gateways, hosts and clients share one machine. The measured read lag of its threads is added to this slack.
SLACK_S = 0.35
WINDOW_S, WARM_UP_S = 5.0, 2.0  # window of the evenness check; time until instances are loaded
SCENARIOS = FAULT_SCENARIOS | UNEVEN_LOAD_SCENARIOS


@dataclass
class FleetReport:
    """The result of a scenario run."""

    day: str
    calls: int = 0
    served: float = 0.0
    refused: float = 0.0
    failed: float = 0.0
    broken: int = 0  # attempts whose connection broke, as when a gateway is killed
    late: int = 0  # calls without a response in time though their gateway was running
    breaches: list[str] = field(default_factory=list)
    links_per_call: float = 0.0
    asks_per_gateway: float = 0.0  # polls of the endpoint list per second
    busiest: float = 0.0  # most calls to one host in one second, as a multiple of its fair share
    uneven: float = 0.0  # the same over any 5 s, relative to the host's size
    complaints: list[str] = field(default_factory=list)  # expectations of the scenario that were not met
    descriptors: int = 0
    memory_mb: float = 0.0
    lag_s: float = 0.0  # maximum delay with which a thread of the harness read received bytes
    p50_ms: float = 0.0
    p99_ms: float = 0.0

    def line(self) -> str:
        """Return the result as one readable line."""
        return (
            f"{self.day}: {self.calls} calls, served {self.served:.3f}, refused {self.refused:.3f}, "
            f"failed {self.failed:.3f}, broken {self.broken}, late {self.late}, "
            f"breaches {len(self.breaches)}; links a call {self.links_per_call:.2f}, asks a second "
            f"{self.asks_per_gateway:.1f} a gateway, busiest host {self.busiest:.1f} of its share, "
            f"{self.uneven:.2f} over 5 s; "
            f"{self.descriptors} descriptors, {self.memory_mb:.0f} MB; p50 {self.p50_ms:.0f} ms, "
            f"p99 {self.p99_ms:.0f} ms, lag {self.lag_s:.2f} s"
        )


def run_scenario(
    name: str,
    folder: pathlib.Path,
    *,
    gateways: int,
    hosts: int,
    rate: float,
    seconds: float,
    seed: int = 1,
) -> FleetReport:
    """Run a scenario. The machine must sustain the rate."""
    sizes = {"gateways": gateways, "hosts": hosts, "rate": rate, "seed": seed}
    plan = FleetPlan(**{**sizes, **SCENARIOS[name].plan})
    seen: list[WorkerLogEntry] = []
    connects: list[float] = []

    def log(entry: dict[str, object]) -> None:
        if entry["what"] == "connect":
            connects.append(float(str(entry["t"])))
        else:
            seen.append(msgspec.convert(entry, WorkerLogEntry, strict=False))

    profiles = [
        Profile(
            memory_mb=plan.host_mb, cores=plan.cores * plan.host_size(n), work_s=plan.work_s,
            load_s=plan.load_s, keep_alive_s=plan.keep_alive_s, queue=64,
        )
        for n in range(hosts)
    ]  # fmt: skip
    store = Store(capacity=64)
    catalog = (plan.memory_mb, plan.lanes)
    stub_hosts = [
        StubHost(f"s-{n:04d}", profile, store, lambda function: catalog, log)
        for n, profile in enumerate(profiles)
    ]
    with Fleet(plan, folder, stub_hosts) as fleet:
        fleet.run(seconds, SCENARIOS[name].steps(fleet, seconds))
        counts = fleet.counts(seen, connects)
        return _report(name, plan, fleet, seen, counts, seconds)


def _report(
    name: str, plan: FleetPlan, fleet: Fleet, seen: list[WorkerLogEntry], counts: FleetCounts, seconds: float
) -> FleetReport:
    rules = {attempt.function: FunctionRule(EFFECTS["look"]) for attempt in fleet.tries}
    rules |= {
        fleet.function_id(index): FunctionRule(EFFECTS["sell"]) for index in range(0, plan.functions, 5)
    }
    capacity = plan.cores / plan.work_s
    figures = RuleLimits(
        drain_grace_s=2.0 + 1.5,  # an endpoint list counts as published 1.5 s after its change
        overload_multiple=3.0, slow_start_min_fraction=plan.cold_share, slow_start_s=plan.cold_s,
        gateways=plan.gateways,
        capacity_rps={told.worker: capacity for told in fleet.told}, slack_s=SLACK_S + fleet.lag.max_s,
    )  # fmt: skip
    traffic = Traffic(
        rules,
        requests=fleet.tries,
        worker_log=list(seen),
        endpoint_changes=fleet.told,
        gateway_stops=fleet.stopped,
    )
    outcomes = Counter(attempt.outcome for attempt in fleet.tries)
    accepted = len(fleet.tries) - outcomes["broken"] - outcomes["not_taken"] - outcomes["left"]
    latencies_s = sorted(
        attempt.ended_s - attempt.sent_s for attempt in fleet.tries if attempt.outcome == "served"
    ) or [0.0]
    report = FleetReport(name, len(fleet.tries))
    report.served, report.refused, report.failed = (
        outcomes[end] / max(1, accepted) for end in ("served", "refused", "failed")
    )
    report.lag_s = fleet.lag.max_s
    report.broken = outcomes["broken"]
    slack_s = SLACK_S + fleet.lag.max_s
    answered = [attempt for attempt in fleet.tries if attempt.outcome in ("served", "refused", "failed")]
    report.late = outcomes[""] + sum(attempt.ended_s > attempt.deadline_s + slack_s for attempt in answered)
    report.breaches = [f"rule {breach.rule}: {breach.text}" for breach in find_breaches(traffic, figures)]
    report.breaches += fleet.failed_steps
    unexpected = sum(clients.unexpected_responses for clients in fleet.clients_by_gateway)
    if unexpected:
        report.breaches.append(f"rule 1: {unexpected} answers that nobody waited for")
    full_seconds = range(1, max(2, int(seconds)))
    report.links_per_call = sum(counts.connections.values()) / max(1, len(fleet.tries))
    report.asks_per_gateway = counts.per_second(counts.asks, 1, int(seconds)) / plan.gateways
    fair = {second: max(1.0, counts.calls[second] / plan.hosts) for second in full_seconds}
    arrived = counts.arrivals.items()
    report.busiest = max((number / fair[s] for (_, s), number in arrived if s in fair), default=0.0)
    sizes = {host.name.rstrip("x"): plan.host_size(index) for index, host in enumerate(fleet.hosts)}
    shares = {name: size / sum(sizes.values()) for name, size in sizes.items()}
    since_s, until_s = fleet.start_s + WARM_UP_S, fleet.start_s + seconds
    arrivals = [
        Arrival(one.t - one.late, one.worker.rstrip("x"), plan.work_s) for one in seen if one.what == "arrive"
    ]
    windows = evenness(arrivals, shares, since_s, until_s, WINDOW_S)
    report.uneven = max((one.max_over_mean for one in windows), default=0.0)
    report.complaints = SCENARIOS[name].find_problems(fleet, seen, seconds)
    report.descriptors, report.memory_mb = counts.descriptors, counts.memory_mb
    report.p50_ms = 1000 * latencies_s[len(latencies_s) // 2]
    report.p99_ms = 1000 * latencies_s[min(len(latencies_s) - 1, len(latencies_s) * 99 // 100)]
    return report
