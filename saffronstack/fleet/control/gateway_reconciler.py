"""Reconciles one gateway's processes with its desired release. No I/O.

A change of release never leaves the address without a listener: the listening socket belongs to the daemon,
and connections wait in its queue meanwhile. The successor is *prepared* first (program loaded, configuration
read, nothing opened) while the present incarnation serves; a release that fails at that costs no call. Then
the present one is terminated, and the successor is told to serve once that has ended: two incarnations never
own one ledger. It watches for that end itself, so that callers do not wait for a daemon that is stopped; from
then on it may serve at any moment, and is not dropped any more. All times are seconds of one clock.
"""

from __future__ import annotations

import enum
import math
from dataclasses import dataclass, field

from saffronstack.daemon.restart_backoff import RestartBackoff
from saffronstack.fleet.control.gateway_actions import (
    AllowServing,
    Kill,
    ProcessAction,
    ServeAfter,
    StartProcess,
    Terminate,
)
from saffronstack.fleet.control.observed_gateway import GatewayPhase, ObservedGateway

START_TIMEOUT_S = 30.0  # for each of preparing and beginning to serve; an incarnation that is later is killed
MAX_FAILED_STARTS = 2  # of a release in a row; it is given up then for the one before
MAX_CRASHES = 5  # in a row, each soon after its start; the release is given up then
KILL_GRACE_S = 1.0  # the end of a killed process is reported within this


class IncarnationPhase(enum.Enum):
    """How far one process of a gateway is."""

    PREPARING = "preparing"  # loads its program and configuration
    PREPARED = "prepared"  # waits until it may serve
    FOLLOWING = "following"  # serves once its predecessor has ended, which may not be known here yet
    ACTIVATING = "activating"  # may serve and has not reported yet that it does
    SERVING = "serving"
    DRAINING = "draining"


@dataclass(slots=True)
class Incarnation:
    """One process of the gateway; past ``deadline_s`` in its phase it is killed."""

    number: int
    release: str
    started_s: float
    phase: IncarnationPhase = IncarnationPhase.PREPARING
    deadline_s: float = math.inf


