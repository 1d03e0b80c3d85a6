"""Plays a day of many gateways and judges it from the sockets."""

from __future__ import annotations

import pathlib
from collections import Counter
from dataclasses import dataclass, field

import msgspec

from saffronstack.audit.rules import find_breaches
from saffronstack.audit.traffic import FunctionRule, RuleLimits, Traffic, WorkerLogEntry
from saffronstack.harness.fleet.cluster import Fleet, Sums
from saffronstack.harness.fleet.faults import DAYS as USUAL
from saffronstack.harness.fleet.load_spread import Arrival, evenness
from saffronstack.harness.fleet.plan import EFFECTS, FleetPlan
from saffronstack.harness.fleet.uneven_load import UNEVEN
from saffronstack.standin.model import Profile, Store
from saffronstack.standin.platform import StubHost

# One machine plays gateways, hosts and clients at once; how late its threads read comes on top, measured.
SLACK_S = 0.35
SPAN_S, WARM_UP_S = 5.0, 2.0  # over which evenness is judged, after copies stand
DAYS = USUAL | UNEVEN


@dataclass
class Verdict:
    """What was found."""

    day: str
    calls: int = 0
    served: float = 0.0
    refused: float = 0.0
    failed: float = 0.0
    broken: int = 0  # with a gateway that was killed
    late: int = 0  # calls that got no answer in time though their gateway lived
    breaches: list[str] = field(default_factory=list)
    links_per_call: float = 0.0
    asks_per_gateway: float = 0.0  # for the list, a second
    busiest: float = 0.0  # most calls to one host in a second, as a multiple of its fair share
    uneven: float = 0.0  # and over any 5 s, by its size
    complaints: list[str] = field(default_factory=list)  # what the day asks for and did not find
    descriptors: int = 0
    memory_mb: float = 0.0
    lag_s: float = 0.0  # how late threads of the rig read what had come, at most
    p50_ms: float = 0.0
    p99_ms: float = 0.0

    def line(self) -> str:
        """All of it, for a person."""
        return (
            f"{self.day}: {self.calls} calls, served {self.served:.3f}, refused {self.refused:.3f}, "
            f"failed {self.failed:.3f}, broken {self.broken}, late {self.late}, "
            f"breaches {len(self.breaches)}; links a call {self.links_per_call:.2f}, asks a second "
            f"{self.asks_per_gateway:.1f} a gateway, busiest host {self.busiest:.1f} of its share, "
            f"{self.uneven:.2f} over 5 s; "
            f"{self.descriptors} descriptors, {self.memory_mb:.0f} MB; p50 {self.p50_ms:.0f} ms, "
            f"p99 {self.p99_ms:.0f} ms, lag {self.lag_s:.2f} s"
        )


def play(
    name: str,
    folder: pathlib.Path,
    *,
    gateways: int,
    hosts: int,
    rate: float,
    seconds: float,
    seed: int = 1,
) -> Verdict:
    """Play a day; the machine must bear the rate."""
    sizes = {"gateways": gateways, "hosts": hosts, "rate": rate, "seed": seed}
    plan = FleetPlan(**{**sizes, **DAYS[name].plan})
    seen: list[WorkerLogEntry] = []
    connects: list[float] = []

    def log(entry: dict[str, object]) -> None:
        if entry["what"] == "connect":
            connects.append(float(str(entry["t"])))
        else:
            seen.append(msgspec.convert(entry, WorkerLogEntry, strict=False))

    profiles = [
        Profile(
            memory_mb=plan.host_mb, cores=plan.cores * plan.size_of(n), work_s=plan.work_s,
            load_s=plan.load_s, keep_alive_s=plan.keep_alive_s, queue=64,
        )
        for n in range(hosts)
    ]  # fmt: skip
    store = Store(capacity=64)
    catalog = (plan.memory_mb, plan.lanes)
    made = [
        StubHost(f"s-{n:04d}", profile, store, lambda function: catalog, log)
        for n, profile in enumerate(profiles)
    ]
    with Fleet(plan, folder, made) as fleet:
        fleet.play(seconds, DAYS[name].steps(fleet, seconds))
        sums = fleet.sums(seen, connects)
        return _verdict(name, plan, fleet, seen, sums, seconds)


