"""Merges the accounts of several gateways. Accounts given twice and records of several accounts count once.

Totals are read on demand from each account's memory and archive, so they are never in memory all at once.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable, Iterator

from saffronstack.metering.account import Account
from saffronstack.metering.call_charges import largest_by_call, recorded_amount
from saffronstack.metering.interval_set import IntervalSet
from saffronstack.metering.ledger_entries import ProvisionalCharge, RecordId
from saffronstack.metering.usage_totals import Amounts, TotalKey, find_imbalances


class MergedAccounts:
    """The sum of several accounts. Its creation reads their records and charges, but not their totals.

    Attributes:
        notes: Lines of information for an operator.
        in_doubt: Whether entries of a log are lost.
        confirmed: Number of confirmed records.
        unconfirmed: Number of unconfirmed records.
        provisional: Provisional charges of calls for which no account has an estimated charge.
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
        self._duplicates = Account("merged")  # negative amounts of records that several accounts count
        self._recorded: dict[tuple[str, str], int] = defaultdict(int)
        self._match_records()
        for account in (*self._accounts, self._duplicates):
            for call, amount in account.charges.recorded_amounts():
                self._recorded[call] += amount
        self.estimates = largest_by_call(
            charge for account in self._accounts for charge in account.charges.final_charges()
        )
        for account in self._accounts:
            for call, charge in account.provisional.items():
                if call not in self.estimates:
                    self.provisional[call] = charge

    def _match_records(self) -> None:
        confirmed_by_account: list[dict[tuple[str, str], IntervalSet]] = []
        for account in self._accounts:
            confirmed: dict[tuple[str, str], IntervalSet] = defaultdict(IntervalSet)
            for incarnation, (low, high) in account.records.confirmed_intervals():
                confirmed[incarnation].add(low, high)
            for incarnation, intervals in confirmed.items():
                shared = sum(
                    intervals.overlap(other[incarnation])
                    for other in confirmed_by_account
                    if incarnation in other
                )
                self.confirmed += sum(high - low + 1 for low, high in intervals.intervals) - shared
                if shared:
                    self.notes.append(
                        f"{incarnation[0]} {incarnation[1]}: {shared} records are confirmed by two gateways"
                    )
            confirmed_by_account.append(confirmed)
        counted: set[RecordId] = set()
        for account, own in zip(self._accounts, confirmed_by_account, strict=True):
            for record, received in account.records.unconfirmed_records():
                worker, incarnation_id, sequence_number = record
                confirming = [
                    r
                    for r in confirmed_by_account
                    if (worker, incarnation_id) in r and sequence_number in r[worker, incarnation_id]
                ]
                if any(confirmed is own for confirmed in confirming):
                    continue  # the record is confirmed; the archive still has its unconfirmed version
                if confirming or record in counted:
                    self._duplicates.count_record(received, -1)
                else:
                    counted.add(record)
        self.unconfirmed = len(counted)

    def read_totals(self, tenant: str | None = None) -> Iterator[tuple[TotalKey, Amounts]]:
        """Yield totals of one tenant or of all; a key may occur several times, with negative amounts too."""
        for account in (*self._accounts, self._duplicates):
            yield from account.read_totals(tenant)

    def read_occupancy(self) -> Iterator[tuple[str, Amounts]]:
        """Yield what workers' instances occupied; a worker may occur several times."""
        for account in (*self._accounts, self._duplicates):
            yield from account.read_occupancy()

    def outstanding(self, charge: ProvisionalCharge) -> int:
        """Return what a lost call is charged beyond the records that any gateway received."""
        return max(0, int(charge.amount) - recorded_amount(self._recorded, charge))

    def charges_by_tenant(self) -> dict[str, int]:
        """Return each tenant's loading, running, estimated and provisional charges, in KiB microseconds."""
        sums: dict[str, int] = defaultdict(int)
        for (tenant, *_), (load, run, _, estimated) in self.read_totals():
            sums[tenant] += load + run + estimated
        for charge in (*self.provisional.values(), *self.estimates.values()):
            sums[charge.call.tenant] += self.outstanding(charge)
        return dict(sums)

    def find_imbalances(self) -> list[str]:
        """Return one line for each worker whose allocations differ from what its instances occupied."""
        return find_imbalances(self.read_totals(), self.read_occupancy())


def merge_accounts(accounts: Iterable[Account]) -> MergedAccounts:
    """Return the sum of accounts, which are not changed."""
    return MergedAccounts(accounts)
