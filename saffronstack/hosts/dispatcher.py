"""Carries out the engine's actions on the hosts' links."""

from __future__ import annotations

import threading
from collections.abc import Callable, Iterable
from itertools import count

from saffronstack.engine.calls import Call, FunctionSpec
from saffronstack.engine.dispatch import AttemptResult, CommandResult, WorkerObservation
from saffronstack.engine.worker_registry import WorkerSpec
from saffronstack.hosts import codec
from saffronstack.hosts.deadlines import Deadlines
from saffronstack.hosts.items import Attempt, Item, Order, Tell
from saffronstack.hosts.link import LinkLimits
from saffronstack.hosts.pool import HostPool, LinkBudget
from saffronstack.net.read_loop import ReadLoop
from saffronstack.net.write_buffer import WriteLoop
from saffronstack.routing.events import AttemptOutcome, Result
from saffronstack.runtime.logs import KeyValueLogger, Logger

ORDER = 0  # the call number that orders have among what is out; calls count from 1


class HostDispatcher:
    """Pools by host number. `changed` is called before the engine hears of the same change, so that nothing
    new leaves for a host that drains or is gone."""

    def __init__(
        self,
        limits: LinkLimits,
        budget: LinkBudget,
        writer: WriteLoop,
        tell: Tell,
        clock: Callable[[], float],
        order_timeout_s: float,
        log: Logger | None = None,
    ) -> None:
        self._limits = limits
        self._budget = budget
        self._writer = writer
        self._tell = tell
        self._clock = clock
        self._order_timeout_s = order_timeout_s
        self._lock = threading.Lock()
        self._pools: dict[int, HostPool] = {}
        self._out: dict[tuple[int, int], Item] = {}
        self._orders = count(1)
        self.deadlines = Deadlines(clock, self)
        self.reader = ReadLoop(clock, log or KeyValueLogger("hosts"))

    def start(self) -> None:
        """Start its threads."""
        self.deadlines.start()
        self.reader.start()

    def stop(self) -> None:
        """End every pool and its threads."""
        self.deadlines.stop()
        with self._lock:
            pools, self._pools = list(self._pools.values()), {}
        for pool in pools:
            pool.end()
            for link in pool.links:
                link.abort()
        self.reader.stop()

    def changed(self, specs: Iterable[WorkerSpec], gone: Iterable[int]) -> None:
        """Hosts that are new or changed, and numbers of those that are gone. A number that returns at
        another address is another host: nothing of the old one serves it."""
        ended = []
        with self._lock:
            for number in gone:
                pool = self._pools.pop(number, None)
                if pool is not None:
                    ended.append(pool)
            for spec in specs:
                known = self._pools.get(spec.number)
                if known is not None and (known.spec.host, known.spec.port) != (spec.host, spec.port):
                    ended.append(known)
                    known = None
                if known is None:
                    known = HostPool(
                        spec,
                        self._limits,
                        self._budget,
                        self._writer,
                        self.reader,
                        self._clock,
                        self._close_idle_link,
                    )
                    self._pools[spec.number] = known
                known.spec = spec
                known.closed = spec.is_draining
            max_links = max(1, min(self._limits.streams, self._budget.max_links // max(1, len(self._pools))))
            for pool in self._pools.values():
                pool.max_links = max_links
        for pool in ended:
            pool.end()

    @property
    def out(self) -> int:
        """Attempts and orders without an end."""
        return len(self._out)

    @property
    def links(self) -> int:
        """Links that are open or closing."""
        return self._budget.in_use

    def pools(self) -> dict[int, HostPool]:
        """The hosts that are held, with what passed on their links."""
        with self._lock:
            return dict(self._pools)

    def _close_idle_link(self) -> None:
        """Close one link that nothing uses, at the host with most links."""
        with self._lock:
            pools = sorted(self._pools.values(), key=lambda pool: -len(pool.links))
        for pool in pools:
            for link in pool.links:
                if not link.open:
                    link.retire()
                    return

    # ---- the engine's dispatcher

    def send(self, call: Call, attempt: int, worker_id: int, timeout_s: float) -> None:
        """Start an attempt."""
        deadline_s = call.deadline_s
        if timeout_s > 0:
            deadline_s = min(deadline_s, self._clock() + timeout_s)
        pool = self._pools.get(worker_id)
        if pool is None:
            outcome = AttemptOutcome(
                call.number, attempt, worker_id, Result.NOT_STARTED, 0.0, call.is_finished
            )
            self._tell(AttemptResult(call, outcome, reason="the host has left the list"))
            return
        item = Attempt(call, attempt, pool, deadline_s, self._ended, self._clock)
        self._submit((call.number, attempt), item, pool)

    def _submit(self, key: tuple[int, int], item: Item, pool: HostPool) -> None:
        self._out[key] = item
        if not pool.submit(item):
            item.on_failed(Result.NOT_STARTED, "no link to the host can be had")
            return
        self.deadlines.set(item.deadline_s, key)  # once a link has it: one that has none can't be given up

    def _ended(self, what: AttemptResult | CommandResult | WorkerObservation) -> None:
        if isinstance(what, AttemptResult):
            self._out.pop((what.call.number, what.outcome.attempt), None)
        self._tell(what)

    def cancel(self, call: Call, attempt: int) -> None:
        """Stop waiting for an attempt; the host is told."""
        self._give_up((call.number, attempt), Result.CANCELLED, "cancelled")

    def awaits(self, key: tuple[int, int]) -> bool:
        """Whether it has no end yet."""
        return key in self._out

    def expire(self, key: tuple[int, int]) -> None:
        """It is overdue, unless it has ended already."""
        self._give_up(key, Result.TIMEOUT, "no answer in time")

    def _give_up(self, key: tuple[int, int], result: Result, reason: str) -> None:
        item = self._out.get(key)
        if item is not None and item.link is not None:
            item.link.give_up(item, result, reason)

    def check_health(self, worker_id: int) -> None:
        """Ask whether the connection works; ends in one `CommandResult`."""
        self._order(worker_id, None, 0)

    def load_function(self, worker_id: int, function: FunctionSpec, instances: int) -> None:
        """Order instances; ends in one `CommandResult`."""
        self._order(worker_id, function, instances)

    def _order(self, worker_id: int, function: FunctionSpec | None, copies: int) -> None:
        pool = self._pools.get(worker_id)
        if pool is None:
            number = None if function is None else function.number
            self._tell(CommandResult(worker_id, Result.CONNECT_FAILED, 0.0, number))
            return
        ticket = next(self._orders)
        key = ORDER, ticket
        deadline_s = self._clock() + self._order_timeout_s

        def ended(what: AttemptResult | CommandResult | WorkerObservation) -> None:
            self._out.pop(key, None)
            self._tell(what)

        order = Order(f"order-{ticket}", function, copies, pool, deadline_s, ended, self._clock)
        self._submit(key, order, pool)

    def unload_function(self, worker_id: int, function: FunctionSpec) -> None:
        """Order idle copies out; no end is told."""
        pool = self._pools.get(worker_id)
        if pool is None or pool.closed:
            return
        for link in pool.links:
            if link.post(codec.unload_line(function.name)):
                return
