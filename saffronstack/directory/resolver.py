"""Asks the directory over UDP, again and again; takes whole, good answers alone."""

from __future__ import annotations

import random
import socket
import threading
import time
from collections.abc import Callable
from dataclasses import dataclass, field

from saffronstack.core.logs import Log
from saffronstack.core.threads import spawn
from saffronstack.directory.dns import DnsError, answer_of, query
from saffronstack.directory.membership import Change, Membership, listed_of, newer

ANSWER_BYTES = 16 * 1024  # more than any answer holds
SILENT_S = 3.0  # without a good answer for so long, the log says so, once


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
        apply: Callable[[Change], None],
        log: Log,
        clock: Callable[[], float] = time.monotonic,
        every_s: float = 0.25,
        timeout_s: float = 0.2,
        seed: int | None = None,
    ) -> None:
        """``apply`` hears of changes on the resolver's thread. ``every_s`` between questions, and ``timeout_s``
        after which one is asked again: together well inside a drain's grace, though answers get lost."""
        self._membership = membership
        self._name = name
        self._server = server
        self._apply = apply
        self._log = log
        self._clock = clock
        self._every_s = every_s
        self._timeout_s = timeout_s
        self._random = random.Random(seed)
        self._stopping = threading.Event()
        self._last = b""
        self._silent = False
        self.good_s = clock()
        self.counts = Counts()

    def start(self) -> None:
        """Start its thread."""
        spawn("directory", self._run)

    def stop(self) -> None:
        """Ask no more."""
        self._stopping.set()

    def point(self, server: tuple[str, int]) -> None:
        """Ask there from the next question on; the numbers of events go on."""
        self._server = server

    def _run(self) -> None:
        sock: socket.socket | None = None
        asked: tuple[str, int] | None = None
        while not self._stopping.is_set():
            try:
                server = self._server
                if sock is None or asked != server:
                    if sock is not None:
                        sock.close()
                    sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
                    sock.connect(server)  # the system drops what comes from anywhere else
                    asked = server
                good = self.ask(sock)
            except OSError as error:  # nobody listens there, or no descriptor is to be had
                self._refused(f"{type(error).__name__}")
                good = False
                if sock is not None:
                    sock.close()
                sock = None
            except Exception:  # membership must go on whatever one answer did
                self._log.exception("step of the directory's thread failed")
                good = False
            self._told(good)
            self._stopping.wait(self._every_s if good else self._timeout_s / 4)
        if sock is not None:
            sock.close()

    def ask(self, sock: socket.socket) -> bool:
        """One question on a connected socket, and its answer within the time-out; whether one was taken."""
        ident = self._random.getrandbits(16)
        self.counts.asked += 1
        sock.send(query(ident, self._name))
        until_s = self._clock() + self._timeout_s
        while (left := until_s - self._clock()) > 0:
            sock.settimeout(left)
            try:
                message = sock.recv(ANSWER_BYTES)
            except TimeoutError:
                break
            if self.take(message, ident):
                return True
        self.counts.unanswered += 1
        return False

    def take(self, message: bytes, ident: int) -> bool:
        """Whether it is a good answer to this question; it is taken whole or not at all."""
        if message[2:] == self._last and int.from_bytes(message[:2], "big") == ident:
            self.counts.good += 1
            return True
        try:
            serial, listed = listed_of(answer_of(message), ident, self._name)
        except DnsError as error:
            self._refused(str(error))
            return False
        if serial != self._membership.serial and not newer(serial, self._membership.serial):
            self._refused("an older list than the one that is held")
            return False
        change = self._membership.whole(serial, listed)
        self._last = message[2:]
        self.counts.good += 1
        if change:
            self._apply(change)
        return True

    def _refused(self, why: str) -> None:
        why = why.split(":")[0][:60]
        refused = self.counts.refused
        if why in refused or len(refused) < 32:
            refused[why] = refused.get(why, 0) + 1

    def _told(self, good: bool) -> None:
        now = self._clock()
        if good:
            if self._silent:
                self._log.info("the directory answers again", after_s=round(now - self.good_s, 1))
            self._silent = False
            self.good_s = now
        elif not self._silent and now - self.good_s > SILENT_S:
            self._silent = True
            refused = self.counts.refused
            self._log.warning("no good answer from the directory", for_s=SILENT_S, refused=refused)
