"""Limits on the memory that an account uses."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class AccountLimits:
    """Maximum numbers of items in memory, about 100 MB together; the excess moves to the archive.

    Attributes:
        totals: Totals by key and hour.
        window_buckets: Buckets of budget windows.
        unconfirmed: Unconfirmed records.
        incarnations: Incarnations with confirmed sequence numbers.
        provisional: Provisional charges; the oldest beyond this number become estimated charges.
        estimates: Estimated charges; also recorded amounts of calls of dead workers.
    """

    totals: int = 50_000
    window_buckets: int = 200_000
    unconfirmed: int = 20_000
    incarnations: int = 10_000
    provisional: int = 50_000
    estimates: int = 20_000
