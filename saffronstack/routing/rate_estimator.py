"""Exponentially decayed counters, and recent rates of this gateway's requests."""

from __future__ import annotations

import math

from saffronstack.routing.events import Request

# Seconds after which a counted request weighs 1/e. The counts are the only measure of a function's popularity
# and of the traffic that slow start scales with. A shorter window is noisy at a gateway with few requests.
RATE_WINDOW_S = 15.0


class DecayedCounter:
    """Counts events; the weight of each event decays exponentially."""

    __slots__ = ("count", "updated_s", "window_s")

    def __init__(self, window_s: float) -> None:
        self.window_s = window_s
        self.count = 0.0
        self.updated_s = -math.inf

    def value(self, now: float) -> float:
        """Return the count, decayed until ``now``."""
        return self.count * math.exp((self.updated_s - now) / self.window_s)

    def increment(self, now: float) -> float:
        """Count one event and return the new count."""
        self.count = self.count * math.exp((self.updated_s - now) / self.window_s) + 1
        self.updated_s = now
        return self.count

    def reset(self, now: float, count: float) -> None:
        """Replace the count."""
        self.count = count
        self.updated_s = now


class RequestRates:
    """Counts recent requests in total, by function and by tenant; all counts are 0 after a restart."""

    __slots__ = ("by_function", "by_tenant", "total")

    def __init__(self) -> None:
        self.total = DecayedCounter(RATE_WINDOW_S)
        self.by_function: dict[int, DecayedCounter] = {}
        self.by_tenant: dict[int, DecayedCounter] = {}

    def record(self, now: float, request: Request) -> None:
        """Count one request."""
        self.total.increment(now)
        by_function = self.by_function.get(request.function_id)
        if by_function is None:
            by_function = self.by_function[request.function_id] = DecayedCounter(RATE_WINDOW_S)
        by_function.increment(now)
        by_tenant = self.by_tenant.get(request.tenant)
        if by_tenant is None:
            by_tenant = self.by_tenant[request.tenant] = DecayedCounter(RATE_WINDOW_S)
        by_tenant.increment(now)

    def of_function(self, now: float, function_id: int) -> float:
        """Return the decayed number of recent requests for a function."""
        counter = self.by_function.get(function_id)
        return 0.0 if counter is None else counter.value(now)

    def of_tenant(self, now: float, tenant: int) -> float:
        """Return the decayed number of recent requests of a tenant."""
        counter = self.by_tenant.get(tenant)
        return 0.0 if counter is None else counter.value(now)

    def forget_function(self, function_id: int) -> None:
        """Drop the counter of a function that is no longer requested."""
        self.by_function.pop(function_id, None)
