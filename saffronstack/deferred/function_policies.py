"""Retry policies of functions for their deferred calls, from the configuration."""

from __future__ import annotations

from dataclasses import dataclass

from saffronstack.config.build import ConfiguredFunction, Functions
from saffronstack.config.schema import Config
from saffronstack.deferred.retry_policy import RetryPolicy
from saffronstack.routing.settings import DeduplicationScope


@dataclass(frozen=True, slots=True)
class FunctionPolicy:
    """A configured function, and the retry policy of its deferred calls."""

    configured_function: ConfiguredFunction
    retry_policy: RetryPolicy


class FunctionPolicies:
    """Finds the policies of functions; used on the dispatcher thread."""

    def __init__(self, config: Config, functions: Functions) -> None:
        """Read classes and margins from ``config``; ``functions`` may be reloaded later."""
        self._functions = functions
        self._response_margin_s = config.answer_margin_s
        self._classes = {request_class.name: request_class for request_class in config.classes}

    def find(self, function: str) -> FunctionPolicy | None:
        """Return a function's policy, or None if the function is not configured."""
        configured_function = self._functions.get(function)
        if configured_function is None:
            return None
        request_class = self._classes[configured_function.config.call_class]
        retry_policy = RetryPolicy(
            configured_function.idempotency,
            request_class.window_s,
            request_class.deadline_s - self._response_margin_s,
            configured_function.config.maximum_event_age_s,
            configured_function.config.maximum_retry_attempts,
            DeduplicationScope(request_class.group),
        )
        return FunctionPolicy(configured_function, retry_policy)
