"""Random walks through the states of a simulated rollout."""

from __future__ import annotations

import random

from saffronstack.fleet.rollout.operator_requests import OperatorAction
from saffronstack.harness.rollout.defects import Defect
from saffronstack.harness.rollout.invariants import InvariantChecker
from saffronstack.harness.rollout.simulated_world import SimulatedWorld, WorldSize

SIZES = (WorldSize(2, 1, 1), WorldSize(2, 2, 2), WorldSize(3, 2, 2), WorldSize(4, 2, 2), WorldSize(6, 3, 3))
MAX_RESTARTS = 3
UNUSABLE_PROBABILITY = 0.15
REPEAT_PROBABILITY = 0.15
PROCESS_FAILURE_PROBABILITY = 0.05
DISK_LOSS_PROBABILITY = 0.3


class RandomWalk:
    """A walk whose steps are drawn from a seed."""

    def __init__(self, seed: int, defect: Defect = Defect.NONE) -> None:
        self._random = random.Random(seed)
        size = self._random.choice(SIZES)
        is_new_unusable = self._random.random() < UNUSABLE_PROBABILITY
        self.world = SimulatedWorld(size, is_new_unusable, defect)
        self.checker = InvariantChecker(self.world)
        self._restarts = 0
        self._steps = {
            self._run_round: 30,
            self._deliver_command: 20,
            self._lose_command: 3,
            self._advance_gateway: 40,
            self.world.change_leader: 2,
            self._restart_daemon: 1.0,
            self._submit_request: 0.3,
        }

    def run(self, step_count: int) -> int:
        """Run random steps, then finish the rollout; return how many of the steps were possible.

        Raises:
            InvariantError: An invariant is violated.
        """
        self.world.change_leader()
        self.checker.check()
        possible_steps = 0
        for _ in range(step_count):
            step = self._random.choices(list(self._steps), list(self._steps.values()))[0]
            possible_steps += step()
            self.checker.check()
        self.checker.finish()
        return possible_steps

    def _run_round(self) -> bool:
        return self.world.run_round(self._random.randrange)

    def _deliver_command(self) -> bool:
        index = self._draw_command()
        return self.world.deliver_command(index, self._random.random() < REPEAT_PROBABILITY)

    def _lose_command(self) -> bool:
        return self.world.lose_command(self._draw_command())

    def _draw_command(self) -> int:
        return self._random.randrange(max(1, len(self.world.in_flight)))

    def _advance_gateway(self) -> bool:
        gateway = self._random.choice(list(self.world.daemon_of))
        return self.world.advance_gateway(gateway, self._random.random() < PROCESS_FAILURE_PROBABILITY)

    def _restart_daemon(self) -> bool:
        """Restart a daemon while no gateway is being updated.

        A restart during an update makes the gateway unavailable until the daemon is back, which would violate
        the invariant on unavailable gateways though the leader is correct. The harness of processes kills
        daemons at any time.
        """
        if self._restarts == MAX_RESTARTS:
            return False
        self._restarts += 1
        self.checker.advance_until_settled()
        name = self._random.choice(list(self.world.daemons))
        return self.world.restart_daemon(name, self._random.random() < DISK_LOSS_PROBABILITY)

    def _submit_request(self) -> bool:
        return self.world.submit_request(self._random.choice(list(OperatorAction)))


def walk_randomly(seed: int, step_count: int, defect: Defect = Defect.NONE) -> int:
    """Run one walk; return how many of its steps were possible.

    Raises:
        InvariantError: An invariant is violated.
    """
    return RandomWalk(seed, defect).run(step_count)
