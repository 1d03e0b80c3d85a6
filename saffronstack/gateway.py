"""A gateway put together: configuration, engine, worker pools, ledger and front, and its way to stop."""

from __future__ import annotations

import pathlib
import socket
import time
from collections.abc import Callable

import structlog

from saffronstack.config.build import Functions, PlaceNumbers, settings_of, specs_of, workers_of
from saffronstack.config.schema import Config, Worker
from saffronstack.daemon.process_group import ProcessGroup
from saffronstack.deferred.deferred_calls import DeferredCalls
from saffronstack.deferred.ledger import Ledger, open_ledger, read_named_operations
from saffronstack.discovery.files.file_watcher import FileWatcher
from saffronstack.discovery.files.merging import WorkerChanges
from saffronstack.durable.file_operations import FileOperations
from saffronstack.engine.decision_recorder import DecisionRecorder
from saffronstack.engine.engine import Engine
from saffronstack.engine.identifiers import worker_number
from saffronstack.gateway_components import (
    Clocks,
    front_limits,
    make_file_discovery,
    open_metering,
    open_operations,
    pool_limits,
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
REREAD = ("keys", "workers")  # what a reread may change; the rest needs a restart


class Gateway:
    """Everything one gateway process runs."""

    def __init__(
        self,
        config: Config,
        *,
        record_to: str = "",
        clock: Callable[[], float] = time.monotonic,
        wall: Callable[[], float] = time.time,
        files: FileOperations | None = None,
        members: ProcessGroup | None = None,
        listener: socket.socket | None = None,
        owns_ledger: Callable[[], bool] | None = None,
    ) -> None:
        """``members``: it is one process of several on one address, and ``config`` its own. ``listener``: a
        bound socket in place of the configuration's address. ``owns_ledger``: asked before each attempt of a
        deferred call, where another gateway may take the ledger over.

        OSError where the address can't be had, JournalError where the ledger can't be used.
        """
        self.config = config
        self._clock, self._wall = clock, wall
        settings = settings_of(config)
        self._recorder = DecisionRecorder(record_to, settings, config.seed) if record_to else None
        self.engine = Engine(
            settings,
            config.seed,
            clock,
            self._recorder,
            deadline_grace_s=config.answer_margin_s / 2,
            max_open_calls=config.limits.open_calls,
            log=structlog.get_logger("saffronstack.engine"),
        )
        self._numbers = PlaceNumbers(config)
        clocks = Clocks(clock, wall)
        metering = open_metering(config, clocks, self._ask_usage, files)
        self.meter = metering.meter if metering is not None else None
        self.limits = metering.budgets if metering is not None else None
        self.fleet = HttpDispatcher(pool_limits(config), self.engine.notify, clock, self.meter)
        self.functions = Functions(config)
        self.ledger: Ledger | None = None
        self.deferred: DeferredCalls | None = None
        if config.ledger is not None:
            self.ledger = open_ledger(
                config.ledger.directory, config.ledger.history, config.ledger.segment_bytes, files
            )
            self.deferred = DeferredCalls(
                config, self.ledger, self.engine, self.functions, clock, wall, self.limits, owns_ledger
            )
        self.operations = open_operations(config, clocks, files)
        self.members = members or ProcessGroup(0, 1, "", clock)
        self.slots = self._share_operations()
        self.pages = Pages(self)
        self.app = self._make_app()
        front = front_limits(config)
        host, _, port = config.listen.rpartition(":")
        self.server = Server(host, int(port), self.app, front, clock, self.members.count > 1, listener)
        self.peers: Server | None = None  # where the other processes ask this one
        if self.members.count > 1 and self.members.directory:
            self.peers = Server("127.0.0.1", 0, self.app, front, clock)
        self.draining = False
        self.roster = make_file_discovery(config, clocks, self._workers_changed)
        self._watcher: FileWatcher | None = None
        if self.roster is not None and config.roster is not None:
            self._watcher = FileWatcher(pathlib.Path(config.roster.path), self.roster.wake)

    def _make_app(self) -> App:
        return App(
            self.config,
            self.engine,
            self.functions,
            self.deferred,
            self._clock,
            self._wall,
            self.pages.by_path(),
            self.members,
            self.limits,
            self.meter.journal.state if self.meter is not None else None,
            self.operations,
            OperationForwarder(self.slots, self._clock) if self.slots is not None else None,
        )

    def _workers_changed(self, changes: WorkerChanges, workers: dict[str, Worker]) -> None:
        """On discovery's thread: pools first, so that nothing leaves for a worker that drains or is gone."""
        specs = specs_of(changes.updated, self.config, self._numbers)
        gone = [worker_number(name) for name in changes.removed]
        self.fleet.update_workers(specs, gone)
        if self.meter is not None:
            self.meter.update_workers(list(specs_of(workers.values(), self.config, self._numbers)))
        self.engine.update_workers(specs, gone, self._wall())

    def _share_operations(self) -> SlotManager | None:
        """Where several processes serve one address, each runs the operations of the slots it holds."""
        operations, members = self.operations, self.members
        if operations is None or members.count < 2 or not members.directory:
            return None
        directory = self.config.operations.directory if self.config.operations is not None else None
        log_directory = directory or ""
        ledger_directory = self.config.ledger.directory if self.config.ledger is not None else ""
        location = RecordLocation(log_directory, ledger_directory)
        slots = SlotManager(
            pathlib.Path(members.directory) / "operation-slots",
            SlotMember(str(members.index), self._peer_address, location),
            OperationHandover(operations, log_directory, read_named_operations),
            self._clock,
        )
        operations.restrict_to_slots(slots.is_held)
        return slots

    def _peer_address(self) -> str:
        if self.peers is None:
            return ""
        host, port = self.peers.address
        return f"{host}:{port}"

    def _ask_usage(self, worker: int, body: bytes, done: Callable[[bytes | None], None]) -> None:
        self.fleet.poll_usage(worker, UsageJob(body, done))

    def start(self) -> tuple[str, int]:
        """Start it; the address on which calls are taken from now on."""
        specs = workers_of(self.config, self._numbers)
        if self.roster is not None:
            listed = self.roster.start(self._clock())
            specs = specs_of(listed.values(), self.config, self._numbers)
        self.fleet.replace_workers(specs)
        if self.meter is not None:
            self.meter.update_workers(list(specs))
            self.meter.start()
        self.engine.replace_workers(specs, self._wall())
        self.engine.start(self.fleet)
        if self._watcher is not None:
            self._watcher.start()
        if self.operations is not None:
            names = list(self.ledger.state.operations.values()) if self.ledger is not None else []
            self.operations.start((named.operation_digest, named.packed_operation) for named in names)
        if self.deferred is not None:
            self.deferred.start()
        if self.peers is not None:
            self.peers.start()
            self.members.publish_address(self._peer_address())
        if self.slots is not None:
            self.slots.start()
        self.server.start()
        return self.server.address

    def reread(self, config: Config) -> list[str]:
        """Take what can be taken from a new configuration; the names of the parts that need a restart."""
        left = [
            name
            for name in type(config).__struct_fields__
            if name not in REREAD and getattr(config, name) != getattr(self.config, name)
        ]
        kinds = {kind.name for kind in self.config.kinds}
        if any(worker.kind not in kinds for worker in config.workers):
            return [*left, "workers (of kinds that are new)"]
        if bool(config.keys) != bool(self.config.keys):
            left.append("keys (from none to some, or the reverse)")
        else:
            self.app.access_keys = AccessKeys.from_config(config)
        if self.roster is not None:
            self.roster.set_configured_workers(config.workers)
            return left
        specs = workers_of(config, self._numbers)
        self.fleet.replace_workers(specs)
        if self.meter is not None:
            self.meter.update_workers(list(specs))
        self.engine.replace_workers(specs, self._wall())
        return left

    def stop(self) -> bool:
        """Take nothing more, answer what was taken, end; whether all ended within the deadlines."""
        self.draining = True
        longest_s = max(cls.deadline_s for cls in self.config.classes)
        clean = self.server.drain(longest_s + self.config.limits.write_timeout_s)
        if self.slots is not None:
            clean = self.slots.stop() and clean
        if self.peers is not None:
            clean = self.peers.drain(2.0) and clean
        if self.deferred is not None:
            clean = self.deferred.stop(longest_s + 1.0) and clean
        if self._watcher is not None:
            self._watcher.stop()
        if self.roster is not None:
            clean = self.roster.stop() and clean
        clean = self.engine.stop() and clean
        if self.operations is not None:
            clean = self.operations.stop() and clean
        if self.meter is not None:
            clean = self.meter.stop() and clean
        self.fleet.stop()
        if self.ledger is not None:
            clean = self.ledger.close() and clean
        if self._recorder is not None:
            clean = self._recorder.close() and clean
        return clean
