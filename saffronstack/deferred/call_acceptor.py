"""Accepts deferred calls: a call is durable before its client is notified of the acceptance."""

from __future__ import annotations

from dataclasses import dataclass

from saffronstack.config.schema import Ledger as LedgerSettings
from saffronstack.deferred.errors import CommitError, LedgerFullError
from saffronstack.deferred.ledger import Ledger
from saffronstack.deferred.records import CallAccepted, CallWithdrawn
from saffronstack.deferred.steady_clock import SteadyClock

LEDGER_FULL_RETRY_AFTER_S = 2.0


@dataclass(frozen=True, slots=True)
class Submission:
    """A call that a client asks the gateway to accept; see `records.CallAccepted`."""

    request_id: str
    function: str
    tenant: str
    payload: bytes
    client_context: str = ""
    idempotency_key: str = ""
    operation_digest: bytes = b""
    packed_operation: bytes = b""
    operation_expires_at: float = 0.0


class CallAcceptor:
    """Writes accepted calls to the ledger; used on the threads that serve clients."""

    def __init__(self, ledger: Ledger, limits: LedgerSettings, clock: SteadyClock) -> None:
        """Accept calls within ``limits``."""
        self._ledger = ledger
        self._limits = limits
        self._clock = clock

    def accept(self, submission: Submission) -> CallAccepted:
        """Write a call to the ledger, and return its record once it is durable.

        Raises:
            LedgerFullError: Too many calls are open.
            CommitError: The record was not written, or not in time.
        """
        self._check_capacity()
        accepted = CallAccepted(
            submission.request_id,
            submission.function,
            submission.tenant,
            submission.payload,
            submission.client_context,
            submission.idempotency_key,
            self._clock.now(),
            submission.operation_digest,
            submission.packed_operation,
            submission.operation_expires_at,
        )
        ticket = self._ledger.append(accepted)
        timeout_s = self._limits.commit_timeout_s
        if not ticket.done.wait(timeout_s) and not ticket.revoke():
            self._ledger.append(CallWithdrawn(accepted.request_id))
            raise CommitError(
                f"not written within {timeout_s:g} s", self._ledger.retry_after_s, may_be_stored=True
            )
        if not ticket.is_durable:
            raise CommitError(str(ticket.error.strerror) if ticket.error else "not written in time")
        return accepted

    def _check_capacity(self) -> None:
        table = self._ledger.state
        open_calls = len(table.open) + self._ledger.queued_appends
        if open_calls >= self._limits.open_calls or table.open_bytes >= self._limits.open_bytes:
            raise LedgerFullError(f"{len(table.open)} deferred calls are open.", LEDGER_FULL_RETRY_AFTER_S)
        stalled_s = self._ledger.stalled_s
        if stalled_s > 0:  # an append would wait for the stall to end, and its outcome be unknown
            raise CommitError(f"the disk has not answered for {stalled_s:.1f} s", self._ledger.retry_after_s)
