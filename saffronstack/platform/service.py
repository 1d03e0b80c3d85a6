"""The service of one gateway process: assembly, start, configuration reload and shutdown."""

from __future__ import annotations

import threading
import time
from collections.abc import Callable

from saffronstack.discovery.dns.endpoint_list import WorkerChanges
from saffronstack.discovery.dns.resolver import Resolver
from saffronstack.engine.engine import Engine
from saffronstack.net.write_buffer import WriteLoop
from saffronstack.platform.budget import divide_budget
from saffronstack.platform.calls import DEADLINE_MARGIN_S, CallBuilder
from saffronstack.platform.config import ConfigError, PlatformConfig, parts_needing_restart, read_config
from saffronstack.platform.connection import FrontendLimits
from saffronstack.platform.drain_admission import DrainAdmission
from saffronstack.platform.front import Frontend
from saffronstack.platform.router_state_check import RouterStateCheck
from saffronstack.platform.shutdown import shutdown_limits_for
from saffronstack.platform.used_tags import TagMemory
from saffronstack.routing.router import Router
from saffronstack.runtime.logs import KeyValueLogger, Logger
from saffronstack.runtime.threads import start_thread
from saffronstack.upstream.multiplexed.connection import ConnectionLimits
from saffronstack.upstream.multiplexed.connection_budget import ConnectionBudget
from saffronstack.upstream.multiplexed.dispatcher import MultiplexedDispatcher

WORKER_SERVICE_NAME = "_work._tcp.fleet.local"  # DNS service name of the workers
# Fraction of the configured idle time after which the gateway closes an idle connection to a worker. If the
# worker closed it first, a request sent at that time would be lost.
IDLE_TIMEOUT_FRACTION = 0.8
DEFAULT_CONNECT_TIMEOUT_S = 0.25  # used if the settings have no connect timeout
DEFAULT_LOAD_COMMAND_TIMEOUT_S = 10.0  # used if the settings have no timeout of load commands
COMPARE_INTERVAL_S = 0.25  # interval of comparing the router's state with the connections
COMPARE_LOG_INTERVAL_S = 10.0  # minimum time between two log lines on the result
# By the platform's contract, clients open connections until 0.4 s after SIGTERM and send requests for 0.2 s
# more. MIN_DRAIN_S leaves time to read both late. After it, clients count as quiet once nothing arrives for
# QUIET_S, which is longer than those 0.2 s.
MIN_DRAIN_S = 1.0
QUIET_S = 0.3
THREAD_STOP_TIMEOUT_S = 1.0  # time limit for a thread to end after it is told to stop


