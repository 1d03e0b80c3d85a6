"""Sums up usage by chosen columns and formats it as a table, JSON lines or CSV. No I/O."""

from __future__ import annotations

import csv
import io
from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass
from datetime import UTC, datetime

import msgspec

from saffronstack.metering.ledger_entries import ProvisionalCharge
from saffronstack.metering.merged_accounts import MergedAccounts
from saffronstack.metering.usage_totals import TotalKey

MB_S = 1024 * 1_000_000  # KiB microseconds in a megabyte second
ESTIMATED_COLUMN = 3  # index in the amounts of a row
PROVISIONAL_COLUMN = 4
COLUMNS = ("tenant", "function", "class", "worker", "day", "hour")


@dataclass(frozen=True, slots=True)
class UsageRow:
    """One total in MB s.

    ``provisional`` is charged until the worker reports the end of the call or its incarnation ends.
    """

    group: tuple[str, ...]
    loading: float
    running: float
    idle: float
    estimated: float
    provisional: float

    @property
    def charged(self) -> float:
        """Loading and running, with estimated and provisional charges."""
        return self.loading + self.running + self.estimated + self.provisional


def summarize_usage(
    merged: MergedAccounts, group_by: tuple[str, ...], tenant: str | None = None
) -> list[UsageRow]:
    """Return totals grouped by some of the columns, largest charge first.

    Args:
        merged: The accounts.
        group_by: Names of the columns.
        tenant: The tenant whose usage is summed, or None for all tenants.

    Raises:
        ValueError: If there is no such column.
    """
    unknown = [name for name in group_by if name not in COLUMNS]
    if unknown:
        raise ValueError(f"no column {unknown[0]!r}; there are {', '.join(COLUMNS)}")
    sums: dict[tuple[str, ...], list[int]] = defaultdict(lambda: [0, 0, 0, 0, 0])
    for key, amounts in merged.read_totals(tenant):
        row = sums[_select_columns(group_by, key)]
        for column, amount in enumerate(amounts):
            row[column] += amount
    for column, charges in ((ESTIMATED_COLUMN, merged.estimates), (PROVISIONAL_COLUMN, merged.provisional)):
        for charge in charges.values():
            if tenant is None or charge.call.tenant == tenant:
                sums[_select_columns(group_by, _key_of(charge))][column] += merged.outstanding(charge)
    rows = [
        UsageRow(values, *(amount / MB_S for amount in amounts))
        for values, amounts in sums.items()
        if any(amounts)
    ]
    return sorted(rows, key=lambda row: (-row.charged, row.group))


def _key_of(charge: ProvisionalCharge) -> TotalKey:
    call = charge.call
    return TotalKey(call.tenant, charge.function, call.request_class, charge.worker, int(charge.lost_unix_s))


def _select_columns(group_by: tuple[str, ...], key: TotalKey) -> tuple[str, ...]:
    when = datetime.fromtimestamp(key.hour_start_s, UTC)
    values = {
        "tenant": key.tenant or "(nobody)",
        "function": key.function,
        "class": key.request_class or "(none)",
        "worker": key.worker,
        "day": f"{when:%Y-%m-%d}",
        "hour": f"{when:%Y-%m-%dT%H}",
    }
    return tuple(values[name] for name in group_by)


def amounts_in_column_order(row: UsageRow) -> list[float]:
    """Return the amounts of a row in the order of ``AMOUNT_COLUMNS``, in MB s."""
    return [row.loading, row.running, row.estimated, row.provisional, row.charged, row.idle]


AMOUNT_COLUMNS = (
    "loading_mb_s",
    "running_mb_s",
    "estimated_mb_s",
    "provisional_mb_s",
    "charged_mb_s",
    "idle_mb_s",
)


def format_table(rows: Iterable[UsageRow], group_by: tuple[str, ...]) -> str:
    """Return rows as aligned columns, with the charge in GB h as a further column."""
    rows = list(rows)
    widths = [
        max([len(name), *(len(row.group[index]) for row in rows)]) for index, name in enumerate(group_by)
    ]
    lines = [
        "  ".join(
            [
                *(name.ljust(width) for name, width in zip(group_by, widths, strict=True)),
                *(heading.rjust(16) for heading in AMOUNT_COLUMNS),
                "charged_gb_h".rjust(13),
            ]
        )
    ]
    for row in rows:
        names = (text.ljust(width) for text, width in zip(row.group, widths, strict=True))
        lines.append(
            "  ".join(
                [
                    *names,
                    *(f"{cell:16.3f}" for cell in amounts_in_column_order(row)),
                    f"{row.charged / 1024 / 3600:13.6f}",
                ]
            )
        )
    return "\n".join(lines)


def format_json_lines(rows: Iterable[UsageRow], group_by: tuple[str, ...]) -> str:
    """Return rows as one JSON object per line."""
    return "\n".join(
        msgspec.json.encode(
            {
                **dict(zip(group_by, row.group, strict=True)),
                **dict(zip(AMOUNT_COLUMNS, amounts_in_column_order(row), strict=True)),
            }
        ).decode()
        for row in rows
    )


def format_csv(rows: Iterable[UsageRow], group_by: tuple[str, ...]) -> str:
    """Return rows as comma-separated values (RFC 4180)."""
    output = io.StringIO()
    writer = csv.writer(output)
    writer.writerow([*group_by, *AMOUNT_COLUMNS])
    for row in rows:
        writer.writerow([*row.group, *(f"{cell:.6f}" for cell in amounts_in_column_order(row))])
    return output.getvalue().rstrip("\r\n")


FORMATTERS = {"table": format_table, "jsonl": format_json_lines, "csv": format_csv}
