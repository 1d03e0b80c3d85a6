"""Reconciles one gateway's processes with its desired release. No I/O.

The daemon owns the listening socket, so the address has a listener throughout a change of release, and new
connections wait in the accept queue. The reconciler changes the release in these steps:

- It *prepares* the successor while the current incarnation serves: the successor loads its program and reads
  its configuration, but opens nothing. If the release fails at this step, no request is lost.
- It prepares a *fallback* with the current release. If the successor fails when it starts to serve, the
  fallback replaces it, and clients need not wait until a program is loaded.
- It terminates the current incarnation and tells the successor to serve once that has ended, because two
  incarnations must never own the same ledger. The successor itself watches for the end of its predecessor,
  so that clients need not wait if the daemon is stopped. From this step on the successor may serve at any
  time, so the reconciler no longer discards it.

All times are seconds of one clock.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from saffronstack.daemon.restart_backoff import RestartBackoff
from saffronstack.fleet.control.gateway_actions import (
    AllowServing,
    Discard,
    Kill,
    ProcessAction,
    ServeAfter,
    StartProcess,
    Terminate,
)
from saffronstack.fleet.control.incarnation import Incarnation, IncarnationPhase
from saffronstack.fleet.control.observed_gateway import GatewayPhase, ObservedGateway

START_TIMEOUT_S = 30.0  # maximum for preparing, and again for starting to serve; a late incarnation is killed
MAX_FAILED_STARTS = 2  # consecutive failures after which a release is given up for the previous one
MAX_CRASHES = 5  # consecutive crashes soon after a start, after which the release is given up
KILL_GRACE_S = 1.0  # time for the end of a killed process to be reported before it is killed again


@dataclass(slots=True)
class GatewayReconciler:
    """Desired and current state of one gateway.

    Methods that return a list of ``ProcessAction`` return the actions to execute on the gateway's processes.

    Attributes:
        drain_timeout_s: Time after which a terminated incarnation that still runs is killed.
        start_timeout_s: Maximum time in which an incarnation prepares, and again in which it starts to serve.
        desired_release: The digest that the last command set; empty for none.
        previous_release: The release that ran before the desired one.
        failed_release: The desired release if it was given up, else empty.
        last_error: Description of the last failure; empty for none.
        restarts: Number of unplanned ends of incarnations that served or drained.
        current: The incarnation that serves or drains.
        successor: The incarnation that is to replace ``current``.
        fallback: A standby process with the release of ``current``, which replaces a successor that fails.
    """

    drain_timeout_s: float
    start_timeout_s: float = START_TIMEOUT_S
    desired_release: str = ""
    previous_release: str = ""
    failed_release: str = ""
    last_error: str = ""
    restarts: int = 0
    current: Incarnation | None = None
    successor: Incarnation | None = None
    fallback: Incarnation | None = None
    _has_tried_fallback: bool = False  # whether a fallback was prepared for the current successor
    _retry_at_s: float = 0.0
    _failed_starts: int = 0  # consecutive failed starts of the target release
    _restart_backoff: RestartBackoff = field(default_factory=RestartBackoff)
    _last_incarnation: int = 0

    def set_desired(self, now_s: float, release: str) -> list[ProcessAction]:
        """Set the desired release; setting the same one again only retries a release that was given up."""
        if release == self.desired_release and self.failed_release != release:
            return []
        if self.current is not None and self.current.release != release:
            self.previous_release = self.current.release
        self.desired_release, self.failed_release, self.last_error = release, "", ""
        self._reset_retries(now_s)
        return self.reconcile(now_s)

    def adopt(self, now_s: float, release: str) -> int:
        """Adopt a serving incarnation that an earlier daemon started; return its number.

        Its release is the desired one until a command sets another. A daemon that lost its desired state
        therefore terminates nothing.
        """
        self._last_incarnation += 1
        self.desired_release = release
        self.current = Incarnation(self._last_incarnation, release, now_s, IncarnationPhase.SERVING)
        return self._last_incarnation

    def observe(self) -> ObservedGateway:
        """Return the observed state."""
        current = self.current
        is_serving = current is not None and current.is_serving
        return ObservedGateway(
            desired_release=self.desired_release,
            running_release=current.release if current is not None and is_serving else "",
            phase=self._phase(is_serving),
            incarnation=current.number if current is not None else 0,
            restarts=self.restarts,
            failed_release=self.failed_release,
            last_error=self.last_error,
        )

    def on_prepared(self, now_s: float, number: int) -> list[ProcessAction]:
        """Record that an incarnation has loaded its program and configuration."""
        for incarnation in (self.successor, self.fallback):
            is_reported = incarnation is not None and incarnation.number == number
            if incarnation is not None and is_reported and incarnation.phase is IncarnationPhase.PREPARING:
                incarnation.enter(IncarnationPhase.PREPARED)
                return self.reconcile(now_s)
        return []

    def on_serving(self, now_s: float, number: int) -> list[ProcessAction]:
        """Record that an incarnation has started to serve."""
        successor = self.successor
        if successor is None or successor.number != number or successor.is_standby:
            return []
        successor.enter(IncarnationPhase.SERVING)
        successor.started_s = now_s
        self.current, self.successor = successor, None
        if successor.release == self._target_release():
            self._failed_starts = 0
        return self._discard_fallback() + self.reconcile(now_s)

    def on_ended(
        self, now_s: float, number: int, reason: str, has_crashed: bool = False
    ) -> list[ProcessAction]:
        """Record that an incarnation has ended, planned or not.

        Args:
            now_s: The current time.
            number: The number of the incarnation.
            reason: How the incarnation ended.
            has_crashed: Whether its process ended without a graceful shutdown.
        """
        if self.fallback is not None and self.fallback.number == number:
            self.fallback = None
            return self.reconcile(now_s)
        if self.successor is not None and self.successor.number == number:
            return self._record_failed_start(now_s, self.successor, reason)
        ended = self.current
        if ended is None or ended.number != number:
            return []
        self.current = None
        if ended.is_serving:
            self._record_crash(now_s, ended, reason)
        elif has_crashed and not ended.is_killed:
            self._record_crash_in_drain(ended, reason)
        return self.reconcile(now_s)

    def is_standby(self, number: int) -> bool:
        """Return whether an incarnation is a standby: it has opened nothing and may not serve yet."""
        return any(
            incarnation.number == number and incarnation.is_standby for incarnation in self._incarnations()
        )

    def reconcile(self, now_s: float) -> list[ProcessAction]:
        """Return the actions towards the desired state, and those that kill overdue incarnations."""
        actions = self._kill_overdue(now_s)
        actions += self._advance_successor(now_s)
        actions += self._start_successor(now_s)
        if not self._target_release() and _is_serving(self.current):
            actions += self._terminate_current(now_s)
        return actions

    def next_deadline_s(self) -> float:
        """Return the time at which ``reconcile`` is due again; infinity for never."""
        deadlines = [incarnation.deadline_s for incarnation in self._incarnations()]
        if self.successor is None and self._target_release() and self._retry_at_s > 0:
            deadlines.append(self._retry_at_s)
        return min(deadlines, default=math.inf)

    def _incarnations(self) -> list[Incarnation]:
        return [
            incarnation
            for incarnation in (self.successor, self.fallback, self.current)
            if incarnation is not None
        ]

    def _phase(self, is_serving: bool) -> GatewayPhase:
        if self.successor is not None:
            return GatewayPhase.STARTING if self.current is None else GatewayPhase.CHANGING
        if self.current is not None:
            return GatewayPhase.SERVING if is_serving else GatewayPhase.DRAINING
        return GatewayPhase.DOWN if self._target_release() else GatewayPhase.STOPPED

    def _target_release(self) -> str:
        """Return the release to run: the desired one, or the previous one if the desired one was given up."""
        is_given_up = self.failed_release != "" and self.failed_release == self.desired_release
        return self.previous_release if is_given_up else self.desired_release

    def _kill_overdue(self, now_s: float) -> list[ProcessAction]:
        actions: list[ProcessAction] = []
        for incarnation in self._incarnations():
            if now_s >= incarnation.deadline_s:
                error = f"{incarnation.release} {incarnation.phase.value} for too long and was killed"
                self.last_error = self.last_error or error
                incarnation.deadline_s = now_s + KILL_GRACE_S
                incarnation.is_killed = True
                actions.append(Kill(incarnation.number))
        return actions

    def _advance_successor(self, now_s: float) -> list[ProcessAction]:
        """Kill a successor that is no longer desired, or advance a prepared one towards serving."""
        successor = self.successor
        if successor is None:
            return []
        if successor.release != self._target_release() and successor.is_standby:
            self.successor = None
            return [Kill(successor.number), *self._discard_fallback()]
        if successor.phase not in (IncarnationPhase.PREPARED, IncarnationPhase.FOLLOWING):
            return []
        if self.current is None:
            successor.enter(IncarnationPhase.ACTIVATING, now_s + self.start_timeout_s)
            return [AllowServing(successor.number)]
        if not self.current.is_serving:
            return []
        if not self._has_tried_fallback:
            return self._prepare_fallback(now_s, self.current.release)
        if self.fallback is not None and self.fallback.phase is IncarnationPhase.PREPARING:
            return []
        self.previous_release = self.current.release
        successor.enter(IncarnationPhase.FOLLOWING)
        return [ServeAfter(successor.number, self.current.number), *self._terminate_current(now_s)]

    def _start_successor(self, now_s: float) -> list[ProcessAction]:
        target = self._target_release()
        if self.successor is not None or not target or now_s < self._retry_at_s:
            return []
        current = self.current
        if current is not None and (not current.is_serving or current.release == target):
            return []
        self._has_tried_fallback = False
        self.successor = self._create_incarnation(now_s, target)
        return [StartProcess(self.successor.number, target)]

    def _create_incarnation(self, now_s: float, release: str) -> Incarnation:
        self._last_incarnation += 1
        return Incarnation(self._last_incarnation, release, now_s, deadline_s=now_s + self.start_timeout_s)

    def _terminate_current(self, now_s: float) -> list[ProcessAction]:
        assert self.current is not None
        self.current.enter(IncarnationPhase.DRAINING, now_s + self.drain_timeout_s)
        return [Terminate(self.current.number)]

    # ---- the fallback

    def _prepare_fallback(self, now_s: float, release: str) -> list[ProcessAction]:
        self._has_tried_fallback = True
        self.fallback = self._create_incarnation(now_s, release)
        return [StartProcess(self.fallback.number, release)]

    def _discard_fallback(self) -> list[ProcessAction]:
        dropped, self.fallback = self.fallback, None
        return [] if dropped is None else [Discard(dropped.number)]

    def _promote_fallback(self, now_s: float) -> list[ProcessAction]:
        """Make the fallback the successor, or discard it if it is not needed or not prepared."""
        fallback, predecessor = self.fallback, self.current
        is_needed = self._target_release() != "" and not _is_serving(predecessor)
        if fallback is None or not is_needed or fallback.phase is not IncarnationPhase.PREPARED:
            return self._discard_fallback()
        self.successor, self.fallback = fallback, None
        if predecessor is None:
            fallback.enter(IncarnationPhase.ACTIVATING, now_s + self.start_timeout_s)
            return [AllowServing(fallback.number)]
        fallback.enter(IncarnationPhase.FOLLOWING)
        return [ServeAfter(fallback.number, predecessor.number)]

    # ---- failures

    def _record_failed_start(self, now_s: float, failed: Incarnation, reason: str) -> list[ProcessAction]:
        self.successor = None
        if failed.release == self._target_release():
            self._failed_starts += 1
            self.last_error = f"{failed.release} did not start: {reason}"
            self._retry_at_s = self._restart_backoff.process_exited(now_s, now_s)
            if self._failed_starts >= MAX_FAILED_STARTS:
                self._give_up(failed.release)
        return self._promote_fallback(now_s) + self.reconcile(now_s)

    def _record_crash(self, now_s: float, crashed: Incarnation, reason: str) -> None:
        self.restarts += 1
        self.last_error = f"{crashed.release} ended: {reason}"
        self._retry_at_s = self._restart_backoff.process_exited(crashed.started_s, now_s)
        if self._restart_backoff.exits >= MAX_CRASHES and crashed.release == self._target_release():
            self._give_up(crashed.release)

    def _record_crash_in_drain(self, crashed: Incarnation, reason: str) -> None:
        """Record a crash after which the successor serves as planned."""
        self.restarts += 1
        self.last_error = f"{crashed.release} ended while it drained: {reason}"

    def _give_up(self, release: str) -> None:
        """Fall back to the previous release if there is one; the leader sees this in the observed state."""
        can_fall_back = self.previous_release not in ("", release)
        if release == self.desired_release and can_fall_back:
            self.failed_release = release
            self._reset_retries(0.0)

    def _reset_retries(self, retry_at_s: float) -> None:
        self._failed_starts, self._retry_at_s, self._restart_backoff = 0, retry_at_s, RestartBackoff()


def _is_serving(incarnation: Incarnation | None) -> bool:
    return incarnation is not None and incarnation.is_serving