class Service:
    """All parts of one gateway process."""

    def __init__(
        self,
        config: PlatformConfig,
        clock: Callable[[], float] = time.monotonic,
        wall_clock: Callable[[], float] = time.time,
        log: Logger | None = None,
    ) -> None:
        """Assemble the gateway and bind its listener.

        ``config`` applies until the gateway stops; `reload_config` changes only the nameserver's address.

        Raises:
            OSError: The listen address is not available.
            ConfigError: The initial endpoint list is malformed.
        """
        self.config = config
        self._clock, self._wall_clock = clock, wall_clock
        self._log = log or KeyValueLogger(config.name or "gateway")
        settings = config.settings
        self.budget = divide_budget(config.limits.sockets, config.limits.memory_mb, config.max_open_calls)
        self.endpoint_list, self._initial_changes = config.initial_endpoint_list()
        self.engine = Engine(
            settings,
            config.seed,
            clock,
            deadline_grace_s=DEADLINE_MARGIN_S,
            max_open_calls=self.budget.calls,
            log=self._log,
        )
        self.writer = WriteLoop(clock, self._log)
        self.dispatcher = MultiplexedDispatcher(
            ConnectionLimits(
                config.streams,
                settings.permissions.connect_timeout_s or DEFAULT_CONNECT_TIMEOUT_S,
                config.idle_s * IDLE_TIMEOUT_FRACTION,
            ),
            ConnectionBudget(self.budget.links),
            self.writer,
            self.engine.notify,
            clock,
            settings.load_command_timeout_s or DEFAULT_LOAD_COMMAND_TIMEOUT_S,
            self._log,
        )
        self.resolver = Resolver(
            self.endpoint_list, WORKER_SERVICE_NAME, config.nameserver, self._apply_changes, self._log, clock
        )
        self.router_state_check = RouterStateCheck(
            max(request_class.latency_objective_s for request_class in settings.classes)
        )
        self._stopping = threading.Event()  # set when the drain begins
        self._ready = False
        max_retry_after_s = (
            settings.permissions.max_retry_after_s if settings.permissions.retry_after else 0.0
        )
        self.frontend = Frontend(
            config.listen,
            self.engine,
            CallBuilder(settings, self.engine.next_call_number),
            self.writer,
            FrontendLimits(
                max_connections=self.budget.clients, max_silent_at_limit=self.budget.client_reserve
            ),
            clock,
            self._log,
            lambda: self._ready,
            max_retry_after_s,
            DrainAdmission(len(settings.classes)),
            TagMemory(self.budget.tag_entries),
        )

    def start(self) -> None:
        """Start all threads; the gateway accepts calls from now on."""
        self.writer.start()
        self._apply_changes(self._initial_changes)
        self.engine.start(self.dispatcher)
        self.dispatcher.start()
        self.resolver.start()
        self._ready = True
        self.frontend.start()
        start_thread("beliefs", self._run_comparison)

    def _run_comparison(self) -> None:
        """Compare the router's state with the worker connections periodically, and log the differences."""
        last_summary: dict[str, str] = {}
        last_logged_s = self._clock()
        while not self._stopping.wait(COMPARE_INTERVAL_S):
            self.engine.inspect(self._compare_once)
            summary = self.router_state_check.summary()
            if summary != last_summary and self._clock() - last_logged_s >= COMPARE_LOG_INTERVAL_S:
                last_summary, last_logged_s = summary, self._clock()
                self._log.info(
                    "router state differs from worker connections",
                    looks=self.router_state_check.checks,
                    **summary,
                )

    def _compare_once(self, now: float, router: Router) -> None:
        self.router_state_check.check(now, router.workers, self.dispatcher.pools())

    def _apply_changes(self, changes: WorkerChanges) -> None:
        """Pass changes of the endpoint list to the dispatcher, then to the engine.

        With this order no request is sent to a worker that is draining or removed.
        """
        self.dispatcher.update_workers(changes.updated, changes.removed)
        self.engine.update_workers(changes.updated, changes.removed, self._wall_clock())

    def reload_config(self, path: str) -> bool:
        """Reload the configuration file and use its nameserver from now on.

        Returns:
            False if the file can't be used; then nothing changes.
        """
        try:
            new_config = read_config(path)
        except ConfigError as error:
            self._log.warning(
                "the new configuration can't be used; the current one stays in force", why=str(error)
            )
            return False
        changed_parts = parts_needing_restart(self.config, new_config)
        if changed_parts:
            self._log.warning("parts of the new configuration need a restart", parts=", ".join(changed_parts))
        self.resolver.set_server(new_config.nameserver)
        self._log.info("configuration reloaded", nameserver=new_config.nameserver)
        return True

    def stop(self, min_drain_s: float = MIN_DRAIN_S, quiet_s: float = QUIET_S) -> bool:
        """Shut down gracefully: serve requests until clients are quiet, then write the last answers and exit.

        While clients send requests, the gateway keeps running until the platform kills it. It rejects calls
        that can't be answered before the kill deadline.

        Returns:
            Whether every call got its final answer before the engine stopped, and all threads ended.
        """
        longest_s = max(request_class.deadline_s for request_class in self.config.settings.classes)
        limits = shutdown_limits_for(longest_s, min_drain_s, quiet_s)
        # Set early: a thread that ends right before the kill would delay the clients' thread.
        self._stopping.set()
        self.frontend.begin_shutdown(limits)
        clean = self.frontend.wait_drained(limits.run_until_s + THREAD_STOP_TIMEOUT_S)
        clean = clean and not self.frontend.open_calls
        clean = self.engine.stop(THREAD_STOP_TIMEOUT_S) and clean
        self.frontend.notify_calls_finished()
        while not self.frontend.wait_closed(COMPARE_INTERVAL_S):
            continue
        self.resolver.stop()
        self.dispatcher.stop()
        return self.writer.stop() and clean

    def summary(self) -> dict[str, object]:
        """Return the fields of the last log line."""
        counts = self.engine.statistics
        return {
            "calls": counts.calls,
            "endings": counts.final_answers,
            "repeats": counts.retries,
            "backstops": counts.deadline_answers,
            "faults": counts.faults,
            "peak_connections": self.frontend.peak_connections,
            "evicted": self.frontend.evicted,
            "overflowed": self.frontend.over_limit_accepted,
            "beliefs": self.router_state_check.summary(),
        }
