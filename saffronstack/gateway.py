"""Assembles, starts, reloads and stops a gateway: engine, worker connections, ledger, HTTP server."""

from __future__ import annotations

import pathlib
import socket
import time
from collections.abc import Callable

import msgspec
import structlog

from saffronstack.config.build import (
    Functions,
    build_configured_workers,
    build_settings,
    build_worker_specs,
    number_localities,
)
from saffronstack.config.schema import Config, Worker
from saffronstack.daemon.process_group import ProcessGroup
from saffronstack.deferred.deferred_calls import DeferredCalls
from saffronstack.deferred.ledger import Ledger, open_ledger, read_call_operations
from saffronstack.discovery.files.file_watcher import FileWatcher
from saffronstack.discovery.files.merging import WorkerChanges
from saffronstack.durable.file_operations import FileOperations
from saffronstack.engine.decision_recorder import DecisionRecorder
from saffronstack.engine.engine import Engine
from saffronstack.engine.identifiers import worker_number
from saffronstack.gateway_components import (
    Clocks,
    make_file_discovery,
    make_pool_limits,
    make_server_limits,
    open_metering,
    open_operations,
)
from saffronstack.invoke.app import AccessKeys, App
from saffronstack.invoke.operation_forwarding import OperationForwarder
from saffronstack.invoke.pages import Pages
from saffronstack.invoke.server import Server
from saffronstack.operations.slot_handover import OperationHandover
from saffronstack.operations.slot_locks import RecordLocation
from saffronstack.operations.slot_manager import SlotManager, SlotMember
from saffronstack.upstream.http.dispatcher import HttpDispatcher
from saffronstack.upstream.http.jobs import UsageJob

log = structlog.get_logger("saffronstack.gateway")
RELOADABLE_FIELDS = ("keys", "workers")  # sections that `reload` applies; all others need a restart


