"""A daemon: one thread owns its gateways' slots; connections' threads hand it orders and wait, bounded."""

from __future__ import annotations

import contextlib
import pathlib
import queue
import secrets
import signal
import socket
import threading
import time
from collections.abc import Callable
from dataclasses import dataclass, field

import msgspec
import structlog
import xxhash

from saffronstack.daemon.handover import take
from saffronstack.fleet.control import gateway_process, slots
from saffronstack.fleet.control.desired_state import Kept, Wanted
from saffronstack.fleet.control.figures_poller import Watcher, serving
from saffronstack.fleet.control.gate import Gate
from saffronstack.fleet.control.gateway_process import Process, Told
from saffronstack.fleet.control.messages import LEAD, TARGET, Control, DaemonState, GatewayState, Order
from saffronstack.fleet.control.releases import UnusableError, find
from saffronstack.fleet.control.slots import Action, Follow, Go, Kill, Slot, Spawn, Term
from saffronstack.fleet.http_server import HttpServer, problem
from saffronstack.fleet.leases.reading import Reading
from saffronstack.http1.messages import RequestHead
from saffronstack.runtime.threads import start_thread

log = structlog.get_logger("saffronstack.daemon")
TICK_S = 0.05
ANSWER_S = 2.0  # how long a connection waits for the daemon's own thread, which may wait for its disk
LEARN_S = 1.0  # between two tries to learn the token again
END_MARGIN_S = 5.0
TAKE_UP_S = 3.0  # how long a life that an earlier daemon left may take to say that it serves


@dataclass(frozen=True, slots=True)
class Entry:
    """One gateway that a daemon keeps. ``config`` may hold `{release}`: settings that come with a release."""

    name: str
    listen: str
    config: str
    drain_s: float


@dataclass(eq=False, slots=True)
class _Asked:
    control: Control
    done: threading.Event = field(default_factory=threading.Event)
    status: int = 503
    answer: bytes = b""


