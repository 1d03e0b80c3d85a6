"""Checks before an attempt is sent: its record is durable, or this process still owns the ledger."""

from __future__ import annotations

from collections.abc import Callable

from saffronstack.deferred.ledger import Ledger
from saffronstack.deferred.records import AttemptStarted
from saffronstack.deferred.steady_clock import SteadyClock
from saffronstack.deferred.tracked_call import TrackedCall


class AttemptLog:
    """Records attempts of calls that are not idempotent in the ledger; used on workers' threads."""

    def __init__(self, ledger: Ledger, clock: SteadyClock, commit_timeout_s: float) -> None:
        """Wait at most ``commit_timeout_s`` for each commit."""
        self._ledger = ledger
        self._clock = clock
        self._commit_timeout_s = commit_timeout_s

    def store(self, call: TrackedCall, worker_id: int) -> bool:
        """Record an attempt; return whether the record is durable. Otherwise the attempt must not be sent."""
        if self._ledger.stalled_s > 0:
            return False
        ticket = self._ledger.append(AttemptStarted(call.accepted.request_id, worker_id, self._clock.now()))
        call.has_stored_attempt = True
        if not ticket.done.wait(self._commit_timeout_s):
            ticket.revoke()
            return False
        return ticket.is_durable


class AttemptLogGuard:
    """Allows an attempt of one call once its record is durable (`saffronstack.engine.calls.AttemptGuard`)."""

    def __init__(self, attempt_log: AttemptLog, call: TrackedCall) -> None:
        """Guard the attempts of ``call``."""
        self._attempt_log = attempt_log
        self._call = call

    def may_send(self, attempt: int, worker_id: int) -> bool:
        """Store the attempt; return whether it may be sent."""
        return self._attempt_log.store(self._call, worker_id)


class OwnershipGuard:
    """Allows attempts of idempotent calls, which need no record, while this process owns the ledger.

    A process that was paused while another one took over its ledger must send nothing when it resumes.
    """

    def __init__(self, owns_ledger: Callable[[], bool]) -> None:
        """``owns_ledger`` returns whether this process still owns its ledger; it is called on any thread."""
        self._owns_ledger = owns_ledger

    def may_send(self, attempt: int, worker_id: int) -> bool:
        """Return whether the attempt may be sent."""
        return self._owns_ledger()
