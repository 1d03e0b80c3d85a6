"""Measures how evenly a fleet loads its hosts, from the arrivals that the hosts recorded. No I/O.

Times are in seconds on one clock. An arrival is a call that reached a host, with its amount of work.
"""

from __future__ import annotations

import math
import random
from bisect import bisect_left
from collections import Counter, defaultdict
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from statistics import fmean, pstdev

# A herd is a burst of calls to one host within one round trip.
HERD_SHARE_MULTIPLE = 4.0  # a herd exceeds this multiple of the host's fair share
MIN_HERD_CALLS = 4  # of a herd; two calls can coincide by chance


@dataclass(frozen=True, slots=True)
class Arrival:
    """One call that reached a host."""

    t: float
    host: str
    work_s: float = 1.0


@dataclass(frozen=True, slots=True)
class Sample:
    """The load of a host at one time."""

    t: float
    host: str
    waiting: int  # calls that wait for a concurrency slot, an instance load or a core
    working: int  # calls that execute
    cores: int
    ready: bool = True


@dataclass(frozen=True, slots=True)
class Evenness:
    """How evenly the hosts were loaded in one time window; 1 is a host's fair share."""

    since_s: float
    calls: int
    max_over_mean: float
    p99_over_mean: float
    deviation: float  # coefficient of variation


def evenness(
    arrivals: Iterable[Arrival], shares: dict[str, float], since_s: float, until_s: float, span_s: float
) -> list[Evenness]:
    """Compare the work of each host with its fair share, for each time window of ``span_s``.

    ``shares`` is the fraction of the fleet's capacity by host; the fractions add up to 1. Windows without a
    call are left out.
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
    """Return the first call of each herd, with the number of its calls as ``work_s``.

    In a herd a host gets more than `HERD_SHARE_MULTIPLE` times its share of the fleet's calls within one
    round trip, before any sender can know of the other senders' calls.
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
                continue  # part of a herd that is already counted
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
    """How long ready hosts were idle while calls were queued at another host."""

    share: float  # fraction of all samples of ready hosts
    longest_s: float
    host: str  # the host of `longest_s`


def idle_beside_queue(samples: Iterable[Sample]) -> IdleBesideQueue:
    """Compute the idle time from samples that all hosts took at the same times."""
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
    """Simulate balls into bins; return the fullest bin's expected load as a multiple of the mean load.

    Each ball goes to the emptiest of ``choices`` random bins. The result checks measurements against theory:
    with one choice the excess over the mean grows with the square root of the number of balls, with two
    choices it does not (Mitzenmacher 2001).
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
    """Return the value below which that fraction of the values lies; 0 without values."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, max(0, math.ceil(fraction * len(ordered)) - 1))] if ordered else 0.0
