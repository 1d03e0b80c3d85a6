"""Model checker for leases: explores all interleavings of the steps of three acceptors and two candidates.

Invariants: two candidates never hold the lease at once, and acquired tokens increase. The number of steps is
bounded, and the number of faults of each kind. Equivalent states are visited once.
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
    """The state that was reached has no such step."""


@dataclass
class Exploration:
    """Result of an exploration; ``path`` holds the labels of the steps to the breach."""

    states: int = 0
    depth: int = 0  # of the deepest state found
    completed_depth: int = 0  # every state up to this depth has been found
    breach: str = ""
    path: tuple[str, ...] = ()

    def with_breach(self, step: Step) -> Exploration:
        """Record the breach that a step leads to; return self."""
        self.breach, self.path, self.depth = step.breach, step.state.path, len(step.state.path)
        return self


def replay_steps(state: ModelState, make_acceptor: Factory, labels: Sequence[str]) -> ModelState:
    """Return the state after the steps with these labels, which are the labels of a path.

    Raises:
        UnknownStepError: A step is not possible in its state, or leads to a breach.
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
    """Explore breadth first until the first breach, which therefore has a path of minimal length.

    Args:
        depth: Maximum length of a path.
        budget: Maximum number of faults of each kind on a path.
        make_acceptor: Creates the acceptors.
        make_candidate: Creates the candidates.
        max_states: Maximum number of visited states.
        after: Labels of the first steps of every path, to start from a state far from the initial one.
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
