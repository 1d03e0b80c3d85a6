"""Is the new side worse than the old one beside it? Counts by gateway, tests, a verdict with its evidence.

No I/O. Gateways are the unit: calls of one are alike, so their counts scatter more than coins do. How much
more is read off the gateways themselves (a quasi-binomial dispersion, as in Wedderburn 1974), zone by zone,
so that what harms a zone harms both sides of it. Looks are many: each spends a part of the chance of a false
stop that the stage has (Lan and DeMets 1983, the power family), shared among all that is compared
(Bonferroni), so the sum holds whatever the looks have to do with each other."""

from __future__ import annotations

import math
from collections import defaultdict
from collections.abc import Iterable, Sequence

from scipy import stats

from saffronstack.fleet.rollout.comparison import Finding, Limits, Look, Unit, Verdict

SPEND = 2.0  # early looks rest on little: the chance spent grows with the square of the time
OWN = ("failed", "refused", "unknown")  # endings that are the gateway's own doing, not its functions'
SPREAD_LEAST = 2  # gateways beyond one a side and zone, to tell how much gateways differ


def look(limits: Limits, units: Sequence[Unit], part: float, spent: float = 0.0) -> Look:
    """Judge at ``part`` of the bake, 1 at its end; ``spent`` of the chance by looks before."""
    new = [unit for unit in units if unit.new]
    broken = [f"{unit.gateway}: {unit.breaches} rules broken" for unit in new if unit.breaches]
    if broken and not any(unit.breaches for unit in units if not unit.new):
        return Look(Verdict.BAD, spent, tuple(broken))
    ended = [f"{unit.gateway} ended by itself {unit.restarts} times" for unit in new if unit.restarts]
    if sum(unit.restarts for unit in new) > limits.ends_most and not any(
        unit.restarts for unit in units if not unit.new
    ):
        return Look(Verdict.BAD, spent, tuple(ended))
    findings = compare(units)
    may = limits.false_stop * min(1.0, max(0.0, part)) ** SPEND
    each = max(0.0, may - spent) / max(1, len(findings))
    worse = [
        one for one in findings
        if (one.chance < each and one.new - one.old >= _least(limits, one)) or _gross(limits, one, each)
    ]  # fmt: skip
    if worse:
        worse.sort(key=lambda one: one.chance)
        return Look(Verdict.BAD, may, tuple(one.line() for one in worse), tuple(findings))
    if part < 1:
        return Look(Verdict.WAIT, max(may, spent), (), tuple(findings))
    doubts = _doubts(limits, units)
    verdict = Verdict.DOUBT if doubts else Verdict.GOOD
    return Look(verdict, max(may, spent), tuple(doubts), tuple(findings))


def _gross(limits: Limits, finding: Finding, each: float) -> bool:
    """Few gateways never tell how much gateways differ, and a release that fails every tenth call must not
    wait for them: no chance by gateways is claimed here, but a difference that no fleet shows by itself."""
    own = finding.measure.partition("/")[0] in OWN
    return own and finding.by_calls < each and finding.new - finding.old >= limits.gross


def _least(limits: Limits, finding: Finding) -> float:
    return limits.least.get(finding.measure.partition("/")[0], 0.0)


def _doubts(limits: Limits, units: Sequence[Unit]) -> list[str]:
    """What is missing for a good word: no data is no good data."""
    new = [unit for unit in units if unit.new]
    silent = [unit.gateway for unit in new if unit.silent]
    lines = []
    if not new:
        lines.append("no gateway of the new side")
    elif len(silent) > limits.silent_most * len(new):
        lines.append(f"{len(silent)} of {len(new)} new gateways could not be asked: {', '.join(silent[:5])}")
    calls = {side: 0 for side in (True, False)}
    for unit in units:
        calls[unit.new] += max((ratio.of for ratio in unit.ratios.values()), default=0)
    if calls[True] < limits.calls_least:
        lines.append(f"the new side had {calls[True]} calls, {limits.calls_least} at least")
    if any(not unit.new for unit in units) and not calls[False]:
        lines.append("the old side had no calls to compare with")
    return lines


def compare(units: Sequence[Unit]) -> list[Finding]:
    """Each measure of which both sides of some zone tell."""
    findings: list[Finding] = []
    heard = [unit for unit in units if not unit.silent]
    for measure in sorted({name for unit in heard for name in unit.ratios}):
        told = [(unit, unit.ratios[measure]) for unit in heard if measure in unit.ratios]
        rows = [(unit.zone, unit.new, ratio.bad, ratio.of) for unit, ratio in told if ratio.of > 0]
        found = _ratio(measure, rows)
        if found is not None:
            findings.append(found)
    for measure in sorted({name for unit in heard for name in unit.gauges}):
        gauged = [(unit.zone, unit.new, unit.gauges[measure]) for unit in heard if measure in unit.gauges]
        found = _gauge(measure, gauged)
        if found is not None:
            findings.append(found)
    findings += _happened("restarts", [(unit.new, unit.restarts) for unit in units])
    findings += _more_units("silent", [(unit.new, unit.silent) for unit in units])
    return findings


def _matched(zones: Iterable[tuple[str, bool]]) -> set[str]:
    """Zones with gateways of both sides."""
    sides: dict[str, set[bool]] = defaultdict(set)
    for zone, new in zones:
        sides[zone].add(new)
    return {zone for zone, seen in sides.items() if len(seen) == 2}


