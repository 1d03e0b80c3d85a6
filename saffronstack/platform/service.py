"""A gateway of the platform put together, and its ways to reread its configuration and to stop."""

from __future__ import annotations

import threading
import time
from collections.abc import Callable

from saffronstack.discovery.dns.endpoint_list import WorkerChanges
from saffronstack.discovery.dns.resolver import Resolver
from saffronstack.engine.engine import Engine
from saffronstack.net.write_buffer import WriteLoop
from saffronstack.platform.budget import divide_budget
from saffronstack.platform.calls import MARGIN_S, CallMaker
from saffronstack.platform.config import ConfigError, PlatformConfig, needing_restart, read
from saffronstack.platform.connection import FrontLimits
from saffronstack.platform.drain_admission import DrainAdmission
from saffronstack.platform.front import Front
from saffronstack.platform.router_state_check import RouterStateCheck
from saffronstack.platform.shutdown import limits_for
from saffronstack.routing.router import Router
from saffronstack.runtime.logs import KeyValueLogger, Logger
from saffronstack.runtime.threads import start_thread
from saffronstack.upstream.multiplexed.connection import ConnectionLimits
from saffronstack.upstream.multiplexed.connection_budget import ConnectionBudget
from saffronstack.upstream.multiplexed.dispatcher import MultiplexedDispatcher

NAME = "_work._tcp.fleet.local"  # what the directory lists the hosts under
IDLE_PART = 0.8  # of the told idle time a link stays open: a host that closes it first may cross a send
CONNECT_S = 0.25  # where the settings tell no time-out for connecting
ORDER_S = 10.0  # where the settings tell no time-out for orders
LOOK_S = 0.25  # how often beliefs are held against links
TELL_S = 10.0  # and how often the log may hear of what was found
# By the platform's terms connections come for 0.4 s after SIGTERM and requests for 0.2 s more; both may be
# read late. From then on it is quiet once nothing has come for longer than requests outlast connections.
MIN_DRAIN_S = 1.0
QUIET_S = 0.3
THREAD_END_S = 1.0  # what a thread may take to notice that it is to end


class Service:
    """Everything that one gateway process runs."""

    def __init__(
        self,
        config: PlatformConfig,
        clock: Callable[[], float] = time.monotonic,
        wall: Callable[[], float] = time.time,
        log: Logger | None = None,
    ) -> None:
        """OSError where the address can't be had, ConfigError where the list of the start can't be read.

        ``config`` stays in force until the end; `reread` moves the directory's address alone.
        """
        self.config = config
        self._clock, self._wall = clock, wall
        self._log = log or KeyValueLogger(config.name or "gateway")
        settings = config.settings
        self.budget = divide_budget(config.limits.sockets, config.limits.memory_mb, config.max_open_calls)
        self.membership, self._start_list = config.membership()
        self.engine = Engine(
            settings,
            config.seed,
            clock,
            deadline_grace_s=MARGIN_S,
            max_open_calls=self.budget.calls,
            log=self._log,
        )
        self.writer = WriteLoop(clock, self._log)
        self.hosts = MultiplexedDispatcher(
            ConnectionLimits(
                config.streams,
                settings.permissions.connect_timeout_s or CONNECT_S,
                config.idle_s * IDLE_PART,
            ),
            ConnectionBudget(self.budget.links),
            self.writer,
            self.engine.notify,
            clock,
            settings.load_command_timeout_s or ORDER_S,
            self._log,
        )
        self.directory = Resolver(self.membership, NAME, config.nameserver, self._changed, self._log, clock)
        self.beliefs = RouterStateCheck(max(cls.latency_objective_s for cls in settings.classes))
        self._stopping = threading.Event()  # set as the drain begins
        self._ready = False
        advice_s = settings.permissions.max_retry_after_s if settings.permissions.retry_after else 0.0
        self.front = Front(
            config.listen,
            self.engine,
            CallMaker(settings, self.engine.next_call_number),
            self.writer,
            FrontLimits(connections=self.budget.clients, silent_reserve=self.budget.client_reserve),
            clock,
            self._log,
            lambda: self._ready,
            advice_s,
            DrainAdmission(len(settings.classes)),
        )

    def start(self) -> None:
        """Start it: calls are taken from now on."""
        self.writer.start()
        self._changed(self._start_list)
        self.engine.start(self.hosts)
        self.hosts.start()
        self.directory.start()
        self._ready = True
        self.front.start()
        start_thread("beliefs", self._compare)

    def _compare(self) -> None:
        """Hold the module's beliefs against the links; the log hears of what was found, and not often."""
        told: dict[str, str] = {}
        told_s = self._clock()
        while not self._stopping.wait(LOOK_S):
            self.engine.inspect(self._look)
            summary = self.beliefs.summary()
            if summary != told and self._clock() - told_s >= TELL_S:
                told, told_s = summary, self._clock()
                self._log.info("beliefs against links", looks=self.beliefs.checks, **summary)

    def _look(self, now: float, router: Router) -> None:
        self.beliefs.check(now, router.workers, self.hosts.pools())

    def _changed(self, changes: WorkerChanges) -> None:
        """Links first, so that nothing leaves for a host that drains or is gone."""
        self.hosts.update_workers(changes.updated, changes.removed)
        self.engine.update_workers(changes.updated, changes.removed, self._wall())

    def reread(self, path: str) -> bool:
        """Ask the directory that a new configuration names; False, and no change, where it can't be used."""
        try:
            fresh = read(path)
        except ConfigError as error:
            self._log.warning("the new configuration can't be used, the old one stays", why=str(error))
            return False
        unapplied = needing_restart(self.config, fresh)
        if unapplied:
            self._log.warning("parts of the new configuration need a restart", parts=", ".join(unapplied))
        self.directory.set_server(fresh.nameserver)
        self._log.info("configuration read again", nameserver=fresh.nameserver)
        return True

    def stop(self, min_drain_s: float = MIN_DRAIN_S, quiet_s: float = QUIET_S) -> bool:
        """Shut down gracefully: take and answer what still comes until it is quiet, then write out what is
        left and end. While clients go on it stays, until the platform kills the process: calls that can't be
        answered before that are refused.

        Returns:
            Whether every call had its final answer by itself and all threads ended.
        """
        longest_s = max(cls.deadline_s for cls in self.config.settings.classes)
        limits = limits_for(longest_s, min_drain_s, quiet_s)
        self._stopping.set()  # not right before the kill, where it would hold up the clients' thread
        self.front.begin_shutdown(limits)
        clean = self.front.wait_drained(limits.run_until_s + THREAD_END_S)
        clean = clean and not self.front.open_calls
        clean = self.engine.stop(THREAD_END_S) and clean
        self.front.settled()
        while not self.front.wait_closed(LOOK_S):
            continue
        self.directory.stop()
        self.hosts.stop()
        return self.writer.stop() and clean

    def summary(self) -> dict[str, object]:
        """Figures for the log's last line."""
        counts = self.engine.statistics
        return {
            "calls": counts.calls,
            "endings": counts.final_answers,
            "repeats": counts.retries,
            "backstops": counts.deadline_answers,
            "faults": counts.faults,
            "peak_connections": self.front.peak_connections,
            "evicted": self.front.evicted,
            "overflowed": self.front.overflowed,
            "beliefs": self.beliefs.summary(),
        }
