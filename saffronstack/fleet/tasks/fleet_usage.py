"""The task that merges the usage logs of all gateways and publishes the totals of each tenant."""

from __future__ import annotations

import pathlib
from collections.abc import Sequence

import msgspec

from saffronstack.durable.errors import JournalError
from saffronstack.fleet.tasks.result_store import ResultStore
from saffronstack.fleet.tasks.task import TaskRun
from saffronstack.metering.account import Account
from saffronstack.metering.merged_accounts import merge_accounts
from saffronstack.metering.usage_log import read_usage_log


class FleetUsageReport(msgspec.Struct, frozen=True):
    """The published totals. The field names are part of the stored JSON."""

    kib_ms_by_tenant: dict[str, int]
    logs: int
    unread: list[str]
    notes: list[str]


class FleetUsageTask:
    """Merges usage logs. A log that occurs twice counts once, so repeated runs publish the same totals."""

    def __init__(self, patterns: Sequence[str], output: str) -> None:
        """Configure the task.

        Args:
            patterns: Glob patterns of usage log directories on a file system that all machines share.
            output: Directory to publish results in.
        """
        self._patterns = list(patterns)
        self._results = ResultStore(output)

    def execute(self, run: TaskRun) -> str:
        """See `Task.execute`."""
        accounts: list[Account] = []
        unread: list[str] = []
        for directory in sorted({path for pattern in self._patterns for path in _expand_glob(pattern)}):
            if not run.may_continue():
                return "stopped"
            try:
                account, _ = read_usage_log(directory)
            except JournalError as error:  # the log is being replaced; the next run can read it
                unread.append(f"{directory}: {error}")
                continue
            if account.gateway:
                accounts.append(account)
        merged = merge_accounts(accounts)
        totals = dict(sorted(merged.charges_by_tenant().items()))
        report = FleetUsageReport(totals, len(accounts), unread, merged.notes)
        self._results.publish(run.token, run.number, report)
        return f"{len(accounts)} logs, {len(totals)} tenants"


def _expand_glob(pattern: str) -> list[pathlib.Path]:
    path = pathlib.Path(pattern)
    return list(pathlib.Path(path.anchor or ".").glob(str(path.relative_to(path.anchor))))