@dataclass(slots=True)
class GatewayReconciler:
    """The desired and the present state of one gateway.

    The methods that take a time return what is to be done about the gateway's processes.

    Attributes:
        drain_timeout_s: How long a terminated incarnation may go on before it is killed.
        start_timeout_s: How long an incarnation may take to prepare itself, and again to begin to serve.
        desired_release: The digest that was commanded; empty for none.
        previous_release: The release that ran before the desired one.
        failed_release: The desired release, where it was given up.
        last_error: What went wrong last.
        restarts: Unplanned ends of incarnations that served.
        current: The incarnation that serves or drains.
        successor: The incarnation that is to take its place.
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
    _retry_at_s: float = 0.0
    _failed_starts: int = 0  # of the target release in a row
    _restart_backoff: RestartBackoff = field(default_factory=RestartBackoff)
    _last_number: int = 0

    def set_desired(self, now_s: float, release: str) -> list[ProcessAction]:
        """Take a command. Repeating one changes nothing, but retries a release that was given up."""
        if release == self.desired_release and self.failed_release != release:
            return []
        if self.current is not None and self.current.release != release:
            self.previous_release = self.current.release
        self.desired_release, self.failed_release, self.last_error = release, "", ""
        self._reset_retries(now_s)
        return self.reconcile(now_s)

    def adopt(self, now_s: float, release: str) -> int:
        """Take over an incarnation that serves since before this daemon; return its number.

        Its release is the desired one until a command says otherwise: a daemon that lost its desired state
        terminates nothing.
        """
        self._last_number += 1
        self.desired_release = release
        self.current = Incarnation(self._last_number, release, now_s, IncarnationPhase.SERVING)
        return self._last_number

    def observe(self) -> ObservedGateway:
        """Return the observed state."""
        current = self.current
        is_serving = current is not None and current.phase is IncarnationPhase.SERVING
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
        successor = self._successor_in((IncarnationPhase.PREPARING,), number)
        if successor is None:
            return []
        successor.phase, successor.deadline_s = IncarnationPhase.PREPARED, math.inf
        return self.reconcile(now_s)

    def on_serving(self, now_s: float, number: int) -> list[ProcessAction]:
        """Record that an incarnation serves."""
        successor = self._successor_in((IncarnationPhase.FOLLOWING, IncarnationPhase.ACTIVATING), number)
        if successor is None:
            return []
        successor.phase, successor.deadline_s = IncarnationPhase.SERVING, math.inf
        successor.started_s = now_s
        self.current, self.successor, self._failed_starts = successor, None, 0
        return self.reconcile(now_s)

    def on_ended(self, now_s: float, number: int, reason: str) -> list[ProcessAction]:
        """Record that an incarnation has ended, whether that was planned or not."""
        if self.successor is not None and self.successor.number == number:
            return self._record_failed_start(now_s, self.successor, reason)
        ended = self.current
        if ended is None or ended.number != number:
            return []
        self.current = None
        if ended.phase is IncarnationPhase.SERVING:
            self._record_crash(now_s, ended, reason)
        return self.reconcile(now_s)

    def reconcile(self, now_s: float) -> list[ProcessAction]:
        """Compare the desired with the present state, and find what is overdue."""
        actions = self._kill_overdue(now_s)
        actions += self._advance_successor(now_s)
        actions += self._start_successor(now_s)
        if not self._target() and _is_serving(self.current):
            actions += self._terminate_current(now_s)
        return actions

    def next_deadline_s(self) -> float:
        """Return by when ``reconcile`` is due again; infinity for never."""
        deadlines = [one.deadline_s for one in (self.successor, self.current) if one is not None]
        if self.successor is None and self._target() and self._retry_at_s > 0:
            deadlines.append(self._retry_at_s)
        return min(deadlines, default=math.inf)

    def _phase(self, is_serving: bool) -> GatewayPhase:
        if self.successor is not None:
            return GatewayPhase.STARTING if self.current is None else GatewayPhase.CHANGING
        if self.current is not None:
            return GatewayPhase.SERVING if is_serving else GatewayPhase.DRAINING
        return GatewayPhase.DOWN if self._target() else GatewayPhase.STOPPED

    def _successor_in(self, phases: tuple[IncarnationPhase, ...], number: int) -> Incarnation | None:
        one = self.successor
        return one if one is not None and one.number == number and one.phase in phases else None

    def _target(self) -> str:
        """Return what is to run: the desired release, or the previous one where that was given up."""
        is_given_up = self.failed_release != "" and self.failed_release == self.desired_release
        return self.previous_release if is_given_up else self.desired_release

    def _kill_overdue(self, now_s: float) -> list[ProcessAction]:
        actions: list[ProcessAction] = []
        for incarnation in (self.successor, self.current):
            if incarnation is not None and now_s >= incarnation.deadline_s:
                text = f"{incarnation.release} {incarnation.phase.value} for too long and was killed"
                self.last_error = self.last_error or text
                incarnation.deadline_s = now_s + KILL_GRACE_S
                actions.append(Kill(incarnation.number))
        return actions

    def _advance_successor(self, now_s: float) -> list[ProcessAction]:
        """Drop a successor that is no longer desired, or let a prepared one take its place."""
        successor = self.successor
        if successor is None:
            return []
        waits = successor.phase in (IncarnationPhase.PREPARING, IncarnationPhase.PREPARED)
        if successor.release != self._target() and waits:
            self.successor = None
            return [Kill(successor.number)]
        if successor.phase not in (IncarnationPhase.PREPARED, IncarnationPhase.FOLLOWING):
            return []
        if self.current is None:
            successor.phase = IncarnationPhase.ACTIVATING
            successor.deadline_s = now_s + self.start_timeout_s
            return [AllowServing(successor.number)]
        if not _is_serving(self.current):
            return []
        successor.phase = IncarnationPhase.FOLLOWING
        return [ServeAfter(successor.number, self.current.number), *self._terminate_current(now_s)]

    def _start_successor(self, now_s: float) -> list[ProcessAction]:
        target = self._target()
        if self.successor is not None or not target or now_s < self._retry_at_s:
            return []
        current = self.current
        if current is not None and (not _is_serving(current) or current.release == target):
            return []
        self._last_number += 1
        self.successor = Incarnation(
            self._last_number, target, now_s, deadline_s=now_s + self.start_timeout_s
        )  # fmt: skip
        return [StartProcess(self._last_number, target)]

    def _terminate_current(self, now_s: float) -> list[ProcessAction]:
        assert self.current is not None
        self.current.phase = IncarnationPhase.DRAINING
        self.current.deadline_s = now_s + self.drain_timeout_s
        return [Terminate(self.current.number)]

    def _record_failed_start(self, now_s: float, failed: Incarnation, reason: str) -> list[ProcessAction]:
        self.successor = None
        if failed.release == self._target():
            self._failed_starts += 1
            self.last_error = f"{failed.release} did not start: {reason}"
            self._retry_at_s = self._restart_backoff.process_exited(now_s, now_s)
            if self._failed_starts >= MAX_FAILED_STARTS:
                self._give_up(failed.release)
        return self.reconcile(now_s)

    def _record_crash(self, now_s: float, crashed: Incarnation, reason: str) -> None:
        self.restarts += 1
        self.last_error = f"{crashed.release} ended: {reason}"
        self._retry_at_s = self._restart_backoff.process_exited(crashed.started_s, now_s)
        if self._restart_backoff.exits >= MAX_CRASHES and crashed.release == self._target():
            self._give_up(crashed.release)

    def _give_up(self, release: str) -> None:
        """Fall back to the previous release, where there is one; the leader sees it in the observed state."""
        has_fallback = self.previous_release not in ("", release)
        if release == self.desired_release and has_fallback:
            self.failed_release = release
            self._reset_retries(0.0)

    def _reset_retries(self, retry_at_s: float) -> None:
        self._failed_starts, self._retry_at_s, self._restart_backoff = 0, retry_at_s, RestartBackoff()


def _is_serving(incarnation: Incarnation | None) -> bool:
    return incarnation is not None and incarnation.phase is IncarnationPhase.SERVING
