"""The daemon of one machine.

One thread owns the gateways. The threads of connections pass control requests to it and wait for a response
with a timeout.
"""

from __future__ import annotations

import queue
import secrets
import threading
import time
from collections.abc import Callable, Mapping, Sequence

import msgspec
import structlog

from saffronstack.daemon.processor_starvation import StarvationMonitor
from saffronstack.fleet.control.command_fence import CommandFence
from saffronstack.fleet.control.control_endpoint import ControlEndpoint, PendingRequest
from saffronstack.fleet.control.daemon_options import DaemonOptions
from saffronstack.fleet.control.desired_state import DesiredState, DesiredStateFile
from saffronstack.fleet.control.errors import InvalidCommandError, RejectedRequestError, UnusableReleaseError
from saffronstack.fleet.control.gateway_process import ProcessEvent, ProcessEventKind
from saffronstack.fleet.control.lease_observer import LeaseObserver
from saffronstack.fleet.control.managed_gateway import ManagedGateway
from saffronstack.fleet.control.messages import LEADER_LEASE, ControlRequest, DaemonStatus, GatewayCommand
from saffronstack.fleet.control.releases import find_release
from saffronstack.fleet.http_server import HttpServer, encode_error
from saffronstack.fleet.leases.quorum_read import QuorumRead
from saffronstack.runtime.threads import start_thread

log = structlog.get_logger("saffronstack.daemon")
RECONCILE_INTERVAL_S = 0.05
STOP_TIMEOUT_S = 2.0  # maximum wait for the daemon's thread to end
DRAIN_MARGIN_S = 5.0  # added to the longest drain timeout before a daemon that stops kills its gateways
EVENT_POLL_S = 0.1

# Maps the digest of a release that was rolled back to the digest of the release that runs instead.
Replacements = Mapping[str, str]


def no_replacements(quorum_read: QuorumRead) -> Replacements:
    """Return an empty mapping, so that no release is replaced."""
    return {}


