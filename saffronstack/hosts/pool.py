"""One host's links, and the budget of descriptors that all hosts' links share."""

from __future__ import annotations

import math
import threading
from collections.abc import Callable

from saffronstack.engine.worker_registry import WorkerSpec
from saffronstack.hosts.items import Item
from saffronstack.hosts.link import Link, LinkLimits
from saffronstack.net.read_loop import ReadLoop
from saffronstack.net.write_buffer import WriteLoop


class LinkBudget:
    """How many links may be open at all hosts together."""

    def __init__(self, max_links: int) -> None:
        self.max_links = max_links
        self._lock = threading.Lock()
        self._in_use = 0

    @property
    def in_use(self) -> int:
        """Links that are open or closing."""
        return self._in_use

    def acquire(self, at_all_costs: bool = False) -> bool:
        """One more, unless there is no room; a host's first link is had at all costs."""
        with self._lock:
            if self._in_use >= self.max_links and not at_all_costs:
                return False
            self._in_use += 1
            return True

    def release(self) -> None:
        """One fewer."""
        with self._lock:
            self._in_use -= 1


class HostPool:
    """Submitted to by the decision thread alone; links leave it on the reader's thread."""

    def __init__(
        self,
        spec: WorkerSpec,
        limits: LinkLimits,
        budget: LinkBudget,
        writer: WriteLoop,
        reader: ReadLoop,
        clock: Callable[[], float],
        close_idle_link: Callable[[], None],
    ) -> None:
        """``close_idle_link`` closes a link somewhere that nothing uses, where the budget is spent."""
        self.spec = spec
        self.number = spec.number
        self.name = spec.name
        self.closed = spec.is_draining  # nothing new leaves, whatever was queued
        self.max_links = 1
        self._limits = limits
        self._budget = budget
        self._writer = writer
        self._reader = reader
        self._clock = clock
        self._close_idle_link = close_idle_link
        self._lock = threading.Lock()
        self._links: list[Link] = []
        self.answers = 0  # attempts that were served; written by the reader's thread
        self.broken = 0  # attempts that ended in an error, or without an answer

    @property
    def open(self) -> int:
        """Items without an end, on all its links."""
        return sum(link.open for link in self.links)

    @property
    def silent_s(self) -> float:
        """How long the host has said nothing on any link, a connection included, though an item waits; 0
        without one."""
        links = self.links
        oldest_s = min((link.oldest_sent_s for link in links), default=math.inf)
        last_received_s = max((link.last_received_s for link in links), default=0.0)
        return max(0.0, self._clock() - max(oldest_s, last_received_s))

    @property
    def links(self) -> list[Link]:
        """Those that stand now, least recently opened first."""
        with self._lock:
            return list(self._links)

    def submit(self, item: Item) -> bool:
        """Send it on a link that nothing else is open on, a new one, or the one with least on it.

        What breaks a link breaks all that is open on it, so calls share one only where the budget is spent.
        False: no link can be had, nothing was sent."""
        for _ in range(8):  # a link may close between its choice and the sending
            link = self._choose(item.tag)
            if link is None:
                return False
            if link.submit(item):
                return True
        return False

    def _choose(self, tag: str) -> Link | None:
        best: Link | None = None
        for link in reversed(self.links):
            if link.accepts(tag):
                if not link.open:
                    return link
                if best is None or link.open < best.open:
                    best = link
        if best is None or len(self._links) < self.max_links:
            best = self._open(at_all_costs=best is None) or best
        return best

    def _open(self, at_all_costs: bool) -> Link | None:
        if not self._budget.acquire():
            self._close_idle_link()
            if not at_all_costs:
                return None
            self._budget.acquire(at_all_costs=True)
        address = self.spec.host, self.spec.port
        link = Link(address, self._limits, self._writer, self._reader, self._clock, self._link_ended)
        with self._lock:
            self._links.append(link)
        try:
            link.start()
        except RuntimeError:  # no thread to be had
            self._link_ended(link)
            return None
        return link

    def _link_ended(self, link: Link) -> None:
        with self._lock:
            if link in self._links:
                self._links.remove(link)
        self._budget.release()

    def end(self) -> None:
        """The host is gone: links close once nothing is open on them."""
        self.closed = True
        for link in self.links:
            link.retire()