def _ratio(measure: str, rows: list[tuple[str, bool, int, int]]) -> Finding | None:
    """Rates, zone by zone. The chance is the greatest of three: of scattered gateways (t), of their rates'
    angles (t), and of single calls (hypergeometric), which alone is right where little went wrong."""
    both = _matched((zone, new) for zone, new, _, _ in rows)
    rows = [row for row in rows if row[0] in both]
    # Where nothing went wrong on either side there is nothing to compare, and no chance is spent on it: given
    # how much went wrong together, on which side it did is what is tested.
    if not any(bad for _, _, bad, _ in rows):
        return None
    cells: dict[tuple[str, bool], list[tuple[int, int]]] = defaultdict(list)
    for zone, new, bad, of in rows:
        cells[zone, new].append((bad, of))
    sums = {cell: (sum(b for b, _ in seen), sum(n for _, n in seen)) for cell, seen in cells.items()}
    scatter, freedom = 0.0, 0
    for cell, seen in cells.items():
        bad, of = sums[cell]
        rate = (bad + 0.5) / (of + 1)
        scatter += sum((b - n * bad / of) ** 2 / (n * rate * (1 - rate)) for b, n in seen)
        freedom += len(seen) - 1
    top = below = weights = new_rate = old_rate = 0.0
    for zone in both:
        (bad_new, of_new), (bad_old, of_old) = sums[zone, True], sums[zone, False]
        weight = of_new * of_old / (of_new + of_old)
        rate = (bad_new + bad_old) / (of_new + of_old)
        top += weight * (bad_new / of_new - bad_old / of_old)
        below += weight**2 * rate * (1 - rate) * (1 / of_new + 1 / of_old)
        weights += weight
        new_rate += weight * bad_new / of_new
        old_rate += weight * bad_old / of_old
    new_rate, old_rate = new_rate / weights, old_rate / weights
    if below <= 0:
        return Finding(measure, new_rate, old_rate, 1.0)
    bad_new, of_new = (sum(sums[zone, True][n] for zone in both) for n in (0, 1))
    bad_old, of_old = (sum(sums[zone, False][n] for zone in both) for n in (0, 1))
    of_calls = float(stats.hypergeom.sf(bad_new - 1, of_new + of_old, bad_new + bad_old, of_new))
    if freedom < SPREAD_LEAST:
        return Finding(measure, new_rate, old_rate, 1.0, of_calls)
    dispersion = max(1.0, scatter / freedom)
    of_gateways = float(stats.t.sf(top / math.sqrt(dispersion * below), freedom))
    # Rates of gateways lean to one side, which makes far tails of t too small: their angles do not.
    angles = [(zone, new, math.asin(math.sqrt((bad + 0.375) / (of + 0.75)))) for zone, new, bad, of in rows]
    of_angles = _gauge(measure, angles)
    assert of_angles is not None  # both sides of a zone are here
    chance = max(of_gateways, of_calls, of_angles.chance)
    return Finding(measure, new_rate, old_rate, chance, of_calls)


def _gauge(measure: str, rows: list[tuple[str, bool, float]]) -> Finding | None:
    """Means, zone by zone, with one variance of all gateways about the mean of their side and zone."""
    both = _matched((zone, new) for zone, new, _ in rows)
    cells: dict[tuple[str, bool], list[float]] = defaultdict(list)
    for zone, new, value in rows:
        if zone in both and math.isfinite(value):
            cells[zone, new].append(value)
    both = _matched(cells)
    if not both:
        return None
    means = {cell: sum(seen) / len(seen) for cell, seen in cells.items()}
    squares = sum((value - means[cell]) ** 2 for cell, seen in cells.items() for value in seen)
    freedom = sum(len(seen) - 1 for seen in cells.values())
    top = below = weights = new_mean = old_mean = 0.0
    for zone in both:
        m, n = len(cells[zone, True]), len(cells[zone, False])
        weight = m * n / (m + n)
        top += weight * (means[zone, True] - means[zone, False])
        below += weight**2 * (1 / m + 1 / n)
        weights += weight
        new_mean += weight * means[zone, True]
        old_mean += weight * means[zone, False]
    new_mean, old_mean = new_mean / weights, old_mean / weights
    if freedom < SPREAD_LEAST or (squares <= 0 and top <= 0):
        return Finding(measure, new_mean, old_mean, 1.0)
    if squares <= 0:  # each side alike: so many ways there are to choose the new ones of each zone
        sizes = [(len(cells[zone, True]), len(cells[zone, False])) for zone in both]
        ways = math.prod(math.comb(m + n, m) for m, n in sizes)
        return Finding(measure, new_mean, old_mean, 1 / ways)
    chance = float(stats.t.sf(top / math.sqrt(squares / freedom * below), freedom))
    return Finding(measure, new_mean, old_mean, chance)


def _happened(measure: str, rows: Sequence[tuple[bool, int]]) -> list[Finding]:
    """Single events: how likely so many of them fall on the new side's part of the gateways."""
    total, of_new = sum(count for _, count in rows), sum(count for new, count in rows if new)
    new = sum(side for side, _ in rows)
    if not total or not 0 < new < len(rows):
        return []
    chance = float(stats.binom.sf(of_new - 1, total, new / len(rows)))
    return [Finding(measure, of_new / new, (total - of_new) / (len(rows) - new), chance)]


def _more_units(measure: str, rows: Sequence[tuple[bool, bool]]) -> list[Finding]:
    """Gateways of which something is true: how likely so many of them are new ones."""
    total, of_new = sum(true for _, true in rows), sum(true for new, true in rows if new)
    new = sum(side for side, _ in rows)
    if not total or not 0 < new < len(rows):
        return []
    chance = float(stats.hypergeom.sf(of_new - 1, len(rows), total, new))
    return [Finding(measure, of_new / new, (total - of_new) / (len(rows) - new), chance)]
