"""Prints the report of a scenario run."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass

import click
from hdrh.histogram import HdrHistogram

from saffronstack.audit.rules import Breach
from saffronstack.audit.traffic import ClientRequest, Traffic
from saffronstack.harness.scenario.plan import Plan

IN_TIME_S = 0.5
MAX_BREACHES_SHOWN = 20
MAX_LATENCY_US = 60_000_000
SIGNIFICANT_DIGITS = 3
US_PER_S, US_PER_MS = 1e6, 1000
SCAN = "scan"  # stands for all functions named scan-*
RULES = ("no call lost", "no effect twice", "drains kept", "cold workers not pushed over", "loads rationed")


@dataclass(frozen=True, slots=True)
class Report:
    """The content of the report.

    Attributes:
        title: Scenario, seed and membership.
        plan: The scenario.
        traffic: All observed attempts, executions and published states.
        breaches: Breaches of the rules.
        problems: Failures of the run itself.
        dropped: Number of calls that were not sent because no client was free.
        memory_mb_s: Metered usage of loading and running, in megabyte-seconds.
    """

    title: str
    plan: Plan
    traffic: Traffic
    breaches: list[Breach]
    problems: list[str]
    dropped: int
    memory_mb_s: float


def print_report(report: Report) -> None:
    """Print statistics, a line for each rule, breaches and problems."""
    _print_sizes(report)
    _print_functions(report)
    conditions = Counter(one for found in report.traffic.final_records.values() for one in found)
    ended = ", ".join(f"{count} {name}" for name, count in sorted(conditions.items())) or "none ended"
    click.echo(f"deferred: {len(report.traffic.final_records)} accepted, {ended}")
    click.echo(f"usage: {report.memory_mb_s:.0f} MB s of loading and running metered")
    broken = Counter(breach.rule for breach in report.breaches)
    for number, name in enumerate(RULES, 1):
        result = "kept" if not broken[number] else f"BROKEN {broken[number]} times"
        click.echo(f"rule {number}, {name}: {result}")
    for breach in report.breaches[:MAX_BREACHES_SHOWN]:
        click.echo(f"  rule {breach.rule}: {breach.text}")
    for problem in report.problems:
        click.echo(f"  problem: {problem}")


def _print_sizes(report: Report) -> None:
    plan, traffic = report.plan, report.traffic
    click.echo(
        f"{report.title}: {len(traffic.requests)} tries, {plan.gateways} gateways "
        f"before {plan.workers.count} emulated workers, {len(traffic.gateway_stops)} gateway stops, "
        f"{report.dropped} calls not sent for want of clients, "
        f"{len(traffic.lost_responses)} answers lost behind gateways"
    )


def _print_functions(report: Report) -> None:
    click.echo(
        f"{'function':<16}{'calls':>7}{'served':>8}{'in time':>9}{'refused':>9}{'failed':>8}{'broken':>8}"
        f"{'p50 ms':>9}{'p99 ms':>9}"
    )
    for function in [*report.plan.traffic.functions, SCAN]:
        tries = [one for one in report.traffic.requests if _is_counted(one, function)]
        if tries:
            _print_function(function, tries)


def _is_counted(attempt: ClientRequest, function: str) -> bool:
    if attempt.deferred or attempt.outcome == "not_taken":
        return False
    is_scan = function == SCAN and attempt.function.startswith(f"{SCAN}-")
    return attempt.function == function or is_scan


def _print_function(function: str, tries: list[ClientRequest]) -> None:
    ends = Counter(one.outcome for one in tries)
    served_s = [one.ended_s - one.sent_s for one in tries if one.outcome == "served"]
    latencies = HdrHistogram(1, MAX_LATENCY_US, SIGNIFICANT_DIGITS)
    for time_s in served_s:
        latencies.record_value(max(1, int(time_s * US_PER_S)))
    in_time = sum(time_s <= IN_TIME_S for time_s in served_s)
    p50_ms, p99_ms = (latencies.get_value_at_percentile(share) / US_PER_MS for share in (50, 99))
    click.echo(
        f"{function:<16}{len(tries):>7}{ends['served']:>8}{in_time / len(tries):>9.1%}"
        f"{ends['refused']:>9}{ends['failed']:>8}{ends['broken']:>8}{p50_ms:>9.1f}{p99_ms:>9.1f}"
    )
