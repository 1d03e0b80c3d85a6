"""Runs one gateway of a daemon: its listening socket, its processes and its reconciler."""

from __future__ import annotations

import contextlib
import pathlib
import signal
import threading
from collections.abc import Callable, Iterable

import structlog

from saffronstack.daemon.listener_handover import request_listener
from saffronstack.fleet.control import process_launcher
from saffronstack.fleet.control.daemon_options import DaemonOptions, GatewaySpec
from saffronstack.fleet.control.errors import UnusableReleaseError
from saffronstack.fleet.control.gateway_actions import (
    AllowServing,
    Discard,
    Kill,
    ProcessAction,
    ServeAfter,
    StartProcess,
    Terminate,
)
from saffronstack.fleet.control.gateway_process import GatewayProcess, ProcessEvent, ProcessEventKind
from saffronstack.fleet.control.gateway_reconciler import GatewayReconciler
from saffronstack.fleet.control.messages import GatewayStatus
from saffronstack.fleet.control.metrics_poller import MetricsPoller
from saffronstack.fleet.control.process_discovery import find_serving_process
from saffronstack.fleet.control.releases import find_release
from saffronstack.runtime.threads import start_thread

log = structlog.get_logger("saffronstack.daemon")


class ManagedGateway:
    """One gateway of a daemon.

    The daemon's thread uses it; ``status`` and ``pids`` may be called from any thread.
    """

    def __init__(
        self,
        spec: GatewaySpec,
        options: DaemonOptions,
        report: Callable[[ProcessEvent], None],
        clock: Callable[[], float],
    ) -> None:
        """Bind the gateway's address.

        Args:
            spec: The settings of the gateway.
            options: The settings of the daemon.
            report: Called with events of the gateway's processes, on threads that watch them.
            clock: Returns a monotonic time in seconds.

        Raises:
            OSError: The address can't be bound.
        """
        self.spec = spec
        self._options, self._report, self._clock = options, report, clock
        self._mark = options.process_mark(spec.name)
        self._log_path = pathlib.Path(options.state_directory) / f"{spec.name}.log"
        self._reconciler = GatewayReconciler(spec.drain_timeout_s, options.start_timeout_s)
        self._processes: dict[int, GatewayProcess] = {}  # by number of the incarnation
        # Incarnations that were started before a reload and do not serve yet.
        self._reload_when_serving: set[int] = set()
        self._listener = process_launcher.bind_listener(spec.listen)
        self._metrics_poller = MetricsPoller(spec.listen, clock)

    @property
    def has_processes(self) -> bool:
        """Whether any process of this gateway is known to run."""
        return bool(self._processes)

    def start_metrics(self) -> None:
        """Start polling the metrics."""
        self._metrics_poller.start()

    def stop_metrics(self) -> None:
        """Stop polling the metrics, without waiting for a poll in progress."""
        self._metrics_poller.stop()

    def join_metrics(self, timeout_s: float) -> None:
        """Wait for a metrics poll in progress to end, for ``timeout_s`` seconds at most."""
        self._metrics_poller.join(timeout_s)

    def adopt_running(self, stopping: threading.Event) -> None:
        """Adopt the serving process of an earlier daemon, if there is one."""
        process = find_serving_process(self._mark, self.spec.listen, self._clock, stopping)
        if process is None:
            return
        listener = request_listener(f"{self._mark}/{process.release}", process.pid)
        if listener is not None:  # keeps the connections in its accept queue
            self._listener.close()
            self._listener = listener
        incarnation = self._reconciler.adopt(self._clock(), process.release)
        self._processes[incarnation] = process
        self._metrics_poller.watch(incarnation, process)
        start_thread(
            "gateway-end",
            lambda: process_launcher.report_end(self.spec.name, incarnation, process, self._report),
        )
        log.info(
            "gateway process adopted", gateway=self.spec.name, pid=process.pid, release=process.release
        )  # fmt: skip

    def set_desired(self, release: str) -> None:
        """Set the digest of the release to run; an empty digest stops the gateway."""
        self._carry_out(self._reconciler.set_desired(self._clock(), release))

    def reload_settings(self) -> None:
        """Make the current process reload its settings now, and the standby processes once they serve."""
        current = self._reconciler.observe().incarnation
        self._reload_when_serving = set(self._processes) - {current}
        process = self._processes.get(current)
        if process is not None:
            process.send_signal(signal.SIGHUP)

    def handle(self, event: ProcessEvent) -> None:
        """Handle an event of one of the gateway's processes."""
        now_s = self._clock()
        match event.kind:
            case ProcessEventKind.PREPARED:
                self._carry_out(self._reconciler.on_prepared(now_s, event.incarnation))
            case ProcessEventKind.SERVING:
                self._carry_out(self._reconciler.on_serving(now_s, event.incarnation))
                process = self._processes.get(event.incarnation)
                if process is not None:
                    self._metrics_poller.watch(event.incarnation, process)
                    if event.incarnation in self._reload_when_serving:
                        process.send_signal(signal.SIGHUP)
                    self._reload_when_serving.discard(event.incarnation)
            case ProcessEventKind.ENDED:
                self.remove_process(event.incarnation)
                self._carry_out(
                    self._reconciler.on_ended(now_s, event.incarnation, event.reason, event.has_crashed)
                )
                log.info(
                    "gateway process ended", gateway=self.spec.name, incarnation=event.incarnation,
                    reason=event.reason,
                )  # fmt: skip

    def reconcile_if_due(self) -> None:
        """Reconcile if a deadline has passed or a change of release is in progress."""
        now_s = self._clock()
        if now_s >= self._reconciler.next_deadline_s() or self._reconciler.successor is not None:
            self._carry_out(self._reconciler.reconcile(now_s))

    def status(self) -> GatewayStatus:
        """Return the observed state and the metrics of the current process."""
        observed = self._reconciler.observe()
        process = self._processes.get(observed.incarnation)
        return GatewayStatus(
            desired_release=observed.desired_release,
            running_release=observed.running_release,
            phase=observed.phase,
            incarnation=observed.incarnation,
            restarts=observed.restarts,
            failed_release=observed.failed_release,
            last_error=observed.last_error,
            pid=process.pid if process is not None else 0,
            metrics=self._metrics_poller.latest(observed.incarnation),
        )

    def terminate_all(self) -> None:
        """Terminate the processes that may serve, and kill the standby processes.

        A standby process has opened nothing. SIGTERM would not end it, since it waits for a command.
        """
        for incarnation, process in self._processes.items():
            is_standby = self._reconciler.is_standby(incarnation)
            process.send_signal(signal.SIGKILL if is_standby else signal.SIGTERM)

    def kill_all(self) -> None:
        """Kill all processes of the gateway."""
        for process in self._processes.values():
            process.send_signal(signal.SIGKILL)

    def pids(self) -> list[int]:
        """Return the process ids of the gateway; may be called from any thread."""
        return [process.pid for process in list(self._processes.values())]

    def remove_process(self, incarnation: int) -> None:
        """Remove the process of an incarnation that has ended."""
        self._processes.pop(incarnation, None)
        self._reload_when_serving.discard(incarnation)

    def close(self) -> None:
        """Close the listening socket."""
        self._listener.close()

    def _carry_out(self, actions: Iterable[ProcessAction]) -> None:
        for action in actions:
            if isinstance(action, StartProcess):
                self._start(action)
                continue
            process = self._processes.get(action.incarnation)
            if process is not None:
                self._apply_action(process, action)

    def _apply_action(
        self, process: GatewayProcess, action: AllowServing | ServeAfter | Terminate | Kill | Discard
    ) -> None:
        match action:
            case AllowServing():
                process.allow_serving()
            case ServeAfter(predecessor=predecessor):
                if predecessor in self._processes:
                    process.serve_after(self._processes[predecessor])
            case Terminate():
                # An adopted process that did not hand over its listener listens on a socket of its own. This
                # socket then queues new connections until the successor serves.
                with contextlib.suppress(OSError):
                    self._listener.listen(process_launcher.LISTEN_BACKLOG)
                process.send_signal(signal.SIGTERM)
            case Discard():
                process.send_signal(signal.SIGKILL)
            case Kill() if not process.has_ended():  # the daemon may not have handled its end yet
                log.warning("gateway process killed", gateway=self.spec.name, incarnation=action.incarnation)
                process.send_signal(signal.SIGKILL)

    def _start(self, action: StartProcess) -> None:
        name = self.spec.name
        try:
            release = find_release(self._options.releases_directory, action.release)
            config = self.spec.config.replace("{release}", release.path)
            launch_spec = process_launcher.LaunchSpec(
                gateway=name,
                incarnation=action.incarnation,
                release=action.release,
                command=[*release.command, "--config", config],
                mark=self._mark,
                log_path=self._log_path,
            )
            process = process_launcher.launch(launch_spec, self._listener, self._report)
            self._processes[action.incarnation] = process
        except (UnusableReleaseError, OSError) as error:
            self._report(ProcessEvent(name, action.incarnation, ProcessEventKind.ENDED, str(error)))
