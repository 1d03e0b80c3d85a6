"""Accounts of several gateways as one: one that is given twice counts once, and so does a record of two.

Totals are read from each account's memory and archive on demand; they are never in memory all at once.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable, Iterator

from saffronstack.metering.account import Account
from saffronstack.metering.call_charges import charge_key, recorded_amount
from saffronstack.metering.interval_set import IntervalSet
from saffronstack.metering.ledger_entries import ProvisionalCharge, RecordId
from saffronstack.metering.usage_totals import Amounts, TotalKey, find_imbalances


class MergedAccounts:
    """What accounts add up to. Creating it reads their records' numbers, not their totals.

    Attributes:
        notes: What an operator should know, a line each.
        in_doubt: Whether entries of a log are lost.
        confirmed: How many records are confirmed.
        unconfirmed: How many are not.
        provisional: Provisional charges of calls that no account estimates.
        estimates: The largest estimated charge of each call.
    """

    def __init__(self, accounts: Iterable[Account]) -> None:
        """Read the accounts' records.

        Raises:
            RunDamagedError: If an archive cannot be read.
            FileNotFoundError: If a run was merged meanwhile.
        """
        self.notes: list[str] = []
        self._accounts: list[Account] = []
        for account in accounts:
            if account.gateway in (known.gateway for known in self._accounts):
                self.notes.append(f"gateway {account.gateway} was given twice; counted once")
            else:
                self._accounts.append(account)
        self.in_doubt = any(account.in_doubt for account in self._accounts)
        self.confirmed = 0
        self.unconfirmed = 0
        self.provisional: dict[tuple[str, str], ProvisionalCharge] = {}
        self._duplicates = Account("merged")  # what two accounts count, once and negative
        self._recorded: dict[tuple[str, str], int] = defaultdict(int)
        self._match_records()
        for account in (*self._accounts, self._duplicates):
            for call, amount in account.charges.recorded_amounts():
                self._recorded[call] += amount
        self.estimates: dict[tuple[str, str], ProvisionalCharge] = {}
        for account in self._accounts:
            for charge in account.charges.final_charges():
                known = self.estimates.get(charge_key(charge))
                if known is None or int(known.amount) < int(charge.amount):
                    self.estimates[charge_key(charge)] = charge
        for account in self._accounts:
            for call, charge in account.provisional.items():
                if call not in self.estimates:
                    self.provisional[call] = charge

    def _match_records(self) -> None:
        own: list[dict[tuple[str, str], IntervalSet]] = []
        for account in self._accounts:
            ranges: dict[tuple[str, str], IntervalSet] = defaultdict(IntervalSet)
            for incarnation, (low, high) in account.records.confirmed_intervals():
                ranges[incarnation].add(low, high)
            for incarnation, found in ranges.items():
                both = sum(found.overlap(other[incarnation]) for other in own if incarnation in other)
                self.confirmed += sum(high - low + 1 for low, high in found.intervals) - both
                if both:
                    self.notes.append(
                        f"{incarnation[0]} {incarnation[1]}: {both} records are confirmed by two gateways"
                    )
            own.append(ranges)
        seen: set[RecordId] = set()
        for account, mine in zip(self._accounts, own, strict=True):
            for number, received in account.records.unconfirmed_records():
                worker, incarnation_, seq = number
                holders = [r for r in own if (worker, incarnation_) in r and seq in r[worker, incarnation_]]
                if any(holder is mine for holder in holders):
                    continue  # confirmed by now; the archive only holds its text still
                if holders or number in seen:
                    self._duplicates.count_record(received, -1)
                else:
                    seen.add(number)
        self.unconfirmed = len(seen)

    def sums(self, tenant: str | None = None) -> Iterator[tuple[TotalKey, Amounts]]:
        """Yield totals by key, of one tenant or of all; a key may come several times, and negative."""
        for account in (*self._accounts, self._duplicates):
            yield from account.sums(tenant)

    def holdings(self) -> Iterator[tuple[str, Amounts]]:
        """Yield what workers' instances occupied; a worker may come several times."""
        for account in (*self._accounts, self._duplicates):
            yield from account.holdings()

    def outstanding(self, charge: ProvisionalCharge) -> int:
        """Return what a lost call is charged beyond the records that arrived at any gateway."""
        return max(0, int(charge.amount) - recorded_amount(self._recorded, charge))

    def by_tenant(self) -> dict[str, int]:
        """Return loading and running with estimated and provisional charges, in KiB microseconds."""
        sums: dict[str, int] = defaultdict(int)
        for (tenant, *_), (load, run, _, estimated) in self.sums():
            sums[tenant] += load + run + estimated
        for charge in (*self.provisional.values(), *self.estimates.values()):
            sums[charge.call.tenant] += self.outstanding(charge)
        return dict(sums)

    def unbalanced(self) -> list[str]:
        """Return workers whose allocations do not sum up to what their instances occupied, a line each."""
        return find_imbalances(self.sums(), self.holdings())


def merge_accounts(accounts: Iterable[Account]) -> MergedAccounts:
    """Return what accounts add up to; they are not changed."""
    return MergedAccounts(accounts)
