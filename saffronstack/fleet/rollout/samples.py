"""From what daemons show of gateways to what the judge compares: all since the bake began. No I/O."""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, field, replace

from hdrh.histogram import HdrHistogram

from saffronstack.fleet.control.messages import GatewayMetrics, GatewayStatus
from saffronstack.fleet.rollout.comparison import Ratio, Unit
from saffronstack.fleet.rollout.plan import Gateway

STALE_S = 3.0  # figures older than this are none
LATE_PART = 0.95  # of the old side's calls that count as in time
GOOD, BAD = "served", ("function_error", "refused", "failed", "unknown")
TIMED = ("served", "function_error")


@dataclass(frozen=True, slots=True)
class Counted:
    """One gateway's figures at one moment, decoded."""

    life: int
    restarts: int
    classes: dict[str, dict[str, int]]
    times: dict[str, Counter[int]]
    memory_mb: float
    descriptors: float


@dataclass(slots=True)
class Sampler:
    """Remembers each gateway as it was when the bake began."""

    fleet: Sequence[Gateway]
    begun: dict[str, Counted] = field(default_factory=dict)
    begun_s: float = 0.0

    def begin(self, states: Mapping[str, GatewayStatus], now: float) -> None:
        """From now on."""
        self.begun_s = now
        self.begun = {
            name: counted for name, state in states.items() if (counted := counted_of(state)) is not None
        }  # fmt: skip

    def covered_s(self, states: Mapping[str, GatewayStatus], looked_s: float) -> float:
        """How much of the bake the oldest figures cover that are compared; ``looked_s``: no later than when
        daemons told them. Gateways without fresh figures are not waited for: infinity where none has any."""
        ages = [state.metrics.age_s for state in states.values() if state.metrics and _fresh(state.metrics)]
        return max(0.0, looked_s - max(ages) - self.begun_s) if ages else math.inf

    def units(self, states: Mapping[str, GatewayStatus], new: str) -> list[Unit]:
        """What the judge compares; ``new`` is the new side's release."""
        since: dict[str, tuple[Gateway, GatewayStatus, Counted]] = {}
        units: list[Unit] = []
        for gateway in self.fleet:
            state = states.get(gateway.name)
            counted = counted_of(state) if state is not None else None
            if counted is not None and gateway.name not in self.begun:
                self.begun[gateway.name] = counted  # it could not be asked when the bake began
                counted = None
            if state is None or counted is None:
                # Which side one is on that nobody can ask: by what it was told to run, where that is known.
                side = state is not None and state.desired_release == new
                restarts = self._restarts(gateway.name, state)
                units.append(Unit(gateway.name, gateway.zone, side, restarts=restarts, silent=True))
                continue
            since[gateway.name] = gateway, state, _between(self.begun[gateway.name], counted)
        bounds = _bounds(one for _, state, one in since.values() if state.desired_release != new)
        for name, (gateway, state, one) in since.items():
            ratios: dict[str, Ratio] = {}
            whole: Counter[str] = Counter()
            for call_class, counts in one.classes.items():
                whole.update(counts)
                calls = sum(counts.values())
                for ending in BAD:
                    ratios[f"{ending}/{call_class}"] = Ratio(counts.get(ending, 0), calls)
                if call_class in bounds:
                    seen = one.times.get(call_class, Counter())
                    late = sum(n for value, n in seen.items() if value > bounds[call_class])
                    ratios[f"late/{call_class}"] = Ratio(late, seen.total())
            for ending in BAD:  # what harms all classes a little shows in their sum first
                ratios[f"{ending}/all"] = Ratio(whole[ending], whole.total())
            gauges = {"memory_mb": one.memory_mb, "descriptors": one.descriptors}
            restarts = self._restarts(name, state)
            units.append(Unit(name, gateway.zone, state.desired_release == new, ratios, gauges, restarts))
        return units

    def _restarts(self, name: str, state: GatewayStatus | None) -> int:
        begun = self.begun.get(name)
        return max(0, state.restarts - begun.restarts) if state is not None and begun is not None else 0


def counted_of(state: GatewayStatus) -> Counted | None:
    """Decoded; None where its figures are missing or old."""
    figures: GatewayMetrics | None = state.metrics
    if figures is None or not _fresh(figures):
        return None
    times = {name: _values(text) for name, text in figures.latencies_by_class.items()}
    return Counted(
        state.incarnation,
        state.restarts,
        figures.outcomes_by_class,
        times,
        figures.memory_mb,
        figures.open_descriptors,
    )


def _fresh(figures: GatewayMetrics) -> bool:
    return figures.age_s <= STALE_S


def _values(text: str) -> Counter[int]:
    found = HdrHistogram.decode(text.encode())
    return Counter({
        int(item.value_iterated_to): int(item.count_added_in_this_iter_step)
        for item in found.get_recorded_iterator() if item.count_added_in_this_iter_step
    })  # fmt: skip


def _between(begun: Counted, now: Counted) -> Counted:
    """What came since; all of a life that began since, but how its memory grew can't be told."""
    if begun.life != now.life:
        return replace(now, memory_mb=math.nan, descriptors=math.nan)
    classes = {
        name: {ending: count - begun.classes.get(name, {}).get(ending, 0) for ending, count in counts.items()}
        for name, counts in now.classes.items()
    }
    times = {name: seen - begun.times.get(name, Counter()) for name, seen in now.times.items()}
    return Counted(
        now.life, now.restarts, classes, times, now.memory_mb - begun.memory_mb,
        now.descriptors - begun.descriptors,
    )  # fmt: skip


def _bounds(old: Iterable[Counted]) -> dict[str, int]:
    """For each class the time by which the most of the old side's calls were answered."""
    merged: dict[str, Counter[int]] = {}
    for one in old:
        for name, seen in one.times.items():
            merged.setdefault(name, Counter()).update(seen)
    found: dict[str, int] = {}
    for name, seen in merged.items():
        left = LATE_PART * seen.total()
        for value in sorted(seen):
            left -= seen[value]
            if left <= 0:
                found[name] = value
                break
    return found
