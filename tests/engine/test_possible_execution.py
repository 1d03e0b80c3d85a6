"""Attempts that may have executed a call keep their meaning in another process."""

from __future__ import annotations

from saffronstack.engine.localities import LocalityNumbers, NameNumbers
from saffronstack.engine.possible_execution import (
    UNKNOWN_EXECUTION,
    ExecutionConverter,
    PossibleExecution,
    keep_first_by_location,
)
from saffronstack.routing.events import PriorAttempt

OFFSET_S = 1000.0


def converter(localities: LocalityNumbers) -> ExecutionConverter:
    return ExecutionConverter(localities, lambda t: t + OFFSET_S, lambda t: t - OFFSET_S)


def test_names_are_numbered_in_their_order() -> None:
    numbers = NameNumbers(["b", "a"])
    assert [numbers.number_of(name) for name in ("a", "c", "b", "c")] == [1, 2, 0, 2]
    assert [numbers.name_of(number) for number in (-1, 0, 2, 3)] == ["", "b", "c", ""]


def test_an_attempt_is_found_again_by_a_process_that_numbers_cells_in_another_way() -> None:
    stored = converter(LocalityNumbers(["zone"], ["rack-1", "rack-2"])).to_stored(
        [PriorAttempt(7, 5.0, 0, 1)]
    )
    assert stored == (PossibleExecution(7, 1005.0, "zone", "rack-2"),)
    (prior,) = converter(LocalityNumbers(["other", "zone"], ["rack-2"])).to_prior(stored)
    assert prior == PriorAttempt(7, 5.0, 1, 0)


def test_an_attempt_without_a_location_stays_without() -> None:
    localities = LocalityNumbers()
    stored = converter(localities).to_stored([PriorAttempt(7, 5.0), PriorAttempt(8, 6.0, 3, 4)])
    assert stored == (PossibleExecution(7, 1005.0), PossibleExecution(8, 1006.0))
    assert converter(localities).to_prior(stored) == (PriorAttempt(7, 5.0), PriorAttempt(8, 6.0))


def test_the_first_execution_in_each_cell_is_kept() -> None:
    first = PossibleExecution(1, 10.0, "zone", "rack-1")
    later = [PossibleExecution(n, 10.0 + n, "zone", "rack-1") for n in range(1, 50)]
    other = PossibleExecution(9, 12.0, "zone", "rack-2")
    assert keep_first_by_location([*later, other, first]) == (first, other)


def test_executions_without_a_location_are_kept_for_each_worker() -> None:
    old = [PossibleExecution(1, 10.0), PossibleExecution(2, 11.0), PossibleExecution(1, 12.0)]
    assert keep_first_by_location([*old, UNKNOWN_EXECUTION]) == (UNKNOWN_EXECUTION, *old[:2])
