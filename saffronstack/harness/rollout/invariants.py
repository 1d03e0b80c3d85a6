"""Invariants of a simulated rollout after each step and at its end."""

from __future__ import annotations

from saffronstack.fleet.rollout.operator_requests import OperatorAction
from saffronstack.fleet.rollout.record import RolloutPhase
from saffronstack.harness.rollout.simulated_world import (
    NEW,
    OLD,
    InvariantError,
    SimulatedWorld,
    draw_no_fault,
)

MAX_FAULT_FREE_ROUNDS = 120
MAX_PROCESS_STEPS = 6  # per gateway and round


class InvariantChecker:
    """Checks the invariants of one world; it keeps the last fencing token of each daemon."""

    def __init__(self, world: SimulatedWorld) -> None:
        self._world = world
        self._accepted_tokens: dict[str, int] = {}

    def check(self) -> None:
        """Check the world after a step.

        Raises:
            InvariantError: A daemon's fencing token decreased, too many gateways are unavailable at once, or
                gateways of two zones are.
        """
        self._check_tokens()
        self._check_unavailable()

    def _check_tokens(self) -> None:
        for name, daemon in self._world.daemons.items():
            before, token = self._accepted_tokens.get(name, 0), daemon.fence.token
            if token < before:
                raise InvariantError(f"{name}: has token {token} after {before}")
            self._accepted_tokens[name] = token

    def _check_unavailable(self) -> None:
        unavailable = sorted(
            gateway for daemon in self._world.daemons.values()
            for gateway, reconciler in daemon.reconcilers.items()
            if not reconciler.observe().running_release
        )  # fmt: skip
        if len(unavailable) > self._world.record.plan.max_unavailable:
            raise InvariantError(f"{len(unavailable)} gateways are unavailable at once: {unavailable}")
        if len({self._world.zone_of[gateway] for gateway in unavailable}) > 1:
            raise InvariantError(f"gateways of two zones are unavailable at once: {unavailable}")

    def advance_until_settled(self) -> None:
        """Advance all gateways until no process starts or exits, and check after each step."""
        for gateway in self._world.daemon_of:
            for _ in range(MAX_PROCESS_STEPS):
                if not self._world.advance_gateway(gateway, fails=False):
                    break
                self.check()

    def finish(self) -> None:
        """Abort the rollout and run rounds without faults until it ends.

        Raises:
            InvariantError: The rollout does not end, or a gateway runs another release than its record says.
        """
        world = self._world
        if not world.record.is_finished:
            world.submit_request(OperatorAction.ABORT)
        for _ in range(MAX_FAULT_FREE_ROUNDS):
            self._run_fault_free_round()
            if world.record.is_finished:
                self._check_running_releases()
                return
        raise InvariantError(f"the rollout does not end: {world.record.phase}, {world.record.reason}")

    def _run_fault_free_round(self) -> None:
        world = self._world
        if world.leader is None or world.leader.token != world.granted_token:
            world.change_leader()
        world.run_round(draw_no_fault)
        self.check()
        while world.in_flight:
            world.deliver_command(0, is_repeated=False)
            self.check()
        self.advance_until_settled()

    def _check_running_releases(self) -> None:
        phase = self._world.record.phase
        target = NEW.digest if phase is RolloutPhase.COMPLETED else OLD.digest
        for daemon in self._world.daemons.values():
            for gateway, reconciler in daemon.reconcilers.items():
                running = reconciler.observe().running_release
                if running != target:
                    raise InvariantError(f"{gateway}: runs {running!r} after the rollout is {phase}")
