"""How much of an account stays in memory."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class AccountLimits:
    """Numbers of items, about 100 MB together; what exceeds them moves to the archive.

    Attributes:
        totals: Totals by key.
        window_buckets: Parts of budget windows.
        unconfirmed: Unconfirmed records.
        incarnations: Incarnations with confirmed sequence numbers.
        provisional: Provisional charges; the oldest beyond them become estimated charges.
        estimates: Estimated charges, and calls of dead workers.
    """

    totals: int = 50_000
    window_buckets: int = 200_000
    unconfirmed: int = 20_000
    incarnations: int = 10_000
    provisional: int = 50_000
    estimates: int = 20_000
