"""Renders an HTML usage report with charts, for customers who receive a bill. Needs matplotlib."""

from __future__ import annotations

import io
from collections.abc import Iterable
from html import escape

from matplotlib import rc_context
from matplotlib.figure import Figure

from saffronstack.metering.merged_accounts import MergedAccounts
from saffronstack.metering.usage_report import (
    AMOUNT_COLUMNS,
    UsageRow,
    amounts_in_column_order,
    summarize_usage,
)

MAX_BARS = 20  # in a chart; one more bar has the sum of the rest
MAX_ROWS = 500  # in a table; `usage show` prints all
PHASES = ("loading", "running", "estimated", "provisional")
COLOURS = ("#c9822b", "#3d6f8e", "#a8453e", "#9a9a9a")
STYLE = (
    "body{font:15px/1.45 sans-serif;max-width:64em;margin:2em auto;padding:0 1em;color:#222}"
    "table{border-collapse:collapse}td,th{padding:.2em .7em;border-bottom:1px solid #ddd;text-align:right}"
    "td.n,th.n{text-align:left;overflow-wrap:anywhere}svg{max-width:100%;height:auto}.bad{color:#a8453e}"
)


def render_html_report(merged: MergedAccounts, notes: Iterable[str]) -> str:
    """Return the report as one HTML page. Names from workers and clients are escaped."""
    by_tenant = summarize_usage(merged, ("tenant",))
    by_day = sorted(summarize_usage(merged, ("day",)), key=lambda row: row.group)
    by_function = summarize_usage(merged, ("function",))
    problems = merged.find_imbalances()
    if merged.in_doubt:
        problems.append("records of a log are lost: sums may miss some")
    total = sum(row.charged for row in by_tenant)
    days = f"{by_day[0].group[0]} to {by_day[-1].group[0]}" if by_day else "no usage"
    state = "in balance" if not problems else "NOT in balance"
    parts = [
        "<!doctype html><html lang='en'><head><meta charset='utf-8'><title>Usage</title>",
        f"<style>{STYLE}</style></head><body><h1>Memory-seconds, {days}</h1>",
        f"<p>{total:,.1f} MB s charged ({total / 1024 / 3600:,.4f} GB h) to {len(by_tenant)} tenants; "
        f"{merged.confirmed} records confirmed, {merged.unconfirmed} not yet; {state}. "
        "Idle time is shown in the tables and not charged.</p>",
        *(f"<p class='bad'>{escape(line)}</p>" for line in [*problems, *notes]),
        "<h2>By day</h2>",
        _draw_chart(by_day, is_vertical=True),
        "<h2>By tenant</h2>",
        _draw_chart(_largest(by_tenant)),
        _format_table(by_tenant, "tenant"),
        "<h2>By function</h2>",
        _draw_chart(_largest(by_function)),
        _format_table(by_function, "function"),
        "</body></html>",
    ]
    return "\n".join(parts)


def _largest(rows: list[UsageRow]) -> list[UsageRow]:
    """Return the first rows and the sum of the rest as one row; rows are sorted by charge."""
    rest = rows[MAX_BARS:]
    if not rest:
        return rows
    sums = [sum(getattr(row, name) for row in rest) for name in (*PHASES[:2], "idle", *PHASES[2:])]
    return [*rows[:MAX_BARS], UsageRow((f"{len(rest)} others",), *sums)]


def _draw_chart(rows: list[UsageRow], is_vertical: bool = False) -> str:
    """Return a chart of stacked bars as SVG, or a sentence if there are no rows."""
    if not rows:
        return "<p>Nothing was metered.</p>"
    size = (9.0, 3.2) if is_vertical else (9.0, 0.6 + 0.28 * len(rows))
    with rc_context({"svg.hashsalt": "usage", "text.parse_math": False}):
        figure = Figure(figsize=size, layout="constrained")
        axes = figure.subplots()
        names = [row.group[0][:40] for row in rows]
        positions = list(range(len(rows)))
        bottom = [0.0] * len(rows)
        for phase, colour in zip(PHASES, COLOURS, strict=True):
            amounts = [getattr(row, phase) for row in rows]
            if is_vertical:
                axes.bar(positions, amounts, bottom=bottom, color=colour, label=phase)
            else:
                axes.barh(positions, amounts, left=bottom, color=colour, label=phase)
            bottom = [a + b for a, b in zip(bottom, amounts, strict=True)]
        if is_vertical:
            axes.set_xticks(positions, names, rotation=45, ha="right")
            axes.set_ylabel("MB s")
        else:
            axes.set_yticks(positions, names)
            axes.invert_yaxis()
            axes.set_xlabel("MB s")
        axes.legend(loc="best", frameon=False)
        output = io.StringIO()
        figure.savefig(output, format="svg", metadata={"Date": None})
    text = output.getvalue()
    return text[text.index("<svg") :]


def _format_table(rows: list[UsageRow], name: str) -> str:
    headings = "".join(f"<th>{heading.replace('_mb_s', '')} MB s</th>" for heading in AMOUNT_COLUMNS)
    lines = [f"<table><tr><th class='n'>{name}</th>{headings}</tr>"]
    for row in rows[:MAX_ROWS]:
        numbers = "".join(f"<td>{cell:,.3f}</td>" for cell in amounts_in_column_order(row))
        lines.append(f"<tr><td class='n'>{escape(row.group[0])}</td>{numbers}</tr>")
    if len(rows) > MAX_ROWS:
        lines.append(f"<tr><td class='n'>{len(rows) - MAX_ROWS} more: saffronstack usage show</td></tr>")
    return "\n".join([*lines, "</table>"])