class Gateway:
    """All components of one gateway process."""

    def __init__(
        self,
        config: Config,
        *,
        decision_record_path: str = "",
        clock: Callable[[], float] = time.monotonic,
        wall: Callable[[], float] = time.time,
        files: FileOperations | None = None,
        process_group: ProcessGroup | None = None,
        listener: socket.socket | None = None,
        owns_ledger: Callable[[], bool] | None = None,
    ) -> None:
        """Create a gateway that is not started.

        Args:
            config: Configuration of this process.
            decision_record_path: File that receives a record of every routing decision; empty for none.
            clock: Monotonic seconds.
            wall: Seconds of the Unix epoch.
            files: The file layer; tests replace it.
            process_group: The processes that serve one address together; None where this is the only one.
            listener: A bound socket to use in place of the configuration's address.
            owns_ledger: Returns whether this process still owns the ledger. It is called before each
                attempt of a deferred call, because another gateway may take over the ledger.

        Raises:
            OSError: The address can't be bound.
            JournalError: The ledger can't be locked or read.
        """
        self.config = config
        self._clock, self._wall = clock, wall
        settings = build_settings(config)
        self._recorder = (
            DecisionRecorder(decision_record_path, settings, config.seed) if decision_record_path else None
        )
        self.engine = Engine(
            settings,
            config.seed,
            clock,
            self._recorder,
            deadline_grace_s=config.answer_margin_s / 2,
            max_open_calls=config.limits.open_calls,
            log=structlog.get_logger("saffronstack.engine"),
        )
        self._localities = number_localities(config)
        clocks = Clocks(clock, wall)
        metering = open_metering(config, clocks, self._poll_usage, files)
        self.meter = metering.meter if metering is not None else None
        self.budgets = metering.budgets if metering is not None else None
        self.dispatcher = HttpDispatcher(make_pool_limits(config), self.engine.notify, clock, self.meter)
        self.functions = Functions(config)
        self.ledger: Ledger | None = None
        self.deferred: DeferredCalls | None = None
        if config.ledger is not None:
            self.ledger = open_ledger(
                config.ledger.directory, config.ledger.history, config.ledger.segment_bytes, files
            )
            self.deferred = DeferredCalls(
                config,
                self.ledger,
                self.engine,
                self.functions,
                clock,
                wall,
                self.budgets,
                owns_ledger,
                self._localities,
            )
        self.operations = open_operations(config, clocks, files, self._localities)
        self.process_group = process_group or ProcessGroup(0, 1, "", clock)
        self.slot_manager = self._make_slot_manager()
        self.pages = Pages(self)
        self.app = self._make_app()
        server_limits = make_server_limits(config)
        host, _, port = config.listen.rpartition(":")
        self.server = Server(
            host, int(port), self.app, server_limits, clock, self.process_group.count > 1, listener
        )
        self.peer_server: Server | None = None  # accepts requests that other processes of the group forward
        if self.process_group.count > 1 and self.process_group.directory:
            self.peer_server = Server("127.0.0.1", 0, self.app, server_limits, clock)
        self.is_draining = False
        self.file_discovery = make_file_discovery(config, clocks, self._update_workers)
        self._file_watcher: FileWatcher | None = None
        if self.file_discovery is not None and config.roster is not None:
            self._file_watcher = FileWatcher(pathlib.Path(config.roster.path), self.file_discovery.wake)

    def _make_app(self) -> App:
        return App(
            self.config,
            self.engine,
            self.functions,
            self.deferred,
            self._clock,
            self._wall,
            self.pages.by_path(),
            self.process_group,
            self.budgets,
            self.meter.journal.state if self.meter is not None else None,
            self.operations,
            OperationForwarder(self.slot_manager, self._clock) if self.slot_manager is not None else None,
        )

    def _update_workers(self, changes: WorkerChanges, workers: dict[str, Worker]) -> None:
        """Apply a change of the endpoint list; called on discovery's thread.

        The connection pools are updated first, so that no attempt is sent to a removed or draining worker.
        """
        specs = build_worker_specs(changes.updated, self.config, self._localities)
        removed = [worker_number(name) for name in changes.removed]
        self.dispatcher.update_workers(specs, removed)
        if self.meter is not None:
            self.meter.update_workers(
                list(build_worker_specs(workers.values(), self.config, self._localities))
            )
        self.engine.update_workers(specs, removed, self._wall())

    def _make_slot_manager(self) -> SlotManager | None:
        """Create the slot manager if several processes share the address, and None otherwise.

        Each process then only executes operations of the slots that it holds.
        """
        operations, process_group = self.operations, self.process_group
        if operations is None or process_group.count < 2 or not process_group.directory:
            return None
        directory = self.config.operations.directory if self.config.operations is not None else None
        log_directory = directory or ""
        ledger_directory = self.config.ledger.directory if self.config.ledger is not None else ""
        location = RecordLocation(log_directory, ledger_directory)
        slots = SlotManager(
            pathlib.Path(process_group.directory) / "operation-slots",
            SlotMember(str(process_group.index), self._peer_address, location),
            OperationHandover(operations, log_directory, read_call_operations),
            self._clock,
        )
        operations.restrict_to_slots(slots.is_held)
        return slots

    def _peer_address(self) -> str:
        if self.peer_server is None:
            return ""
        host, port = self.peer_server.address
        return f"{host}:{port}"

    def _poll_usage(self, worker: int, body: bytes, done: Callable[[bytes | None], None]) -> None:
        self.dispatcher.poll_usage(worker, UsageJob(body, done))

    def start(self) -> tuple[str, int]:
        """Start all components; return the address on which requests are accepted."""
        specs = build_configured_workers(self.config, self._localities)
        if self.file_discovery is not None:
            listed = self.file_discovery.start(self._clock())
            specs = build_worker_specs(listed.values(), self.config, self._localities)
        self.dispatcher.replace_workers(specs)
        if self.meter is not None:
            self.meter.update_workers(list(specs))
            self.meter.start()
        self.engine.replace_workers(specs, self._wall())
        self.engine.start(self.dispatcher)
        if self._file_watcher is not None:
            self._file_watcher.start()
        if self.operations is not None:
            names = list(self.ledger.state.operations.values()) if self.ledger is not None else []
            self.operations.start((named.operation_digest, named.packed_operation) for named in names)
        if self.deferred is not None:
            self.deferred.start()
        if self.peer_server is not None:
            self.peer_server.start()
            self.process_group.publish_address(self._peer_address())
        if self.slot_manager is not None:
            self.slot_manager.start()
        self.server.start()
        return self.server.address

    def reload(self, config: Config) -> list[str]:
        """Apply the `RELOADABLE_FIELDS` of a configuration; return other changes, which need a restart."""
        needs_restart = [
            name
            for name in type(config).__struct_fields__
            if name not in RELOADABLE_FIELDS and getattr(config, name) != getattr(self.config, name)
        ]
        kinds = {kind.name for kind in self.config.kinds}
        if any(worker.kind not in kinds for worker in config.workers):
            return [*needs_restart, "workers (of kinds that are new)"]
        if bool(config.keys) != bool(self.config.keys):
            needs_restart.append("keys (from none to some, or the reverse)")
        else:
            self.app.access_keys = AccessKeys.from_config(config)
        if self.file_discovery is not None:
            self.file_discovery.set_configured_workers(config.workers)
            return needs_restart
        # Worker kinds are numbered as in the configuration that the router and the meter started with.
        workers_config = msgspec.structs.replace(self.config, workers=config.workers)
        specs = build_configured_workers(workers_config, self._localities)
        self.dispatcher.replace_workers(specs)
        if self.meter is not None:
            self.meter.update_workers(list(specs))
        self.engine.replace_workers(specs, self._wall())
        return needs_restart

    def stop(self) -> bool:
        """Stop accepting requests, answer those in flight and stop; return whether all ended in time."""
        self.is_draining = True
        max_deadline_s = max(call_class.deadline_s for call_class in self.config.classes)
        is_clean = self.server.drain(max_deadline_s + self.config.limits.write_timeout_s)
        if self.slot_manager is not None:
            is_clean = self.slot_manager.stop() and is_clean
        if self.peer_server is not None:
            is_clean = self.peer_server.drain(2.0) and is_clean
        if self.deferred is not None:
            is_clean = self.deferred.stop(max_deadline_s + 1.0) and is_clean
        if self._file_watcher is not None:
            self._file_watcher.stop()
        if self.file_discovery is not None:
            is_clean = self.file_discovery.stop() and is_clean
        is_clean = self.engine.stop() and is_clean
        if self.operations is not None:
            is_clean = self.operations.stop() and is_clean
        if self.meter is not None:
            is_clean = self.meter.stop() and is_clean
        self.dispatcher.stop()
        if self.ledger is not None:
            is_clean = self.ledger.close() and is_clean
        if self._recorder is not None:
            is_clean = self._recorder.close() and is_clean
        return is_clean
