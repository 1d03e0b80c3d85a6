"""The interface of a lease store, which tasks and rollout leaders use.

`client.LeaseClient` implements it with this project's lease servers. A client of another store with sessions,
fencing tokens and compare-and-set, such as etcd, can implement it too.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol


class HeldLease(Protocol):
    """An acquired lease. Its methods may be called on any thread."""

    @property
    def lease(self) -> str:
        """Return the name of the lease."""
        ...

    @property
    def token(self) -> int:
        """Return the fencing token. It is greater than that of any earlier holder.

        Writes under the lease carry it, so that the written resource can reject an earlier holder.
        """
        ...

    @property
    def value(self) -> bytes:
        """Return the value that was last stored under the lease."""
        ...

    def remaining_s(self) -> float:
        """Return the seconds until the lease expires unless it is renewed; 0 once it is lost.

        The process may be paused after this check, so a resource that it writes to must compare the token.
        """
        ...

    def put(self, content: bytes, timeout_s: float) -> bool:
        """Store the value; wait at most ``timeout_s`` and return whether it is certainly stored.

        False means that the outcome is unknown: the value may or may not be stored.
        """
        ...

    def release(self) -> None:
        """Release the lease, so that the next holder does not have to wait until it expires."""
        ...


class LeaseStore(Protocol):
    """Grants each lease to at most one holder at a time."""

    def acquire(
        self, lease: str, timeout_s: float, on_lost: Callable[[str], None] | None = None
    ) -> HeldLease | None:
        """Acquire a lease; return None if it is not granted within ``timeout_s`` seconds.

        If the lease ends other than by `HeldLease.release`, ``on_lost`` is called once with the reason. It
        runs on a thread of the store and must not block.
        """
        ...

    def cancel_acquires(self) -> None:
        """Make all waiting and future calls of `acquire` return None. Held leases are unaffected."""
        ...

    def close(self) -> None:
        """Release all leases."""
        ...
