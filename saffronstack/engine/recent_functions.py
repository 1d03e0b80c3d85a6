"""Recently called functions, for load commands that name a function by its number."""

from __future__ import annotations

from saffronstack.engine.calls import FunctionSpec

MAX_FUNCTIONS = 4096  # bounds the memory if clients keep calling new functions


class RecentFunctions:
    """A least-recently-used cache of at most `MAX_FUNCTIONS` functions."""

    def __init__(self) -> None:
        self._functions: dict[int, FunctionSpec] = {}

    def __len__(self) -> int:
        return len(self._functions)

    def add(self, function: FunctionSpec) -> None:
        """Add a function that is called now."""
        functions = self._functions
        functions.pop(function.number, None)
        functions[function.number] = function
        if len(functions) > MAX_FUNCTIONS:
            del functions[next(iter(functions))]

    def get(self, number: int) -> FunctionSpec | None:
        """Return the function with this number, if it is known."""
        return self._functions.get(number)