class Daemon:
    """Keeps the gateways of one machine as they are wanted."""

    def __init__(
        self,
        fleet: str,
        name: str,
        address: str,
        gateways: list[Entry],
        releases: str,
        state_directory: str,
        learn: Callable[[], Reading],
        started: Callable[[Reading], dict[str, str]] = lambda reading: {},
        clock: Callable[[], float] = time.monotonic,
        start_s: float = slots.START_S,
    ) -> None:
        """``learn`` reads what keepers show, bounded; ``started`` says from it which must run instead
        (where a rollout went back meanwhile). OSError; ValueError."""
        self._fleet, self._name = fleet, name
        self._clock, self._learn, self._started = clock, learn, started
        self._releases = releases
        self._directory = pathlib.Path(state_directory)
        self._kept = Kept(state_directory, fleet, name)
        found = self._kept.read()
        self._wanted = found or Wanted(fleet, name)
        self._gate = Gate(secrets.randbits(62) + 1, self._wanted.token, found is None)
        self._queue: queue.SimpleQueue[_Asked | Told | Reading | None] = queue.SimpleQueue()
        self._gateways = {gateway.name: gateway for gateway in gateways}
        self._slots = {gateway.name: Slot(gateway.drain_s, start_s) for gateway in gateways}
        self._listeners: dict[str, socket.socket] = {}
        self._processes: dict[tuple[str, int], Process] = {}
        self._begun = False
        self._learned_all = False
        self._stopping = threading.Event()
        self._ended = threading.Event()
        try:
            for gateway in gateways:
                self._listeners[gateway.name] = gateway_process.listener(gateway.listen)
            host, _, port = address.rpartition(":")
            self._server = HttpServer("daemon", host, int(port), self._reply, clock)
        except OSError:
            self._close_listeners()
            raise
        self._watchers = {
            gateway.name: Watcher(gateway.listen, clock) for gateway in gateways
        }  # fmt: skip

    @property
    def address(self) -> tuple[str, int]:
        """Where it takes orders."""
        return self._server.address

    def start(self) -> None:
        """Take up what an earlier life left, start what is wanted, take orders."""
        for name in self._slots:
            self._take_up(name)
        if self._gate.lost:
            log.warning("nothing is known of what was wanted: orders wait until keepers told the token")
        start_thread("daemon", self._run)
        start_thread("learn", self._learning)
        for watcher in self._watchers.values():
            watcher.start()
        self._server.start()

    def _take_up(self, name: str) -> None:
        """The life that serves, of those that an earlier daemon left. One that was only prepared ends by
        itself, with its daemon; one that follows another goes on to serve."""
        until_s = self._clock() + TAKE_UP_S
        while running := gateway_process.left(self._mark(name)):
            pid = serving(self._gateways[name].listen, self._clock)
            late = self._clock() >= until_s
            serves = next((one for one in running if one.pid == pid), running[-1] if late else None)
            for process in running:
                if process is not serves:
                    if serves is not None:
                        process.send(signal.SIGTERM)
                    process.forget()
            if serves is None:
                self._stopping.wait(TICK_S)
                continue
            self._adopt(name, serves)
            return

    def _adopt(self, name: str, serves: Process) -> None:
        listening = take(f"{self._mark(name)}/{serves.release}", serves.pid)
        if listening is not None:
            self._listeners[name].close()
            self._listeners[name] = listening
        number = self._slots[name].adopt(self._clock(), serves.release)
        self._processes[name, number] = serves
        self._watchers[name].watch(number, serves)
        start_thread("life-end", lambda: self._adopted_ended(name, number, serves))
        log.info("taken up", gateway=name, pid=serves.pid, release=serves.release)

    def stop(self, end_gateways: bool) -> bool:
        """Take no more orders; the gateways go on, or are ended too; whether all ended in time."""
        self._server.stop()
        for watcher in self._watchers.values():
            watcher.stop()
        self._stopping.set()
        self._queue.put(None)
        self._ended.wait(ANSWER_S)
        clean = True
        if end_gateways:
            for process in self._processes.values():
                process.send(signal.SIGTERM)
            most_s = max((gateway.drain_s for gateway in self._gateways.values()), default=0.0)
            until_s = self._clock() + most_s + END_MARGIN_S
            while self._processes and self._clock() < until_s:
                try:
                    told = self._queue.get(timeout=0.1)
                except queue.Empty:
                    continue
                if isinstance(told, Told) and told.what == "ended":
                    self._processes.pop((told.gateway, told.number), None)
            for process in self._processes.values():
                process.send(signal.SIGKILL)
                clean = False
        self._close_listeners()
        return clean

    def _close_listeners(self) -> None:
        for listening in self._listeners.values():
            listening.close()

    def _mark(self, gateway: str) -> str:
        """Whose a process is: of this daemon, by its state directory, and not of one that has the same names
        in another fleet."""
        place = xxhash.xxh3_64_hexdigest(str(self._directory.resolve()).encode())
        return f"{self._fleet}/{self._name}/{place}/{gateway}"

    # ---- other threads

    def _adopted_ended(self, name: str, number: int, process: Process) -> None:
        self._queue.put(Told(name, number, "ended", process.wait()))

    def _learning(self) -> None:
        """At each start, until a majority has told and that is on the disk: what was wanted may be of before
        a rollout went back, and the token may be lost."""
        while not self._stopping.is_set() and not self._learned_all:
            self._queue.put(self._learn())
            self._stopping.wait(LEARN_S)

    def _reply(self, head: RequestHead, body: bytes) -> tuple[int, bytes]:
        if head.method == "GET" and head.target == "/status":
            return 200, msgspec.json.encode(self._state())
        if head.method != "POST" or head.target != TARGET:
            return 404, problem(f"POST {TARGET} or GET /status")
        try:
            control = msgspec.json.decode(body, type=Control)
        except msgspec.MsgspecError as error:
            return 400, problem(str(error))
        if control.fleet != self._fleet:
            return 403, problem(f"this daemon is of fleet {self._fleet!r}, not of {control.fleet!r}")
        asked = _Asked(control)
        if refused := self._bad(control.orders):  # reads the release: on this connection's time
            return 400, problem(refused)
        self._queue.put(asked)
        if not asked.done.wait(ANSWER_S):
            return 503, problem("the daemon is busy with its disk; whether the order counts is open")
        return asked.status, asked.answer

    def _state(self) -> DaemonState:
        found: dict[str, GatewayState] = {}
        for name, slot in self._slots.items():
            seen = slot.seen()
            process = self._processes.get((name, seen.life))
            found[name] = GatewayState(
                seen.wanted, seen.runs, seen.state, seen.life, seen.restarts, seen.refused, seen.why,
                process.pid if process is not None else 0, self._watchers[name].figures(seen.life),
            )  # fmt: skip
        return DaemonState(self._name, self._gate.token, self._gate.lost, self._gate.life, found)

    # ---- the daemon's own thread

    def _run(self) -> None:
        while not self._stopping.is_set():
            try:
                item = self._queue.get(timeout=TICK_S)
            except queue.Empty:
                item = None
            try:
                if isinstance(item, _Asked):
                    self._take(item)
                elif isinstance(item, Told):
                    self._told(item)
                elif isinstance(item, Reading):
                    self._learned(item)
                now = self._clock()
                for name, slot in self._slots.items():
                    if now >= slot.due_s() or slot.next is not None:
                        self._do(name, slot.tick(now))
            except Exception:
                log.exception("step of the daemon failed")
        self._ended.set()

    def _learned(self, reading: Reading) -> None:
        """What keepers show. The first reading, with a majority or not, begins: a machine that comes back to
        a rollout which goes back starts the old release, and one without keepers what it had."""
        if self._learned_all or (self._begun and not reading.majority):
            return
        releases = self._wanted.releases
        if reading.majority:
            if self._gate.lost:
                shown = reading.leases.get(LEAD)
                token = shown.token if shown is not None else 0
                self._save(msgspec.structs.replace(self._wanted, token=token))
                self._gate.learned(token)
                log.info("token learned again", token=token)
            instead = self._started(reading)
            releases = {name: instead.get(release, release) for name, release in releases.items()}
            if releases != self._wanted.releases:
                log.warning("what was wanted is of a rollout that goes back", instead=instead)
                self._save(msgspec.structs.replace(self._wanted, releases=releases))
            self._learned_all = True
        self._begun = True
        for name, release in releases.items():
            if name in self._slots:
                self._do(name, self._slots[name].want(self._clock(), release))

    def _save(self, wanted: Wanted) -> None:
        self._kept.write(wanted)
        self._wanted = wanted

    def _take(self, asked: _Asked) -> None:
        control = asked.control
        try:
            asked.status, asked.answer = self._decide(control)
        except OSError as error:
            asked.status, asked.answer = 503, problem(f"the order can't be kept: {error}")
        finally:
            asked.done.set()

    def _decide(self, control: Control) -> tuple[int, bytes]:
        if why := self._gate.refuses(control.token, control.seq, control.life, bool(control.orders)):
            return 409, problem(why)
        releases = dict(self._wanted.releases)
        releases |= {order.gateway: order.release for order in control.orders if not order.reload}
        if control.token > self._wanted.token or releases != self._wanted.releases:
            self._save(Wanted(self._fleet, self._name, control.token, releases))
        self._gate.take(control.token, control.seq)
        now = self._clock()
        for order in control.orders:
            if order.reload:
                process = self._processes.get((order.gateway, self._slots[order.gateway].seen().life))
                if process is not None:
                    process.send(signal.SIGHUP)
                continue
            log.info("ordered", gateway=order.gateway, release=order.release, token=control.token)
            self._do(order.gateway, self._slots[order.gateway].want(now, order.release))
        return 200, msgspec.json.encode(self._state())

    def _bad(self, orders: tuple[Order, ...]) -> str:
        for order in orders:
            if order.gateway not in self._slots:
                return f"{order.gateway!r} is none of this daemon's gateways"
            if order.release and not order.reload:
                try:
                    find(self._releases, order.release)
                except (UnusableError, OSError) as error:
                    return str(error)
        return ""

    def _told(self, told: Told) -> None:
        slot, now = self._slots[told.gateway], self._clock()
        if told.what == "prepared":
            self._do(told.gateway, slot.prepared(now, told.number))
        elif told.what == "up":
            self._do(told.gateway, slot.up(now, told.number))
            process = self._processes.get((told.gateway, told.number))
            if process is not None:
                self._watchers[told.gateway].watch(told.number, process)
        else:
            self._processes.pop((told.gateway, told.number), None)
            self._do(told.gateway, slot.ended(now, told.number, told.why))
            log.info("ended", gateway=told.gateway, life=told.number, why=told.why)

    def _do(self, name: str, actions: list[Action]) -> None:
        for action in actions:
            if isinstance(action, Spawn):
                self._spawn(name, action)
                continue
            process = self._processes.get((name, action.life))
            if process is None:
                continue
            if isinstance(action, Go):
                process.go()
            elif isinstance(action, Follow):
                before = self._processes.get((name, action.after))
                if before is not None:
                    process.follow(before)
            elif isinstance(action, Term):
                # One that an earlier daemon started, and that gave its socket to nobody, listens on its own.
                with contextlib.suppress(OSError):
                    self._listeners[name].listen(gateway_process.BACKLOG)
                process.send(signal.SIGTERM)
            elif isinstance(action, Kill):
                process.send(signal.SIGKILL)

    def _spawn(self, name: str, action: Spawn) -> None:
        gateway = self._gateways[name]
        try:
            found = find(self._releases, action.release)
            config = gateway.config.replace("{release}", found.path)
            self._processes[name, action.life] = gateway_process.start(
                name, action.life, action.release, [*found.command, "--config", config], self._mark(name),
                self._listeners[name], self._directory / f"{name}.log", self._queue.put,
            )  # fmt: skip
        except (UnusableError, OSError) as error:
            self._queue.put(Told(name, action.life, "ended", str(error)))
