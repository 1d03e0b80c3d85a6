"""The account: the usage and charges that the entries of a usage log add up to.

Each usage record counts once, however often it arrives. Only the archive (``archive.py``) performs I/O: it
stores what exceeds the memory limits and is queried for it.
"""

from __future__ import annotations

import threading
from collections import defaultdict
from collections.abc import Iterator, Mapping

from saffronstack.metering import account_snapshot, archive_transfer
from saffronstack.metering.account_limits import AccountLimits
from saffronstack.metering.archive import Archive
from saffronstack.metering.archive_keys import decode_key
from saffronstack.metering.call_charges import CallCharges
from saffronstack.metering.cost_allocation import allocate
from saffronstack.metering.ledger_entries import (
    AnyLedgerEntry,
    ArchiveRuns,
    IncarnationEnded,
    LedgerStarted,
    MovedToArchive,
    ProvisionalCharge,
    ProvisionalChargeVoided,
    RecordConfirmed,
    RecordId,
    RecordReceived,
    RecordRelinquished,
    RunsMerged,
    incarnation_key,
)
from saffronstack.metering.record_registry import RecordRegistry
from saffronstack.metering.sliding_windows import SlidingWindows
from saffronstack.metering.usage_totals import HOUR_S, Amounts, TotalKey, UsageTotals, find_imbalances


