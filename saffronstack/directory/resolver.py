"""Asks the directory over UDP, again and again; takes whole, good answers alone."""

from __future__ import annotations

import random
import socket
import threading
import time
from collections import deque
from collections.abc import Callable, Collection
from dataclasses import dataclass, field

from saffronstack.directory.dns import DnsError, answer_of, query_message
from saffronstack.directory.membership import Change, Membership, listed_of, newer
from saffronstack.runtime.logs import Logger
from saffronstack.runtime.threads import start_thread

ANSWER_BYTES = 16 * 1024  # more than any answer holds
SILENT_S = 3.0  # without a good answer for so long, the log says so, once
JITTER = 0.1  # of the pause between two queries: many gateways must not ask at one moment
QUERIES_KEPT = 64  # an answer may come after later queries were sent
UNANSWERED_MIN = 4  # queries in a row without a good answer, after which the socket is replaced; then doubled
UNANSWERED_MAX = 64


def connected(server: tuple[str, int]) -> socket.socket:
    """A socket that hears this server alone: the system drops what comes from anywhere else. OSError."""
    sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    try:
        sock.connect(server)
    except OSError:
        sock.close()
        raise
    return sock


@dataclass(slots=True)
class Counts:
    """What the resolver counted; written by its thread."""

    asked: int = 0
    good: int = 0
    unanswered: int = 0
    refused: dict[str, int] = field(default_factory=dict)


class Resolver:
    """One thread, one socket; `point` may be called from any thread."""

    def __init__(
        self,
        membership: Membership,
        name: str,
        server: tuple[str, int],
        on_change: Callable[[Change], None],
        log: Logger,
        clock: Callable[[], float] = time.monotonic,
        every_s: float = 0.25,
        timeout_s: float = 0.2,
        seed: int | None = None,
    ) -> None:
        """``on_change`` hears of changes, on the resolver's thread. ``every_s`` between queries, and
        ``timeout_s`` after which one is asked again: together well inside a drain's grace, though answers
        get lost."""
        self._membership = membership
        self._name = name
        self._server = server
        self._connected_to: tuple[str, int] | None = None  # by the present socket
        self._on_change = on_change
        self._log = log
        self._clock = clock
        self._every_s = every_s
        self._timeout_s = timeout_s
        self._random = random.Random(seed)
        self._stopping = threading.Event()
        self._last = b""
        self._last_serial: int | None = None  # of the list that was taken last from an answer
        self._identifiers: deque[int] = deque(maxlen=QUERIES_KEPT)  # of queries on the present socket
        self._unanswered = 0  # queries in a row
        self._patience = UNANSWERED_MIN
        self._silent = False
        self.last_good_s = clock()
        self.counts = Counts()

    def start(self) -> None:
        """Start its thread."""
        start_thread("directory", self._run)

    def stop(self) -> None:
        """Ask no more."""
        self._stopping.set()

    def set_server(self, server: tuple[str, int]) -> None:
        """Ask there from the next question on; the numbers of events go on."""
        self._server = server

    def _run(self) -> None:
        sock: socket.socket | None = None
        while not self._stopping.is_set():
            begun_s = self._clock()
            try:
                sock = self._socket(sock)
                good = self.query(sock)
            except OSError as error:  # nobody listens there, or no descriptor is to be had
                self._refused(f"{type(error).__name__}")
                good = False
            except Exception:  # membership must go on whatever one answer did
                self._log.exception("step of the directory's thread failed")
                good = False
            self._count(good)
            self._log_silence(good)
            pause_s = self._every_s * self._random.uniform(1 - JITTER, 1 + JITTER)
            self._stopping.wait(max(0.0, pause_s - (self._clock() - begun_s)))
        if sock is not None:
            sock.close()

    def _socket(self, sock: socket.socket | None) -> socket.socket:
        """The socket to ask on: the present one, or a fresh one where the server has moved or nothing good
        has come for long, since the port or the path to it may be dead. It is closed only once there is
        another. OSError where none can be had."""
        server = self._server
        if sock is not None and self._connected_to == server and self._unanswered < self._patience:
            return sock
        moved = self._connected_to != server
        try:
            fresh = connected(server)
        except OSError:
            if sock is None or moved:
                raise
            return sock  # no descriptor is to be had: the present one may answer yet
        if sock is not None:
            sock.close()
        self._patience = UNANSWERED_MIN if moved else min(UNANSWERED_MAX, 2 * self._patience)
        self._unanswered = 0
        self._identifiers.clear()
        self._connected_to = server
        return fresh

    def _count(self, good: bool) -> None:
        if good:
            self._unanswered = 0
            self._patience = UNANSWERED_MIN
        else:
            self._unanswered += 1

    def query(self, sock: socket.socket) -> bool:
        """One query on a connected socket, and a good answer within the time-out, to it or to one of those
        before it on this socket; whether one was taken."""
        identifier = self._random.getrandbits(16)
        self._identifiers.append(identifier)
        self.counts.asked += 1
        sock.send(query_message(identifier, self._name))
        until_s = self._clock() + self._timeout_s
        while (left := until_s - self._clock()) > 0:
            sock.settimeout(left)
            try:
                message = sock.recv(ANSWER_BYTES)
            except TimeoutError:
                break
            if self._connected_to != self._server:
                self._refused("an answer from a server that is not asked any more")
                break
            if self.apply(message, self._identifiers):
                return True
        self.counts.unanswered += 1
        return False

    def apply(self, message: bytes, identifiers: Collection[int]) -> bool:
        """Whether it is a good answer to one of these queries; it is taken whole or not at all."""
        identifier = int.from_bytes(message[:2], "big")
        if identifier not in identifiers:
            self._refused("an answer to no query of ours")
            return False
        if message[2:] == self._last:
            self.counts.good += 1
            return True
        try:
            serial, listed = listed_of(answer_of(message), identifier, self._name)
        except DnsError as error:
            self._refused(str(error))
            return False
        if serial != self._membership.serial and not newer(serial, self._membership.serial):
            self._refused("an older list than the one that is held")
            return False
        if serial == self._last_serial and not self._membership.holds(listed):
            self._refused("another list under the serial of the one that is held")
            return False
        change = self._membership.replace(serial, listed)
        self._last = message[2:]
        self._last_serial = serial
        self.counts.good += 1
        if change:
            self._on_change(change)
        return True

    def _refused(self, why: str) -> None:
        why = why.split(":")[0][:60]
        refused = self.counts.refused
        if why in refused or len(refused) < 32:
            refused[why] = refused.get(why, 0) + 1

    def _log_silence(self, good: bool) -> None:
        now = self._clock()
        if good:
            if self._silent:
                self._log.info("the directory answers again", after_s=round(now - self.last_good_s, 1))
            self._silent = False
            self.last_good_s = now
        elif not self._silent and now - self.last_good_s > SILENT_S:
            self._silent = True
            refused = self.counts.refused
            self._log.warning("no good answer from the directory", for_s=SILENT_S, refused=refused)
