"""Warm pool: idle loaded instances of each function, the most recently freed one first.

Using the most recently freed instance lets the others expire, so that few instances serve a function. An
entry is dropped after the keep-alive, when a response shows that the worker had to load the function, or when
an attempt at the worker fails.
"""

from __future__ import annotations

from bisect import insort

from saffronstack.routing.eligibility import Eligibility
from saffronstack.routing.settings import Settings
from saffronstack.routing.state import Function, PendingRequest, WarmInstance, Worker

DEFAULT_KEEP_ALIVE_S = 8.0  # assumed lifetime of an idle instance if the settings give none
# Maximum number of entries of one function; the most recently freed ones are kept. Each choice scans the
# entries, and thousands of entries at an ineligible worker made each request slow in a burst.
MAX_ENTRIES = 64


def keep_alive_s(settings: Settings) -> float:
    """Return how long an idle instance is assumed to stay loaded."""
    return settings.keep_alive_s or DEFAULT_KEEP_ALIVE_S


def _freed_s(instance: WarmInstance) -> float:
    return instance[1]


class WarmPool:
    """Manages the idle loaded instances of all functions; the entries are in `Function.warm_instances`."""

    __slots__ = ("_eligibility", "_functions", "_keep_alive_s")

    def __init__(self, functions: dict[int, Function], eligibility: Eligibility, keep_alive_s: float) -> None:
        self._functions = functions
        self._eligibility = eligibility
        self._keep_alive_s = keep_alive_s

    def take(
        self, now: float, function: Function, pending: PendingRequest, usable_fraction: float
    ) -> WarmInstance | None:
        """Take the most recently freed instance at an eligible worker below its concurrency limit.

        If there is none, take one at a worker to which this request lost its connection: the instance may
        still be loaded, and a load takes longer than a retry.

        Args:
            now: Current time in seconds.
            function: Function of the request; expired entries are dropped.
            pending: The request.
            usable_fraction: Fraction of a worker's concurrency limit that the request may use.

        Returns:
            The instance, or None if no instance can be used.
        """
        instances = function.warm_instances
        del instances[:-MAX_ENTRIES]
        retry_index = -1
        for index in range(len(instances) - 1, -1, -1):
            worker, freed_s = instances[index]
            if now - freed_s > self._keep_alive_s:
                del instances[: index + 1]
                retry_index = max(-1, retry_index - index - 1)
                break
            has_capacity = worker.warm_attempts_in_flight < worker.concurrency_limit * usable_fraction
            if has_capacity and self._eligibility.is_eligible(now, pending, worker):
                return instances.pop(index)
            if (
                pending.attempts
                and retry_index < 0
                and self._eligibility.can_retry_after_disconnect(now, pending, worker)
            ):
                retry_index = index
        return None if retry_index < 0 else instances.pop(retry_index)

    def release(self, now: float, function: Function, worker: Worker, count: int) -> None:
        """Add instances, or concurrency slots of one instance, that have become free."""
        function.warm_instances.extend([(worker, now)] * count)

    def restore(self, function: Function, worker: Worker, freed_s: float) -> None:
        """Put an instance back into the pool, in order of the time at which it became free."""
        insort(function.warm_instances, (worker, freed_s), key=_freed_s)

    def discard_older(self, function: Function, worker: Worker, freed_until_s: float) -> None:
        """Drop the instances at a worker that became free at or before ``freed_until_s``."""
        instances = function.warm_instances
        instances[:] = [entry for entry in instances if entry[0] is not worker or entry[1] > freed_until_s]

    def drop_instances(self, worker: Worker) -> None:
        """Drop all instances of all functions at a worker."""
        for function in self._functions.values():
            function.warm_instances = [entry for entry in function.warm_instances if entry[0] is not worker]

    def expire(self, now: float, function: Function) -> None:
        """Drop the instances of a function that have been idle for longer than the keep-alive."""
        function.warm_instances = [
            entry for entry in function.warm_instances if now - entry[1] <= self._keep_alive_s
        ]
