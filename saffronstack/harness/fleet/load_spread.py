"""How evenly a fleet loads its hosts, reckoned from what the hosts saw. No I/O.

Times are in seconds on one clock; an arrival is a call that reached a host, with the work it brought.
"""

from __future__ import annotations

import math
import random
from bisect import bisect_left
from collections import Counter, defaultdict
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from statistics import fmean, pstdev

HERD_SHARE_MULTIPLE = (
    4.0  # a host that gets more than this multiple of its share within one round trip is herded on
)
MIN_HERD_CALLS = 4  # and at least so many calls: two by chance are none


@dataclass(frozen=True, slots=True)
class Arrival:
    """One call at one host."""

    t: float
    host: str
    work_s: float = 1.0


@dataclass(frozen=True, slots=True)
class Sample:
    """What a host had to do at one moment."""

    t: float
    host: str
    waiting: int  # calls that wait for a lane, a load or a core
    working: int  # calls that run
    cores: int
    ready: bool = True


@dataclass(frozen=True, slots=True)
class Evenness:
    """One window's figures; 1 is a fair share."""

    since_s: float
    calls: int
    max_over_mean: float
    p99_over_mean: float
    deviation: float  # coefficient of variation


def evenness(
    arrivals: Iterable[Arrival], shares: dict[str, float], since_s: float, until_s: float, span_s: float
) -> list[Evenness]:
    """Work by host against its fair share, window by window. ``shares``: of the fleet's capacity, by host;
    they add up to 1. Windows without a call are left out.
    """
    if not math.isclose(sum(shares.values()), 1.0, rel_tol=1e-6):
        raise ValueError(f"the hosts' shares add up to {sum(shares.values()):g}, not 1")
    work_by_window: dict[int, dict[str, float]] = defaultdict(lambda: dict.fromkeys(shares, 0.0))
    calls: Counter[int] = Counter()
    for arrival in arrivals:
        if since_s <= arrival.t < until_s and arrival.host in shares:
            window = int((arrival.t - since_s) / span_s)
            work_by_window[window][arrival.host] += arrival.work_s
            calls[window] += 1
    found = []
    for window in sorted(work_by_window):
        total = sum(work_by_window[window].values())
        loads = sorted(work_by_window[window][host] / (total * share) for host, share in shares.items())
        found.append(
            Evenness(
                since_s + window * span_s,
                calls[window],
                loads[-1],
                loads[min(len(loads) - 1, math.ceil(0.99 * len(loads)) - 1)],
                pstdev(loads) / fmean(loads),
            )
        )
    return found


def herds(arrivals: Iterable[Arrival], shares: dict[str, float], round_trip_s: float) -> list[Arrival]:
    """The first call of each herd: a host that gets more than `HERD` times its share of the fleet's calls
    within one round trip, before any sender can have heard of the others.
    """
    ordered = sorted(arrivals, key=lambda arrival: arrival.t)
    times = [arrival.t for arrival in ordered]
    by_host: dict[str, list[float]] = defaultdict(list)
    for arrival in ordered:
        by_host[arrival.host].append(arrival.t)
    found: list[Arrival] = []
    for host, times_at_host in by_host.items():
        counted_until_s = -math.inf
        for first, t in enumerate(times_at_host):
            if t < counted_until_s:
                continue  # of a herd that is counted
            host_calls = bisect_left(times_at_host, t + round_trip_s) - first
            fleet_calls = bisect_left(times, t + round_trip_s) - bisect_left(times, t)
            if host_calls >= MIN_HERD_CALLS and host_calls > HERD_SHARE_MULTIPLE * fleet_calls * shares.get(
                host, 0.0
            ):
                found.append(Arrival(t, host, float(host_calls)))
                counted_until_s = t + round_trip_s
    return sorted(found, key=lambda arrival: arrival.t)


@dataclass(frozen=True, slots=True)
class IdleBesideQueue:
    """Ready hosts with room that stood idle while another one's calls waited."""

    share: float  # of all samples of ready hosts
    longest_s: float
    host: str  # where that was


def idle_beside_queue(samples: Iterable[Sample]) -> IdleBesideQueue:
    """From samples that all hosts made at the same moments."""
    moments: dict[float, list[Sample]] = defaultdict(list)
    for sample in samples:
        moments[sample.t].append(sample)
    since: dict[str, float] = {}
    longest_s, longest_host = 0.0, ""
    idle = ready = 0
    for t in sorted(moments):
        queued = any(sample.waiting for sample in moments[t])
        for sample in moments[t]:
            ready += sample.ready
            if queued and sample.ready and not sample.waiting and not sample.working:
                idle += 1
                began_s = since.setdefault(sample.host, t)
                if t - began_s > longest_s:
                    longest_s, longest_host = t - began_s, sample.host
            else:
                since.pop(sample.host, None)
    return IdleBesideQueue(idle / max(1, ready), longest_s, longest_host)


def expected_max_load(balls: int, bins: int, choices: int, repetitions: int = 200, seed: int = 1) -> float:
    """The fullest bin's mean load, as a multiple of the mean, where each ball goes to the emptiest of so many
    bins drawn at random; played out. Checks a rig against what is known: with one choice the excess over the
    mean grows with the square root of the balls, with two it does not (Mitzenmacher 2001).
    """
    rng = random.Random(seed)
    total = 0.0
    for _ in range(repetitions):
        loads = [0] * bins
        for _ in range(balls):
            best = min((rng.randrange(bins) for _ in range(choices)), key=loads.__getitem__)
            loads[best] += 1
        total += max(loads)
    return total / repetitions / (balls / bins)


def quantile(values: Sequence[float], fraction: float) -> float:
    """The value under which that part lies; 0 of none."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, max(0, math.ceil(fraction * len(ordered)) - 1))] if ordered else 0.0
