"""Several gateways' accounts as one: the same gateway's twice counts once, and so does a record that two
hold.

Sums are read from each account's memory and archive when they are asked for; nothing holds them all at
once."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable, Iterator

from saffronstack.metering.account import Account
from saffronstack.metering.call_charges import charge_key, recorded_amount
from saffronstack.metering.interval_set import IntervalSet
from saffronstack.metering.ledger_entries import ProvisionalCharge, RecordId
from saffronstack.metering.usage_totals import Amounts, TotalKey, find_imbalances


class MergedAccounts:
    """What accounts add up to. Making it reads their numbers and open records, not their sums."""

    def __init__(self, accounts: Iterable[Account]) -> None:
        """RunDamagedError where an archive can't be read, FileNotFoundError where a run was just merged."""
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
        self._less = Account("merged")  # what two hold, once, negative
        self._charged: dict[tuple[str, str], int] = defaultdict(int)
        self._match()
        for account in (*self._accounts, self._less):
            for call, amount in account.charges.recorded_amounts():
                self._charged[call] += amount
        self.estimates: dict[tuple[str, str], ProvisionalCharge] = {}  # the largest of a call's
        for account in self._accounts:
            for charge in account.charges.final_charges():
                known = self.estimates.get(charge_key(charge))
                if known is None or int(known.amount) < int(charge.amount):
                    self.estimates[charge_key(charge)] = charge
        for account in self._accounts:
            for call, charge in account.provisional.items():
                if call not in self.estimates:
                    self.provisional[call] = charge

    def _match(self) -> None:
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
                    self._less.count_record(received, -1)
                else:
                    seen.add(number)
        self.unconfirmed = len(seen)

    def sums(self, tenant: str | None = None) -> Iterator[tuple[TotalKey, Amounts]]:
        """Totals by key, of one tenant or of all; a key may come several times, and negative."""
        for account in (*self._accounts, self._less):
            yield from account.sums(tenant)

    def holdings(self) -> Iterator[tuple[str, Amounts]]:
        """What workers' copies held; a worker may come several times."""
        for account in (*self._accounts, self._less):
            yield from account.holdings()

    def outstanding(self, charge: ProvisionalCharge) -> int:
        """What a lost call is charged beyond the records that came, at any gateway."""
        return max(0, int(charge.amount) - recorded_amount(self._charged, charge))

    def by_tenant(self) -> dict[str, int]:
        """Loading and running, estimates and provisional charges included, in KiB microseconds."""
        sums: dict[str, int] = defaultdict(int)
        for (tenant, *_), (load, run, _, estimated) in self.sums():
            sums[tenant] += load + run + estimated
        for charge in (*self.provisional.values(), *self.estimates.values()):
            sums[charge.call.tenant] += self.outstanding(charge)
        return dict(sums)

    def unbalanced(self) -> list[str]:
        """Workers whose shares do not sum up to what their copies held; a line each."""
        return find_imbalances(self.sums(), self.holdings())


def merge_accounts(accounts: Iterable[Account]) -> MergedAccounts:
    """Add accounts up. They stay as they are."""
    return MergedAccounts(accounts)
