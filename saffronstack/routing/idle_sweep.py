"""Removal of idle functions: clients keep naming new ones, so state would grow without bound."""

from __future__ import annotations

from saffronstack.routing.membership import Membership
from saffronstack.routing.rate_estimator import RequestRates
from saffronstack.routing.state import Function
from saffronstack.routing.warm_pool import WarmPool

MIN_RECENT_REQUESTS = 0.05  # decayed request count below which an idle function is forgotten


class IdleSweep:
    """Removes state of removed workers and idle functions, once in each keep-alive.

    Attributes:
        next_sweep_s: When the next sweep is due.
    """

    __slots__ = ("_functions", "_keep_alive_s", "_membership", "_rates", "_warm_pool", "next_sweep_s")

    def __init__(
        self,
        functions: dict[int, Function],
        membership: Membership,
        warm_pool: WarmPool,
        rates: RequestRates,
        keep_alive_s: float,
    ) -> None:
        self._functions = functions
        self._membership = membership
        self._warm_pool = warm_pool
        self._rates = rates
        self._keep_alive_s = keep_alive_s
        self.next_sweep_s = 0.0

    def sweep(self, now: float) -> None:
        """Forget removed workers and idle functions."""
        self.next_sweep_s = now + self._keep_alive_s
        self._membership.forget_removed()
        for function_id, function in list(self._functions.items()):
            self._warm_pool.expire(now, function)
            function.load_rejected_until_s = {
                worker_id: end_s for worker_id, end_s in function.load_rejected_until_s.items() if end_s > now
            }
            if self._is_idle(now, function_id, function):
                del self._functions[function_id]
                self._rates.forget_function(function_id)

    def _is_idle(self, now: float, function_id: int, function: Function) -> bool:
        in_use = (
            function.warm_instances
            or function.waiting
            or function.warm_attempts_in_flight
            or function.loads_in_progress
            or function.load_rejected_until_s
        )
        return not in_use and self._rates.of_function(now, function_id) < MIN_RECENT_REQUESTS
