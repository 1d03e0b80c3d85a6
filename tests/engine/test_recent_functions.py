"""Recently called functions can be looked up by number."""

from __future__ import annotations

import pytest

from saffronstack.engine import recent_functions
from saffronstack.engine.calls import FunctionSpec
from saffronstack.engine.recent_functions import RecentFunctions


def function(number: int) -> FunctionSpec:
    return FunctionSpec(f"f{number}", number, 0, 100.0)


def test_the_least_recently_called_function_is_removed_first(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(recent_functions, "MAX_FUNCTIONS", 2)
    functions = RecentFunctions()
    for number in (1, 2, 1, 3):
        functions.add(function(number))
    assert len(functions) == 2
    assert functions.get(2) is None
    assert [functions.get(1), functions.get(3)] == [function(1), function(3)]