def _verdict(
    name: str, plan: FleetPlan, fleet: Fleet, seen: list[WorkerLogEntry], sums: Sums, seconds: float
) -> Verdict:
    rules = {t.function: FunctionRule(EFFECTS["look"]) for t in fleet.tries}
    rules |= {fleet.name_of(place): FunctionRule(EFFECTS["sell"]) for place in range(0, plan.functions, 5)}
    capacity = plan.cores / plan.work_s
    figures = RuleLimits(
        drain_grace_s=2.0 + 1.5,  # a list counts as told 1.5 s after it changed
        overload_multiple=3.0, slow_start_min_fraction=plan.cold_share, slow_start_s=plan.cold_s,
        gateways=plan.gateways,
        capacity_rps={told.worker: capacity for told in fleet.told}, slack_s=SLACK_S + fleet.lag.most_s,
    )  # fmt: skip
    traffic = Traffic(
        rules,
        requests=fleet.tries,
        worker_log=list(seen),
        endpoint_changes=fleet.told,
        gateway_stops=fleet.stopped,
    )
    ends = Counter(t.outcome for t in fleet.tries)
    taken = len(fleet.tries) - ends["broken"] - ends["not_taken"] - ends["left"]
    times = sorted(t.ended_s - t.sent_s for t in fleet.tries if t.outcome == "served") or [0.0]
    verdict = Verdict(name, len(fleet.tries))
    verdict.served, verdict.refused, verdict.failed = (
        ends[end] / max(1, taken) for end in ("served", "refused", "failed")
    )
    verdict.lag_s = fleet.lag.most_s
    verdict.broken = ends["broken"]
    slack_s = SLACK_S + fleet.lag.most_s
    answered = [t for t in fleet.tries if t.outcome in ("served", "refused", "failed")]
    verdict.late = ends[""] + sum(t.ended_s > t.deadline_s + slack_s for t in answered)
    verdict.breaches = [f"rule {breach.rule}: {breach.text}" for breach in find_breaches(traffic, figures)]
    verdict.breaches += fleet.faults
    doubled = sum(caller.doubled for caller in fleet.callers)
    if doubled:
        verdict.breaches.append(f"rule 1: {doubled} answers that nobody waited for")
    whole = range(1, max(2, int(seconds)))
    verdict.links_per_call = sum(sums.links.values()) / max(1, len(fleet.tries))
    verdict.asks_per_gateway = sums.per_second(sums.asks, 1, int(seconds)) / plan.gateways
    fair = {second: max(1.0, sums.calls[second] / plan.hosts) for second in whole}
    arrived = sums.arrivals.items()
    verdict.busiest = max((number / fair[s] for (_, s), number in arrived if s in fair), default=0.0)
    sizes = {host.name.rstrip("x"): plan.size_of(place) for place, host in enumerate(fleet.hosts)}
    shares = {name: size / sum(sizes.values()) for name, size in sizes.items()}
    since_s, until_s = fleet.began_s + WARM_UP_S, fleet.began_s + seconds
    came = [
        Arrival(one.t - one.late, one.worker.rstrip("x"), plan.work_s) for one in seen if one.what == "arrive"
    ]
    windows = evenness(came, shares, since_s, until_s, SPAN_S)
    verdict.uneven = max((one.max_over_mean for one in windows), default=0.0)
    verdict.complaints = DAYS[name].look(fleet, seen, seconds)
    verdict.descriptors, verdict.memory_mb = sums.descriptors, sums.memory_mb
    verdict.p50_ms = 1000 * times[len(times) // 2]
    verdict.p99_ms = 1000 * times[min(len(times) - 1, len(times) * 99 // 100)]
    return verdict
