"""Explores every order of a bounded number of steps of three acceptors and two candidates.

In no state do two candidates hold the lease, and the tokens that are acquired only grow. Faults have budgets;
states that are equal are visited once.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Sequence
from dataclasses import dataclass

from saffronstack.fleet.leases.acceptor import Acceptor
from saffronstack.fleet.leases.candidate import Candidate
from saffronstack.harness.leases.model_state import Factory, FaultBudget, ModelState, initial_state
from saffronstack.harness.leases.model_steps import Step, steps_from

MAX_STATES = 10_000_000


class UnknownStepError(ValueError):
    """A step can't be taken in the state that was reached."""


@dataclass
class Exploration:
    """The result of an exploration."""

    states: int = 0
    depth: int = 0  # of the deepest state seen
    completed_depth: int = 0  # every state to this depth was seen
    breach: str = ""
    path: tuple[str, ...] = ()

    def with_breach(self, step: Step) -> Exploration:
        """Note the breach that a step is."""
        self.breach, self.path, self.depth = step.breach, step.state.path, len(step.state.path)
        return self


def replay_steps(state: ModelState, make_acceptor: Factory, labels: Sequence[str]) -> ModelState:
    """Return the state after steps, each named as a trail names it.

    Raises:
        UnknownStepError: One of them can't be taken, or is a breach.
    """
    for label in labels:
        for step in steps_from(state, make_acceptor):
            if step.state.path[-1] == label and not step.breach:
                state = step.state
                break
        else:
            raise UnknownStepError(f"no step {label!r} after {state.path}")
    return state


def explore(
    depth: int,
    budget: FaultBudget,
    make_acceptor: Factory = Acceptor,
    make_candidate: Factory = Candidate,
    max_states: int = MAX_STATES,
    after: Sequence[str] = (),
) -> Exploration:
    """Explore breadth first, up to the first breach, which is one of the shortest.

    Args:
        depth: The longest trail.
        budget: How many faults of each kind a trail may have.
        make_acceptor: Makes the acceptors.
        make_candidate: Makes the candidates.
        max_states: How many states to visit at most.
        after: Steps that every trail begins with, so that states far from the start can be reached.

    Returns:
        What was visited, and the breach that was found, if any.
    """
    start_state = replay_steps(initial_state(budget, make_acceptor, make_candidate), make_acceptor, after)
    visited = {start_state.key()}
    queue: deque[ModelState] = deque([start_state])
    result = Exploration(states=1)
    while queue and result.states < max_states:
        state = queue.popleft()
        result.completed_depth = len(state.path)
        if len(state.path) >= depth:
            continue
        for step in steps_from(state, make_acceptor):
            if step.breach:
                return result.with_breach(step)
            key = step.state.key()
            if key not in visited:
                visited.add(key)
                queue.append(step.state)
                result.states += 1
                result.depth = len(step.state.path)
    return result