class Account:
    """Sums up usage and charges. The journal's writer thread owns it; other threads read copies.

    Attributes:
        gateway: Name of the gateway that owns the log.
        in_doubt: Whether entries of the log are lost, so that totals may be incomplete.
        windows: Recent usage of tenants with a budget; None if no tenant has one.
        usage_totals: Usage by key and hour.
        records: The counted usage records.
        charges: Charges of single calls.
    """

    def __init__(
        self,
        gateway: str = "",
        archive: Archive | None = None,
        budget_windows: Mapping[str, float] | None = None,
        limits: AccountLimits | None = None,
    ) -> None:
        """Create an empty account.

        Args:
            gateway: Name of the gateway that owns the log.
            archive: Stores what exceeds the memory limits.
            budget_windows: Window of each tenant that has a budget, in seconds.
            limits: How many items of each kind stay in memory.
        """
        self._archive = archive
        self.windows: SlidingWindows | None = None
        if budget_windows:
            read_window_buckets = archive.read_window_buckets if archive is not None else None
            self.windows = SlidingWindows(budget_windows, read_window_buckets)
        self._limits = limits or AccountLimits()
        # Held while totals move from memory to a run and while a reader copies both.
        self._transfer_lock = threading.Lock()
        self.in_doubt = False
        self._clear(gateway)

    def _clear(self, gateway: str) -> None:
        self.gateway = gateway
        self.usage_totals = UsageTotals(self._archive, self._transfer_lock)
        self.records = RecordRegistry(self._archive, self.mark_records_lost)
        self.charges = CallCharges(self._archive, self._transfer_lock)
        if self.windows is not None:
            self.windows.clear()
        if self._archive is not None:
            self._archive.reset()

    # ---- the journal's state

    def apply(self, entry: AnyLedgerEntry) -> None:
        """Apply one entry of the log."""
        match entry:
            case RecordReceived():
                if self.records.add(entry):
                    self.count_record(entry, 1)
            case RecordConfirmed():
                self.records.confirm(entry)
            case RecordRelinquished():
                record = RecordId(entry.worker, entry.incarnation, entry.sequence_number)
                relinquished = self.records.remove_unconfirmed(record)
                if relinquished is not None:
                    self.count_record(relinquished, -1)
            case ProvisionalCharge():
                self.charges.add_provisional(entry)
            case ProvisionalChargeVoided():
                self.charges.void_provisional(entry.incarnation_key, entry.request_id)
            case IncarnationEnded():
                self._finalize_charges(entry)
            case MovedToArchive():
                self._forget_archived(entry)
            case RunsMerged():
                self._replace_merged_runs(entry)
            case _:
                self._restore(entry)

    def snapshot(self) -> Iterator[AnyLedgerEntry]:
        """Return entries that add up to this state."""
        # A snapshot contains unconfirmed records as entries, so the totals exclude their usage.
        unconfirmed = Account()
        for received in self.records.unconfirmed.values():
            unconfirmed.count_record(received, 1)
        return account_snapshot.snapshot_entries(self._state(), unconfirmed.usage_totals, unconfirmed.charges)

    def estimate_snapshot_bytes(self) -> int:
        """Return the approximate size of a snapshot."""
        return account_snapshot.estimate_snapshot_bytes(self._state())

    def discard_replaced_files(self) -> None:
        """Delete the runs that merged runs replaced; no entry of the log names them any more."""
        if self._archive is not None:
            self._archive.remove_replaced_runs()

    def mark_records_lost(self) -> None:
        """Record that entries of the log are lost, so that totals may be incomplete."""
        self.in_doubt = True

    def spill(self) -> list[AnyLedgerEntry]:
        """Write what exceeds the memory limits to a run; return the entries that complete the move."""
        excess_charges = self.charges.oldest_provisional_beyond(self._limits.provisional)
        if excess_charges:  # no run yet: it would lack the estimated charges that these entries create
            return [*excess_charges]
        memory = archive_transfer.AccountMemory(self.usage_totals, self.records, self.charges, self.windows)
        if self._archive is None or not archive_transfer.exceeds_limits(memory, self._limits):
            return []
        return [archive_transfer.write_run(memory, self._limits, self._archive)]

    def count_record(self, entry: RecordReceived, sign: int) -> None:
        """Add a record to totals, charges and windows; with a negative sign subtract it."""
        usage = entry.usage
        hour_start_s = int(entry.ended_unix_s // HOUR_S) * HOUR_S
        incarnation = incarnation_key(usage.worker, usage.incarnation)
        for allocation in allocate(usage):
            call, amount = allocation.call, sign * allocation.amount
            self.usage_totals.add_allocation(usage, hour_start_s, allocation, sign)
            if call.request_id:
                self.charges.add_recorded((incarnation, call.request_id), amount)
                if self.windows is not None:
                    self.windows.add(call.tenant, entry.ended_steady_s or entry.ended_unix_s, amount)
        self.usage_totals.add_occupancy(usage, sign)

    # ---- merging of archive runs, called on the compactor's thread

    @property
    def run_count(self) -> int:
        """Number of archive runs that belong to the account."""
        return len(self._archive.runs) if self._archive is not None else 0

    def find_mergeable_runs(self) -> tuple[int, ...]:
        """Return the runs to merge into one; empty if no merge is due."""
        return self._archive.find_mergeable_runs() if self._archive is not None else ()

    def merge_runs(self, runs: tuple[int, ...]) -> int:
        """Merge runs into a new run and return its number.

        The new run belongs to the account once a ``RunsMerged`` entry is applied.

        Raises:
            OSError: If the new run cannot be written.
            RunDamagedError: If a run cannot be read.
        """
        assert self._archive is not None
        return self._archive.merge_runs(runs, self._is_needed)

    def find_archive_damage(self) -> list[str]:
        """Read the whole archive; return one line for each run that cannot be read."""
        return self._archive.find_damage() if self._archive is not None else []

    def _is_needed(self, key: bytes, value: bytes) -> bool:
        """Return whether a merge must keep an item of the oldest run."""
        kind, *parts = decode_key(key)
        if kind == "u":
            return bool(value)
        if kind == "w":
            tenant, start_s = parts
            return self.windows is not None and self.windows.is_in_window(str(tenant), float(start_s))
        return True

    # ---- queries

    @property
    def totals(self) -> dict[TotalKey, Amounts]:
        """Usage by key and hour, as far as it is in memory."""
        return self.usage_totals.by_key

    @property
    def unconfirmed(self) -> dict[RecordId, RecordReceived]:
        """Unconfirmed records that are in memory."""
        return self.records.unconfirmed

    def has_record(self, worker: str, incarnation: str, sequence_number: int) -> bool:
        """Return whether a record counts or is confirmed.

        Raises:
            RunDamagedError: If the archive cannot be read.
        """
        return self.records.has_record(worker, incarnation, sequence_number)

    def read_totals(self, tenant: str | None = None) -> Iterator[tuple[TotalKey, Amounts]]:
        """Yield totals of one tenant or of all from memory and archive; a key may occur twice."""
        return self.usage_totals.read_totals(tenant)

    def read_occupancy(self) -> Iterator[tuple[str, Amounts]]:
        """Yield what workers' instances occupied, from memory and archive; a worker may occur twice."""
        return self.usage_totals.read_occupancy()

    @property
    def provisional(self) -> dict[tuple[str, str], ProvisionalCharge]:
        """Provisional charges by incarnation key and request id."""
        return self.charges.provisional

    def charges_by_tenant(self) -> dict[str, int]:
        """Return each tenant's loading, running, estimated and provisional charges, in KiB microseconds."""
        charged: dict[str, int] = defaultdict(int)
        for key, (loading, running, _, estimated) in self.usage_totals.read_totals():
            charged[key.tenant] += loading + running + estimated
        lost_calls = self.charges.lost_call_charges()
        for charge, amount in (*lost_calls.provisional, *lost_calls.estimated):
            charged[charge.call.tenant] += amount
        return dict(charged)

    def find_imbalances(self) -> list[str]:
        """Return one line for each worker whose allocations differ from what its instances occupied."""
        return find_imbalances(self.usage_totals.read_totals(), self.usage_totals.read_occupancy())

    # ---- entries

    def _finalize_charges(self, entry: IncarnationEnded) -> None:
        for charge, amount in self.charges.finalize(entry):
            if self.windows is not None:
                self.windows.add(charge.call.tenant, charge.lost_steady_s or charge.lost_unix_s, amount)

    def _forget_archived(self, entry: MovedToArchive) -> None:
        with self._transfer_lock:
            self.usage_totals.clear()
            self.charges.forget_archived()
            self.records.forget_archived(entry)
            if self._archive is not None:
                self._archive.set_runs((*self._archive.runs, entry.run))
            if self.windows is not None:
                self.windows.move_buckets_to_archive()

    def _replace_merged_runs(self, entry: RunsMerged) -> None:
        if self._archive is None:
            return
        with self._transfer_lock:
            runs = list(self._archive.runs)
            position = runs.index(entry.runs[0])
            runs[position : position + len(entry.runs)] = [entry.merged_run]
            self._archive.set_runs(tuple(runs))

    def _restore(self, entry: AnyLedgerEntry) -> None:
        """Apply an entry of a snapshot."""
        match entry:
            case LedgerStarted():
                self._clear(entry.gateway)
            case ArchiveRuns():
                if self._archive is not None:
                    self._archive.set_runs(entry.runs)
                if self.windows is not None:
                    self.windows.mark_archive_used()
            case _:
                account_snapshot.restore_entry(self._state(), entry)

    def _state(self) -> account_snapshot.AccountState:
        runs = self._archive.runs if self._archive is not None else ()
        return account_snapshot.AccountState(
            self.gateway, runs, self.usage_totals, self.records, self.charges, self.windows
        )
