"""Explores all interleavings of the steps of a simulated rollout."""

from __future__ import annotations

import copy
import functools
from collections.abc import Callable, Iterator
from dataclasses import dataclass

from saffronstack.fleet.control.incarnation import IncarnationPhase
from saffronstack.fleet.control.observed_gateway import ObservedGateway
from saffronstack.fleet.rollout.operator_requests import OperatorAction
from saffronstack.harness.rollout.defects import Defect
from saffronstack.harness.rollout.invariants import InvariantChecker
from saffronstack.harness.rollout.simulated_daemon import SimulatedDaemon
from saffronstack.harness.rollout.simulated_world import (
    InvariantError,
    SimulatedLeader,
    SimulatedWorld,
    WorldSize,
    draw_harm,
    draw_no_fault,
)

MAX_COMMANDS_EXPLORED = 4  # commands in flight, oldest first, whose delivery is a step
MAX_DAEMON_INCARNATION = 3
DEFAULT_SIZE = WorldSize(gateways=3, daemons=2, zones=2)


@dataclass(frozen=True, slots=True)
class Exploration:
    """Result of an exploration: its size, and the first violation with the names of the steps to it."""

    states: int
    depth: int
    violation: str = ""
    path: tuple[str, ...] = ()


@dataclass(slots=True)
class _Node:
    """A state, and the names of the steps to it."""

    world: SimulatedWorld
    checker: InvariantChecker
    path: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class _Step:
    name: str
    run: Callable[[SimulatedWorld], object]


def explore(
    max_states: int, max_depth: int, defect: Defect = Defect.NONE, size: WorldSize = DEFAULT_SIZE
) -> Exploration:
    """Explore breadth first until the first violation, ``max_states`` states or ``max_depth`` steps."""
    world = SimulatedWorld(size, defect=defect)
    start = _Node(world, InvariantChecker(world))
    world.change_leader()
    start.checker.check()
    visited = {state_key(world)}
    layer = [start]
    for depth in range(1, max_depth + 1):
        next_layer: list[_Node] = []
        for node in layer:
            for step in _possible_steps(node.world):
                try:
                    reached = _take_step(node, step)
                except InvariantError as error:
                    return Exploration(len(visited), depth, str(error), (*node.path, step.name))
                key = state_key(reached.world)
                if key in visited:
                    continue
                visited.add(key)
                if len(visited) >= max_states:
                    return Exploration(len(visited), depth)
                next_layer.append(reached)
        if not next_layer:
            return Exploration(len(visited), depth)
        layer = next_layer
    return Exploration(len(visited), max_depth)


def _take_step(node: _Node, step: _Step) -> _Node:
    """Return the state after a step.

    Raises:
        InvariantError: The state violates an invariant, or the rollout does not end from it without faults.
    """
    reached = copy.deepcopy(node)
    step.run(reached.world)
    reached.checker.check()
    copy.deepcopy(reached).checker.finish()
    reached.path = (*node.path, step.name)
    return reached


def _possible_steps(world: SimulatedWorld) -> Iterator[_Step]:
    yield _Step("round", lambda world: world.run_round(draw_no_fault))
    yield _Step("round that finds harm", lambda world: world.run_round(draw_harm))
    yield _Step("another leader", SimulatedWorld.change_leader)
    yield _Step("abort", _abort_once)
    for index, _ in enumerate(world.in_flight[:MAX_COMMANDS_EXPLORED]):
        yield _Step(f"command {index} arrives", functools.partial(_deliver_command, index, False))
        yield _Step(
            f"command {index} arrives, and will again", functools.partial(_deliver_command, index, True)
        )
    for gateway, daemon_name in world.daemon_of.items():
        if not _is_gateway_settled(world.daemons[daemon_name], gateway):
            yield _Step(f"{gateway} advances", functools.partial(_advance, gateway, False))
            yield _Step(f"{gateway} fails", functools.partial(_advance, gateway, True))
    for name, daemon in world.daemons.items():
        if daemon.is_settled() and daemon.fence.incarnation < MAX_DAEMON_INCARNATION:
            yield _Step(f"{name} restarts", functools.partial(_restart, name))


def _abort_once(world: SimulatedWorld) -> bool:
    return world.request is None and world.submit_request(OperatorAction.ABORT)


def _deliver_command(index: int, is_repeated: bool, world: SimulatedWorld) -> bool:
    return world.deliver_command(index, is_repeated)


def _advance(gateway: str, fails: bool, world: SimulatedWorld) -> bool:
    return world.advance_gateway(gateway, fails)


def _restart(name: str, world: SimulatedWorld) -> bool:
    return world.restart_daemon(name, is_disk_lost=False)


def _is_gateway_settled(daemon: SimulatedDaemon, gateway: str) -> bool:
    return all(phase is IncarnationPhase.SERVING for phase in daemon.processes[gateway].values())


def state_key(world: SimulatedWorld) -> str:
    """Return a key that is equal for equivalent states; it ignores times and counters that only increase."""
    record = world.record
    parts = (
        [f"{name} {_daemon_key(daemon)}" for name, daemon in world.daemons.items()],
        _leader_key(world.leader) if world.leader is not None else "no leader",
        [(one.daemon, one.token, one.gateway, one.release, one.incarnation) for one in world.in_flight],
        (record.phase, record.stage, record.is_paused, record.last_request),
        world.granted_token,
        world.request,
    )
    return repr(parts)


def _daemon_key(daemon: SimulatedDaemon) -> str:
    gateways = [
        (
            gateway, _observed_key(reconciler.observe()),
            sorted(phase.value for phase in daemon.processes[gateway].values()),
        )
        for gateway, reconciler in daemon.reconcilers.items()
    ]  # fmt: skip
    releases = sorted(daemon.stored_releases.items())
    return repr((daemon.fence.token, daemon.fence.incarnation, releases, gateways))


def _leader_key(leader: SimulatedLeader) -> str:
    controller = leader.controller
    record, view = controller.record, controller.view
    observed = sorted((name, _observed_key(one)) for name, one in view.observed.items())
    pending = sorted(view.pending.items())
    is_baking = controller.bake.has_started
    return repr((leader.token, record.phase, record.stage, record.is_paused, pending, is_baking, observed))


def _observed_key(observed: ObservedGateway) -> str:
    return repr((
        observed.desired_release, observed.running_release, observed.phase, observed.failed_release
    ))  # fmt: skip
