"""Connections between processes that pass through the rig, a relay for each directed pair of them.

One thread carries all. A direction of a pair passes, is late, is held without a reset (what was sent waits in
bounded memory, then in the sender's socket), or loses what is sent; a pair can be reset or refuse.
"""

from __future__ import annotations

import contextlib
import heapq
import selectors
import socket
import struct
import threading
import time
from collections import deque
from collections.abc import Collection
from dataclasses import dataclass, field
from enum import Enum

from saffronstack.runtime.threads import start_thread

READ = 64 * 1024
HOLD_MOST = 1 << 20  # bytes that a direction keeps before it stops reading
LOOK_S = 0.05
_RESET = struct.pack("ii", 1, 0)


class Mode(Enum):
    """What happens to the bytes of one direction."""

    PASS = "pass"
    HOLD = "hold"
    LOSE = "lose"


@dataclass(eq=False)
class _Side:
    """One end of a carried connection, and what waits to be written to it."""

    sock: socket.socket
    pair: Pair
    forth: bool  # what this end sends goes forth, from the pair's first process to its second
    other: _Side | None = None
    waiting: deque[tuple[float, bytes]] = field(default_factory=deque)
    size: int = 0
    ended: bool = False


@dataclass(eq=False)
class Pair:
    """From one process to another; ``address`` is where the first reaches the second."""

    first: str
    second: str
    target: str
    listener: socket.socket
    address: str
    modes: dict[bool, Mode] = field(default_factory=lambda: {True: Mode.PASS, False: Mode.PASS})
    late_s: dict[bool, float] = field(default_factory=lambda: {True: 0.0, False: 0.0})
    refuses: bool = False
    connections: int = 0
    carried: int = 0