class Daemon:
    """Runs the gateways of one machine by their desired state."""

    def __init__(
        self,
        options: DaemonOptions,
        read_leases: Callable[[], QuorumRead],
        replacements: Callable[[QuorumRead], Replacements] = no_replacements,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        """Read the desired state and bind the addresses.

        Args:
            options: The settings of the daemon and its gateways.
            read_leases: Reads the leases from the lease servers, within a bounded time.
            replacements: Returns, for a read of the leases, the replacements for releases that a rollout has
                rolled back.
            clock: Returns a monotonic time in seconds.

        Raises:
            OSError: An address can't be bound, or the state directory can't be used.
            ForeignDesiredStateError: The state directory belongs to another daemon.
        """
        self._options, self._replacements, self._clock = options, replacements, clock
        self._state_file = DesiredStateFile(options.state_directory, options.fleet, options.name)
        stored = self._state_file.read()
        self._desired = stored or DesiredState(options.fleet, options.name)
        self._fence = CommandFence(secrets.randbits(62) + 1, self._desired.token, stored is None)
        self._queue: queue.SimpleQueue[PendingRequest | ProcessEvent | QuorumRead | None] = (
            queue.SimpleQueue()
        )
        self._has_started_gateways, self._has_majority_read = False, False
        self._stopping = threading.Event()
        self._thread: threading.Thread | None = None
        self._lease_observer = LeaseObserver(read_leases, self._queue.put)
        self._starvation_monitor = StarvationMonitor(clock)
        self._gateways: dict[str, ManagedGateway] = {}
        try:
            for spec in options.gateways:
                self._gateways[spec.name] = ManagedGateway(spec, options, self._queue.put, clock)
            self._server = self._create_server()
        except OSError:
            self._close_gateways()
            raise

    def _create_server(self) -> HttpServer:
        endpoint = ControlEndpoint(self._options.fleet, self._validate, self._queue.put, self._status)
        host, _, port = self._options.address.rpartition(":")
        return HttpServer("daemon", host, int(port), endpoint.handle, self._clock)

    @property
    def address(self) -> tuple[str, int]:
        """Host and port on which the daemon accepts control requests."""
        return self._server.address

    def start(self) -> None:
        """Adopt running gateways of an earlier daemon, start the threads and accept control requests."""
        for gateway in self._gateways.values():
            gateway.adopt_running(self._stopping)
        if self._fence.is_token_lost:
            log.warning("desired state lost, commands are rejected until lease servers report the token")
        self._thread = start_thread("daemon", self._run)
        self._lease_observer.start()
        for gateway in self._gateways.values():
            gateway.start_metrics()
        self._server.start()

    def stop(self, terminate_gateways: bool) -> bool:
        """Stop accepting control requests and end the daemon's threads.

        Args:
            terminate_gateways: Whether to terminate the gateways too; otherwise they continue to serve.

        Returns:
            Whether all gateways that were to be terminated ended in time; late ones are killed.
        """
        self._server.stop()
        for gateway in self._gateways.values():
            gateway.stop_metrics()
        self._lease_observer.stop()
        self._stopping.set()
        self._queue.put(None)
        if self._thread is not None:
            self._thread.join(STOP_TIMEOUT_S)
        gateways_ended_in_time = self._terminate_gateways() if terminate_gateways else True
        self._close_gateways()
        return gateways_ended_in_time

    def _terminate_gateways(self) -> bool:
        """Terminate all gateways, then kill the late ones; return whether all ended in time."""
        gateways = self._gateways.values()
        for gateway in gateways:
            gateway.terminate_all()
        longest_drain_s = max((gateway.spec.drain_timeout_s for gateway in gateways), default=0.0)
        deadline_s = self._clock() + longest_drain_s + DRAIN_MARGIN_S
        while any(gateway.has_processes for gateway in gateways) and self._clock() < deadline_s:
            self._unpin_starved_processes()
            try:
                event = self._queue.get(timeout=EVENT_POLL_S)
            except queue.Empty:
                continue
            if isinstance(event, ProcessEvent) and event.kind is ProcessEventKind.ENDED:
                self._gateways[event.gateway].remove_process(event.incarnation)
        still_running = [gateway for gateway in gateways if gateway.has_processes]
        for gateway in still_running:
            gateway.kill_all()
        return not still_running

    def _close_gateways(self) -> None:
        for gateway in self._gateways.values():
            gateway.close()

    # ---- called on the threads of connections

    def _status(self) -> DaemonStatus:
        gateways = {name: gateway.status() for name, gateway in self._gateways.items()}
        fence = self._fence
        return DaemonStatus(
            self._options.name, fence.token, fence.is_token_lost, fence.incarnation, gateways
        )  # fmt: skip

    def _validate(self, commands: Sequence[GatewayCommand]) -> None:
        for command in commands:
            if command.gateway not in self._gateways:
                raise InvalidCommandError(f"{command.gateway!r} is none of this daemon's gateways")
            if command.release and not command.reload:
                try:
                    find_release(self._options.releases_directory, command.release)
                except OSError as error:
                    raise UnusableReleaseError(str(error)) from error

    # ---- called on the daemon's thread

    def _run(self) -> None:
        while not self._stopping.is_set():
            try:
                item = self._queue.get(timeout=RECONCILE_INTERVAL_S)
            except queue.Empty:
                item = None
            try:
                self._handle(item)
                for gateway in self._gateways.values():
                    gateway.reconcile_if_due()
                self._unpin_starved_processes()
            except Exception:
                log.exception("daemon step failed")

    def pids(self) -> list[int]:
        """Return the ids of all known gateway processes; may be called from any thread."""
        return [pid for gateway in self._gateways.values() for pid in gateway.pids()]

    def _unpin_starved_processes(self) -> None:
        for pid in self._starvation_monitor.check(self.pids()):
            owner = next((name for name, gateway in self._gateways.items() if pid in gateway.pids()), "")
            log.warning(
                "gateway process starved of CPU time, it may now use all CPUs", gateway=owner, pid=pid
            )

    def _handle(self, item: PendingRequest | ProcessEvent | QuorumRead | None) -> None:
        match item:
            case PendingRequest():
                self._respond(item)
            case ProcessEvent():
                self._gateways[item.gateway].handle(item)
            case QuorumRead():
                self._apply_quorum_read(item)
            case None:
                pass  # `stop` woke the thread, or the reconcile interval has passed

    def _respond(self, pending: PendingRequest) -> None:
        status, body = 503, b""  # the response if an unexpected error is raised below
        try:
            self._execute(pending.request)
            status, body = 200, msgspec.json.encode(self._status())
        except RejectedRequestError as error:
            status, body = 409, encode_error(str(error))
        except OSError as error:
            status, body = 503, encode_error(f"the desired state can't be stored: {error}")
        finally:
            pending.respond(status, body)

    def _execute(self, request: ControlRequest) -> None:
        """Store and execute the commands of a request.

        Raises:
            RejectedRequestError: The request is rejected.
            OSError: The desired state can't be stored.
        """
        self._fence.check(request.token, request.sequence, request.incarnation, bool(request.commands))
        changed = {command.gateway: command.release for command in request.commands if not command.reload}
        releases = self._desired.releases | changed
        if request.token > self._desired.token or releases != self._desired.releases:
            self._store(msgspec.structs.replace(self._desired, token=request.token, releases=releases))
        self._fence.accept(request.token, request.sequence)
        for command in request.commands:
            gateway = self._gateways[command.gateway]
            if command.reload:
                gateway.reload_settings()
                continue
            log.info(
                "desired release set", gateway=command.gateway, release=command.release, token=request.token
            )  # fmt: skip
            gateway.set_desired(command.release)

    def _store(self, desired: DesiredState) -> None:
        self._state_file.write(desired)
        self._desired = desired

    def _apply_quorum_read(self, quorum_read: QuorumRead) -> None:
        """Start the desired releases after the first read, and replace them after the first majority read.

        A rollout may have been rolled back while the machine was down, so the desired state on disk may name
        the new release. The lease servers name the old one, which the daemon then runs. Without a majority of
        lease servers, the daemon starts the releases that it ran before.
        """
        if self._has_majority_read or (self._has_started_gateways and not quorum_read.has_majority):
            return
        if quorum_read.has_majority:
            self._recover_token(quorum_read)
            self._replace_releases(self._replacements(quorum_read))
            self._has_majority_read = True
            self._lease_observer.stop()
        self._has_started_gateways = True
        for name, release in self._desired.releases.items():
            if name in self._gateways:
                self._gateways[name].set_desired(release)

    def _recover_token(self, quorum_read: QuorumRead) -> None:
        if not self._fence.is_token_lost:
            return
        leader_lease = quorum_read.leases.get(LEADER_LEASE)
        token = leader_lease.token if leader_lease is not None else 0
        self._store(msgspec.structs.replace(self._desired, token=token))
        self._fence.learn_token(token)
        log.info("fencing token recovered", token=token)

    def _replace_releases(self, replacements: Replacements) -> None:
        previous = self._desired.releases
        releases = {name: replacements.get(release, release) for name, release in previous.items()}
        if releases != previous:
            log.warning("desired release replaced by a rollback", replacements=replacements)
            self._store(msgspec.structs.replace(self._desired, releases=releases))
