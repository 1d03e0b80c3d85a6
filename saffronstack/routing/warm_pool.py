"""Warm pool: idle loaded instances of each function, the most recently freed one first.

Going to the freshest instance lets the others expire, and few instances serve a function. Entries end with
the keep-alive, when a response shows that the worker had to load, and when an attempt there fails.
"""

from __future__ import annotations

from bisect import insort

from saffronstack.routing.eligibility import Eligibility
from saffronstack.routing.settings import Settings
from saffronstack.routing.state import Function, PendingRequest, WarmInstance, Worker

DEFAULT_KEEP_ALIVE_S = 8.0  # life of an idle instance where the settings give none
# Entries of one function that are kept, the freshest ones: each choice walks them, and thousands at a worker
# that cannot be used made a flood of requests slow.
MAX_ENTRIES = 64


def keep_alive_s(settings: Settings) -> float:
    """Return how long an idle instance is taken to stay loaded."""
    return settings.keep_alive_s or DEFAULT_KEEP_ALIVE_S


def _freed_s(instance: WarmInstance) -> float:
    return instance[1]


class WarmPool:
    """Takes instances from the pool and returns them; the entries lie in `Function.warm_instances`."""

    __slots__ = ("_eligibility", "_functions", "_keep_alive_s")

    def __init__(self, functions: dict[int, Function], eligibility: Eligibility, keep_alive_s: float) -> None:
        self._functions = functions
        self._eligibility = eligibility
        self._keep_alive_s = keep_alive_s

    def take(
        self, now: float, function: Function, pending: PendingRequest, usable_fraction: float
    ) -> WarmInstance | None:
        """Take the freshest instance at an eligible worker below its concurrency limit.

        Where there is none, takes one at a worker where the request's own connection was lost: such a loss
        says nothing of the instance, and a load takes longer.

        Args:
            now: Present time in seconds.
            function: Function of the request; its expired entries are dropped.
            pending: The request.
            usable_fraction: Fraction of a worker's concurrency limit that the request may use.

        Returns:
            The instance, or None where no instance can be used.
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
        """Add instances, or concurrency slots of one, that are free from now on."""
        function.warm_instances.extend([(worker, now)] * count)

    def restore(self, function: Function, worker: Worker, freed_s: float) -> None:
        """Return an instance that an attempt took and that stands as it was freed before."""
        insort(function.warm_instances, (worker, freed_s), key=_freed_s)

    def discard_older(self, function: Function, worker: Worker, freed_until_s: float) -> None:
        """Drop the instances at a worker that were freed up to this time."""
        instances = function.warm_instances
        instances[:] = [entry for entry in instances if entry[0] is not worker or entry[1] > freed_until_s]

    def drop_instances(self, worker: Worker) -> None:
        """Drop all instances at a worker."""
        for function in self._functions.values():
            function.warm_instances = [entry for entry in function.warm_instances if entry[0] is not worker]

    def expire(self, now: float, function: Function) -> None:
        """Drop the instances of a function that have passed the keep-alive."""
        function.warm_instances = [
            entry for entry in function.warm_instances if now - entry[1] <= self._keep_alive_s
        ]
