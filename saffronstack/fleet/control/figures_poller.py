"""Asks one gateway for its figures, again and again, on a thread of its own: one that hangs delays nobody."""

from __future__ import annotations

import threading
import time
from collections.abc import Callable

import msgspec

from saffronstack.daemon.members import NoAnswerError, NotSentError, exchange
from saffronstack.fleet.control.gateway_process import Process
from saffronstack.fleet.control.messages import Figures
from saffronstack.http1 import writer
from saffronstack.runtime.threads import start_thread

EVERY_S = 0.5
WAIT_S = 1.0


class _Page(msgspec.Struct, frozen=True):
    """The part of a gateway's `/status` that is compared."""

    pid: int
    release: str = ""
    classes: dict[str, dict[str, int]] = {}
    times: dict[str, str] = {}


def ask(address: str, clock: Callable[[], float]) -> _Page | None:
    """The page of whichever life answers there, within a second."""
    request = writer.request("GET", "/status", [("Host", address), ("Connection", "close")])
    try:
        head, body = exchange(address, request, clock() + WAIT_S, clock)
        return msgspec.json.decode(body, type=_Page) if head.status == 200 else None
    except (NotSentError, NoAnswerError, msgspec.MsgspecError):
        return None


def serving(address: str, clock: Callable[[], float]) -> int | None:
    """The process that answers calls there; None where none does."""
    page = ask(address, clock)
    return None if page is None else page.pid


class Watcher:
    """The figures of one gateway's present life."""

    def __init__(self, address: str, clock: Callable[[], float] = time.monotonic) -> None:
        self._address, self._clock = address, clock
        self._lock = threading.Lock()
        self._life: tuple[int, Process] | None = None
        self._found: tuple[int, float, Figures] | None = None  # life, when, what
        self._stopping = threading.Event()

    def start(self) -> None:
        """Begin."""
        start_thread("figures", self._run)

    def stop(self) -> None:
        """End."""
        self._stopping.set()

    def watch(self, number: int, process: Process) -> None:
        """From now on this life is asked."""
        with self._lock:
            self._life = number, process

    def figures(self, life: int) -> Figures | None:
        """The newest of this life; None before the first."""
        with self._lock:
            found = self._found
        if found is None or found[0] != life:
            return None
        return msgspec.structs.replace(found[2], age_s=round(self._clock() - found[1], 3))

    def _run(self) -> None:
        while not self._stopping.wait(EVERY_S):
            with self._lock:
                life = self._life
            if life is None:
                continue
            number, process = life
            began_s = self._clock()
            page = ask(self._address, self._clock)
            if page is None or page.pid != process.pid:
                continue  # another life answered: one that ends, or one of an earlier daemon
            figures = Figures(
                0.0, page.classes, page.times, process.memory_mb(), process.descriptors(), page.release
            )
            with self._lock:
                self._found = number, began_s, figures
