"""Daemon with the production fence and reconcilers, and a phase in place of each gateway process."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

from saffronstack.fleet.control.command_fence import CommandFence
from saffronstack.fleet.control.errors import RejectedRequestError
from saffronstack.fleet.control.gateway_actions import (
    AllowServing,
    Discard,
    Kill,
    ProcessAction,
    ServeAfter,
    StartProcess,
    Terminate,
)
from saffronstack.fleet.control.gateway_reconciler import GatewayReconciler
from saffronstack.fleet.control.incarnation import IncarnationPhase

DRAIN_TIMEOUT_S = 5.0


@dataclass(slots=True)
class SimulatedDaemon:
    """A simulated daemon.

    Attributes:
        fence: Rejects outdated requests.
        reconcilers: Reconcilers by gateway.
        stored_token: Fencing token on its disk.
        stored_releases: Desired releases on its disk, by gateway.
        processes: Phases of each gateway's processes, by incarnation.
    """

    fence: CommandFence = field(default_factory=lambda: CommandFence(1))
    reconcilers: dict[str, GatewayReconciler] = field(default_factory=dict)
    stored_token: int = 0
    stored_releases: dict[str, str] = field(default_factory=dict)
    processes: dict[str, dict[int, IncarnationPhase]] = field(default_factory=dict)

    def add_gateway(self, gateway: str, release: str) -> None:
        """Add a gateway that serves a release."""
        reconciler = GatewayReconciler(DRAIN_TIMEOUT_S, desired_release=release)
        self.processes[gateway] = {reconciler.adopt(0.0, release): IncarnationPhase.SERVING}
        self.reconcilers[gateway] = reconciler
        self.stored_releases[gateway] = release

    def accept_poll(self, token: int, sequence: int) -> bool:
        """Handle a request without commands; return whether the fence accepts it."""
        try:
            self.fence.check(token, sequence, 0, has_commands=False)
        except RejectedRequestError:
            return False
        self.fence.accept(token, sequence)
        self.stored_token = max(self.stored_token, token)
        return True

    def set_desired(self, now_s: float, gateway: str, release: str) -> None:
        """Execute a command that the fence accepted."""
        self.stored_releases[gateway] = release
        self._carry_out(gateway, self.reconcilers[gateway].set_desired(now_s, release))

    def advance_process(self, now_s: float, gateway: str, fails: bool, unusable_release: str) -> bool:
        """Advance one process of a gateway to its next phase; return whether there was one to advance.

        Args:
            now_s: Current time.
            gateway: Name of the gateway.
            fails: Whether a starting process exits instead.
            unusable_release: Release whose processes exit instead of serving.
        """
        reconciler, processes = self.reconcilers[gateway], self.processes[gateway]
        for number, phase in sorted(processes.items()):
            match phase:
                case IncarnationPhase.PREPARING if not fails:
                    self._prepare(now_s, gateway, number)
                case IncarnationPhase.ACTIVATING if not fails and not _successor_runs(
                    reconciler, unusable_release
                ):
                    processes[number] = IncarnationPhase.SERVING
                    self._carry_out(gateway, reconciler.on_serving(now_s, number))
                case IncarnationPhase.PREPARING | IncarnationPhase.ACTIVATING | IncarnationPhase.DRAINING:
                    del processes[number]
                    self._carry_out(gateway, reconciler.on_ended(now_s, number, "simulated"))
                case _:
                    continue
            return True
        return False

    def _prepare(self, now_s: float, gateway: str, number: int) -> None:
        """Mark a process as prepared, and its fallback too: the fallback's release has run before."""
        reconciler = self.reconcilers[gateway]
        self.processes[gateway][number] = IncarnationPhase.PREPARED
        self._carry_out(gateway, reconciler.on_prepared(now_s, number))
        fallback = reconciler.fallback
        if fallback is not None and fallback.phase is IncarnationPhase.PREPARING:
            self._prepare(now_s, gateway, fallback.number)

    def reconcile(self, now_s: float, gateway: str) -> None:
        """Reconcile a gateway."""
        self._carry_out(gateway, self.reconcilers[gateway].reconcile(now_s))

    def restart(self, now_s: float, token: int, is_disk_lost: bool) -> None:
        """Restart the daemon; it adopts each gateway's current serving process, and the others exit.

        Args:
            now_s: Current time.
            token: Fencing token with which the next incarnation starts.
            is_disk_lost: Whether the stored desired releases are lost.
        """
        self.fence = CommandFence(self.fence.incarnation + 1, token)
        self.stored_token = token
        if is_disk_lost:
            self.stored_releases = {}
        for gateway, before in self.reconcilers.items():
            self.reconcilers[gateway] = self._adopt(now_s, gateway, before)
            desired = self.stored_releases.get(gateway, "")
            if desired:
                self._carry_out(gateway, self.reconcilers[gateway].set_desired(now_s, desired))

    def is_settled(self) -> bool:
        """Return whether no process is starting or exiting."""
        phases = (phase for processes in self.processes.values() for phase in processes.values())
        return all(phase is IncarnationPhase.SERVING for phase in phases)

    def _adopt(self, now_s: float, gateway: str, before: GatewayReconciler) -> GatewayReconciler:
        reconciler = GatewayReconciler(DRAIN_TIMEOUT_S)
        adopted: dict[int, IncarnationPhase] = {}
        for number, phase in self.processes[gateway].items():
            current = before.current
            is_current = current is not None and current.number == number
            if current is not None and is_current and phase is IncarnationPhase.SERVING:
                adopted[reconciler.adopt(now_s, current.release)] = IncarnationPhase.SERVING
        self.processes[gateway] = adopted
        return reconciler

    def _carry_out(self, gateway: str, actions: Iterable[ProcessAction]) -> None:
        processes = self.processes[gateway]
        for action in actions:
            match action:
                case StartProcess(incarnation=incarnation):
                    processes[incarnation] = IncarnationPhase.PREPARING
                case AllowServing(incarnation):
                    processes[incarnation] = IncarnationPhase.ACTIVATING
                case ServeAfter(incarnation=incarnation):
                    processes[incarnation] = IncarnationPhase.FOLLOWING
                case Terminate(incarnation) | Kill(incarnation) if incarnation in processes:
                    processes[incarnation] = IncarnationPhase.DRAINING
                case Discard(incarnation):
                    processes.pop(incarnation, None)
                case _:
                    pass  # the process has exited, or the action only matters when the daemon exits


def _successor_runs(reconciler: GatewayReconciler, release: str) -> bool:
    return reconciler.successor is not None and reconciler.successor.release == release
