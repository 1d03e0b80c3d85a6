"""A daemon without processes: its real fence and reconcilers, and phases in place of gateways' processes."""

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
    """One daemon.

    Attributes:
        fence: Which requests count.
        reconcilers: By gateway.
        stored_token: The fencing token on its disk.
        stored_releases: The desired releases on its disk, by gateway.
        processes: By gateway, the phases of its incarnations.
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
        """Take a request without commands; return whether it counts."""
        try:
            self.fence.check(token, sequence, 0, has_commands=False)
        except RejectedRequestError:
            return False
        self.fence.accept(token, sequence)
        self.stored_token = max(self.stored_token, token)
        return True

    def set_desired(self, now_s: float, gateway: str, release: str) -> None:
        """Carry out a command that counts."""
        self.stored_releases[gateway] = release
        self._carry_out(gateway, self.reconcilers[gateway].set_desired(now_s, release))

    def advance_process(self, now_s: float, gateway: str, fails: bool, unusable_release: str) -> bool:
        """Let a gateway's processes do their next step; return whether there was one.

        Args:
            now_s: The time.
            gateway: Its name.
            fails: Whether a process that starts ends instead.
            unusable_release: A release whose processes end instead of serving.
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
        """Prepare a process, and the fallback that is started then: its program has run before."""
        reconciler = self.reconcilers[gateway]
        self.processes[gateway][number] = IncarnationPhase.PREPARED
        self._carry_out(gateway, reconciler.on_prepared(now_s, number))
        fallback = reconciler.fallback
        if fallback is not None and fallback.phase is IncarnationPhase.PREPARING:
            self._prepare(now_s, gateway, fallback.number)

    def reconcile(self, now_s: float, gateway: str) -> None:
        """Have a gateway reconciled."""
        self._carry_out(gateway, self.reconcilers[gateway].reconcile(now_s))

    def restart(self, now_s: float, token: int, is_disk_lost: bool) -> None:
        """Replace the daemon; its gateways that serve go on, the other processes end with it.

        Args:
            now_s: The time.
            token: The fencing token that the next incarnation of the daemon knows.
            is_disk_lost: Whether its disk forgot the desired releases.
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
        """Return whether no process starts or ends."""
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
                    pass  # the process has ended, or only the end of a daemon makes a difference


def _successor_runs(reconciler: GatewayReconciler, release: str) -> bool:
    return reconciler.successor is not None and reconciler.successor.release == release
