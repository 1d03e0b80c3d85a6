"""The interface of a lease store, as tasks and leaders use it.

Behind it stand this project's own lease servers (`client.LeaseClient`) or any other store with sessions,
fencing tokens and compare-and-set, such as an etcd client.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol


class HeldLease(Protocol):
    """A lease that was acquired. Its methods may be called on any thread."""

    @property
    def lease(self) -> str:
        """The lease's name."""
        ...

    @property
    def token(self) -> int:
        """The fencing token: greater than any earlier holder's. Work under the lease carries it."""
        ...

    @property
    def value(self) -> bytes:
        """The small value that the last holder stored."""
        ...

    def remaining_s(self) -> float:
        """Return for how many seconds it is held unless renewed; 0 once it is lost.

        No check holds over a pause of the process after it: what is written to must compare the token.
        """
        ...

    def put(self, content: bytes, timeout_s: float) -> bool:
        """Store the value; return whether it is certainly stored after at most ``timeout_s`` seconds.

        False leaves open whether it is stored.
        """
        ...

    def release(self) -> None:
        """Give the lease up, so that the next holder need not wait until it expires."""
        ...


class LeaseStore(Protocol):
    """Grants each lease to one holder at a time."""

    def acquire(
        self, lease: str, timeout_s: float, on_lost: Callable[[str], None] | None = None
    ) -> HeldLease | None:
        """Acquire a lease within ``timeout_s`` seconds; None where that fails.

        ``on_lost`` is called once with the reason when the lease ends other than by a release, on a thread of
        the store, and must not block.
        """
        ...

    def cancel_acquires(self) -> None:
        """Have calls of ``acquire``, those that wait and all that come, return None; held leases stay."""
        ...

    def close(self) -> None:
        """Release all leases."""
        ...