class Wires:
    """All pairs of a rig. Its methods may be called from any thread."""

    def __init__(self) -> None:
        self._selector = selectors.DefaultSelector()
        self._lock = threading.RLock()
        self._sides: set[_Side] = set()
        self._late: list[tuple[float, int, _Side]] = []
        self._order = 0
        self._ended = False
        self.pairs: dict[tuple[str, str], Pair] = {}
        self._thread = start_thread("wires", self._run)

    def pair(self, first: str, second: str, target: str) -> str:
        """The address under which ``first`` reaches ``second`` at ``target``."""
        listener = socket.create_server(("127.0.0.1", 0), backlog=64)
        listener.setblocking(False)
        host, port = listener.getsockname()[:2]
        made = Pair(first, second, target, listener, f"{host}:{port}")
        with self._lock:
            self.pairs[first, second] = made
            self._selector.register(listener, selectors.EVENT_READ, made)
        return made.address

    def between(self, one: set[str], others: set[str]) -> list[tuple[Pair, bool]]:
        """Each direction that leads from ``one`` to ``others``."""
        with self._lock:
            found = [
                (pair, True) for pair in self.pairs.values() if pair.first in one and pair.second in others
            ]
            return found + [
                (pair, False) for pair in self.pairs.values() if pair.second in one and pair.first in others
            ]

    def set(self, directions: list[tuple[Pair, bool]], mode: Mode = Mode.PASS, late_s: float = 0.0) -> None:
        """From now on; what was held leaves once the direction passes again."""
        with self._lock:
            for pair, forth in directions:
                pair.modes[forth] = mode
                pair.late_s[forth] = late_s
            for side in list(self._sides):
                if side.other is not None:
                    self._flush(side.other)

    def refuse(self, directions: list[tuple[Pair, bool]], refuses: bool) -> None:
        """Whether new connections are closed at once."""
        with self._lock:
            for pair, _ in directions:
                pair.refuses = refuses

    def reset(self, directions: list[tuple[Pair, bool]]) -> None:
        """Reset what is open."""
        wanted = {pair for pair, _ in directions}
        with self._lock:
            for side in list(self._sides):
                if side.pair in wanted:
                    self._close(side, reset=True)

    def move(self, second: str, target: str, but: Collection[str] = ()) -> None:
        """A process is at another address now, for all ``but`` some; what is open goes on to where it was."""
        with self._lock:
            for pair in self.pairs.values():
                if pair.second == second and pair.first not in but:
                    pair.target = target

    def drop(self, first: str) -> None:
        """Forget the pairs of a process that is gone."""
        with self._lock:
            gone = {key: pair for key, pair in self.pairs.items() if pair.first == first}
            for key, pair in gone.items():
                self._selector.unregister(pair.listener)
                pair.listener.close()
                del self.pairs[key]
            for side in list(self._sides):
                if side.pair in gone.values():
                    self._close(side)

    def close(self) -> None:
        """End all."""
        with self._lock:
            self._ended = True
        self._thread.join(2.0)
        with self._lock:
            for side in list(self._sides):
                self._close(side)
            for pair in self.pairs.values():
                pair.listener.close()
            self._selector.close()

    # ---- the one thread

    def _run(self) -> None:
        while not self._ended:
            wait_s = LOOK_S
            with self._lock:
                if self._late:
                    wait_s = min(wait_s, max(0.0, self._late[0][0] - time.monotonic()))
            ready = self._selector.select(wait_s)
            with self._lock:
                if self._ended:
                    return
                for key, mask in ready:
                    if isinstance(key.data, Pair):
                        self._accept(key.data)
                    elif key.data in self._sides:
                        if mask & selectors.EVENT_READ:
                            self._read(key.data)
                        if mask & selectors.EVENT_WRITE and key.data in self._sides:
                            self._flush(key.data)
                now = time.monotonic()
                while self._late and self._late[0][0] <= now:
                    side = heapq.heappop(self._late)[2]
                    if side in self._sides:
                        self._flush(side)

    def _accept(self, pair: Pair) -> None:
        with contextlib.suppress(OSError):
            near, _ = pair.listener.accept()
            if pair.refuses:
                near.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET)
                near.close()
                return
            host, _, port = pair.target.rpartition(":")
            far = socket.socket()
            try:
                far.settimeout(0.5)  # loopback: it listens or it does not
                far.connect((host, int(port)))
            except OSError:
                far.close()
                near.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET)
                near.close()
                return
            one, two = _Side(near, pair, True), _Side(far, pair, False)
            one.other, two.other = two, one
            pair.connections += 1
            for side in (one, two):
                side.sock.setblocking(False)
                side.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                self._sides.add(side)
                self._selector.register(side.sock, selectors.EVENT_READ, side)

    def _read(self, side: _Side) -> None:
        other = side.other
        if other is None:
            return
        try:
            data = side.sock.recv(READ)
        except BlockingIOError:
            return
        except OSError:
            self._close(side, reset=True)
            return
        pair = side.pair
        if data and pair.modes[side.forth] is Mode.LOSE:
            return
        pair.carried += len(data)
        at = time.monotonic() + pair.late_s[side.forth]
        other.waiting.append((at, data))  # empty: the end, in its turn
        other.size += len(data)
        if at > time.monotonic():
            self._order += 1
            heapq.heappush(self._late, (at, self._order, other))
        self._flush(other)
        if side in self._sides:
            self._watch(side)

    def _flush(self, side: _Side) -> None:
        """Write what is due to this end."""
        other = side.other
        if side not in self._sides or other is None:
            return
        now = time.monotonic()
        while side.waiting and side.pair.modes[other.forth] is not Mode.HOLD:
            at, data = side.waiting[0]
            if at > now:
                break
            if not data:
                side.waiting.popleft()
                side.ended = True
                if other.ended:  # both have been told that the other one says no more
                    self._close(side)
                    return
                with contextlib.suppress(OSError):
                    side.sock.shutdown(socket.SHUT_WR)
                continue
            try:
                sent = side.sock.send(data)
            except BlockingIOError:
                break
            except OSError:
                self._close(side, reset=True)
                return
            side.size -= sent
            if sent < len(data):
                side.waiting[0] = (at, data[sent:])
                break
            side.waiting.popleft()
        self._watch(side)
        self._watch(other)

    def _watch(self, side: _Side) -> None:
        if side not in self._sides or side.other is None:
            return
        wanted = 0
        if side.other.size < HOLD_MOST and not (side.other.waiting and not side.other.waiting[-1][1]):
            wanted |= selectors.EVENT_READ
        now = time.monotonic()
        due = side.waiting and side.waiting[0][0] <= now
        if due and side.pair.modes[side.other.forth] is not Mode.HOLD:
            wanted |= selectors.EVENT_WRITE
        try:
            known = self._selector.get_key(side.sock)
        except KeyError:
            known = None
        if known is None and wanted:
            self._selector.register(side.sock, wanted, side)
        elif known is not None and not wanted:
            self._selector.unregister(side.sock)
        elif known is not None and known.events != wanted:
            self._selector.modify(side.sock, wanted, side)

    def _close(self, side: _Side, reset: bool = False) -> None:
        for one in (side, side.other):
            if one is None or one not in self._sides:
                continue
            self._sides.discard(one)
            with contextlib.suppress(KeyError, ValueError):
                self._selector.unregister(one.sock)
            with contextlib.suppress(OSError):
                if reset:
                    one.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET)
                one.sock.close()
