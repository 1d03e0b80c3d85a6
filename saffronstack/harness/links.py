"""Relays TCP connections between the processes of a test harness and injects faults into them.

A link is a relay from one process to another. One thread serves all links. Each direction of a link forwards
bytes, delays them, holds them without a reset, or discards them. Held bytes stay in a bounded buffer, and
after that in the sender's socket. The connections of a link can be reset, and a link can refuse new ones.
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

READ_BYTES = 64 * 1024
MAX_BUFFERED_BYTES = 1 << 20  # of one direction; above it the relay stops reading from the sender
MAX_SELECT_WAIT_S = 0.05
_RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class LinkMode(Enum):
    """How a link treats the bytes of one direction: it forwards, holds or discards them."""

    PASS = "pass"
    HOLD = "hold"
    LOSE = "lose"


@dataclass(eq=False)
class _ConnectionEnd:
    """One of the two sockets of a relayed connection, and the bytes that wait to be written to it."""

    sock: socket.socket
    link: Link
    is_forward: bool  # whether bytes from this socket go from the link's source to its destination
    peer: _ConnectionEnd | None = None
    outgoing: deque[tuple[float, bytes]] = field(default_factory=deque)
    buffered_bytes: int = 0
    is_write_closed: bool = False


@dataclass(eq=False)
class Link:
    """A link from one process to another. The source connects to ``address`` to reach the destination."""

    source: str
    destination: str
    target: str
    listener: socket.socket
    address: str
    modes: dict[bool, LinkMode] = field(default_factory=lambda: {True: LinkMode.PASS, False: LinkMode.PASS})
    delay_s: dict[bool, float] = field(default_factory=lambda: {True: 0.0, False: 0.0})
    refuses_connections: bool = False
    connection_count: int = 0
    forwarded_bytes: int = 0


class LinkRelay:
    """Serves all links of a test harness. Its methods may be called from any thread."""

    def __init__(self) -> None:
        self._selector = selectors.DefaultSelector()
        self._lock = threading.RLock()
        self._ends: set[_ConnectionEnd] = set()
        self._delayed: list[tuple[float, int, _ConnectionEnd]] = []
        self._sequence_number = 0
        self._is_closed = False
        self.links: dict[tuple[str, str], Link] = {}
        self._thread = start_thread("wires", self._run)

    def add_link(self, source: str, destination: str, target: str) -> str:
        """Add a link to ``target``; return the address at which ``source`` reaches ``destination``."""
        listener = socket.create_server(("127.0.0.1", 0), backlog=64)
        listener.setblocking(False)
        host, port = listener.getsockname()[:2]
        link = Link(source, destination, target, listener, f"{host}:{port}")
        with self._lock:
            self.links[source, destination] = link
            self._selector.register(listener, selectors.EVENT_READ, link)
        return link.address

    def directions_between(self, one: set[str], others: set[str]) -> list[tuple[Link, bool]]:
        """Return each direction of a link that leads from ``one`` to ``others``."""
        with self._lock:
            found = [
                (link, True)
                for link in self.links.values()
                if link.source in one and link.destination in others
            ]
            return found + [
                (link, False)
                for link in self.links.values()
                if link.destination in one and link.source in others
            ]

    def set_mode(
        self, directions: list[tuple[Link, bool]], mode: LinkMode = LinkMode.PASS, delay_s: float = 0.0
    ) -> None:
        """Set mode and delay from now on. Held bytes are sent once the direction forwards again."""
        with self._lock:
            for link, is_forward in directions:
                link.modes[is_forward] = mode
                link.delay_s[is_forward] = delay_s
            for end in list(self._ends):
                if end.peer is not None:
                    self._flush(end.peer)

    def set_refusing(self, directions: list[tuple[Link, bool]], refuses_connections: bool) -> None:
        """Set whether the links of the directions reset each new connection at once."""
        with self._lock:
            for link, _ in directions:
                link.refuses_connections = refuses_connections

    def reset_connections(self, directions: list[tuple[Link, bool]]) -> None:
        """Reset all open connections of the links of the directions."""
        wanted = {link for link, _ in directions}
        with self._lock:
            for end in list(self._ends):
                if end.link in wanted:
                    self._close(end, reset=True)

    def redirect(self, destination: str, target: str, excluded_sources: Collection[str] = ()) -> None:
        """Forward new connections to ``destination`` to another address, except those of excluded sources.

        Open connections stay with the former address.
        """
        with self._lock:
            for link in self.links.values():
                if link.destination == destination and link.source not in excluded_sources:
                    link.target = target

    def remove_links_from(self, source: str) -> None:
        """Remove the links from a process that has ended."""
        with self._lock:
            removed = {key: link for key, link in self.links.items() if link.source == source}
            for key, link in removed.items():
                self._selector.unregister(link.listener)
                link.listener.close()
                del self.links[key]
            for end in list(self._ends):
                if end.link in removed.values():
                    self._close(end)

    def close(self) -> None:
        """Stop the thread, and close all connections and listeners."""
        with self._lock:
            self._is_closed = True
        self._thread.join(2.0)
        with self._lock:
            for end in list(self._ends):
                self._close(end)
            for link in self.links.values():
                link.listener.close()
            self._selector.close()

    # ---- on the relay thread

    def _run(self) -> None:
        while not self._is_closed:
            wait_s = MAX_SELECT_WAIT_S
            with self._lock:
                if self._delayed:
                    wait_s = min(wait_s, max(0.0, self._delayed[0][0] - time.monotonic()))
            ready = self._selector.select(wait_s)
            with self._lock:
                if self._is_closed:
                    return
                for key, mask in ready:
                    if isinstance(key.data, Link):
                        self._accept(key.data)
                    elif key.data in self._ends:
                        if mask & selectors.EVENT_READ:
                            self._read(key.data)
                        if mask & selectors.EVENT_WRITE and key.data in self._ends:
                            self._flush(key.data)
                now = time.monotonic()
                while self._delayed and self._delayed[0][0] <= now:
                    end = heapq.heappop(self._delayed)[2]
                    if end in self._ends:
                        self._flush(end)

    def _accept(self, link: Link) -> None:
        with contextlib.suppress(OSError):
            source_sock, _ = link.listener.accept()
            if link.refuses_connections:
                source_sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)
                source_sock.close()
                return
            host, _, port = link.target.rpartition(":")
            destination_sock = socket.socket()
            try:
                destination_sock.settimeout(0.5)  # on loopback a listening socket accepts at once
                destination_sock.connect((host, int(port)))
            except OSError:
                destination_sock.close()
                source_sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)
                source_sock.close()
                return
            one, two = _ConnectionEnd(source_sock, link, True), _ConnectionEnd(destination_sock, link, False)
            one.peer, two.peer = two, one
            link.connection_count += 1
            for end in (one, two):
                end.sock.setblocking(False)
                end.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                self._ends.add(end)
                self._selector.register(end.sock, selectors.EVENT_READ, end)

    def _read(self, end: _ConnectionEnd) -> None:
        peer = end.peer
        if peer is None:
            return
        try:
            data = end.sock.recv(READ_BYTES)
        except BlockingIOError:
            return
        except OSError:
            self._close(end, reset=True)
            return
        link = end.link
        if data and link.modes[end.is_forward] is LinkMode.LOSE:
            return
        link.forwarded_bytes += len(data)
        due_s = time.monotonic() + link.delay_s[end.is_forward]
        peer.outgoing.append((due_s, data))  # empty data marks the end of the stream
        peer.buffered_bytes += len(data)
        if due_s > time.monotonic():
            self._sequence_number += 1
            heapq.heappush(self._delayed, (due_s, self._sequence_number, peer))
        self._flush(peer)
        if end in self._ends:
            self._watch(end)

    def _flush(self, end: _ConnectionEnd) -> None:
        """Write the bytes that are due to this socket."""
        peer = end.peer
        if end not in self._ends or peer is None:
            return
        now = time.monotonic()
        while end.outgoing and end.link.modes[peer.is_forward] is not LinkMode.HOLD:
            due_s, data = end.outgoing[0]
            if due_s > now:
                break
            if not data:
                end.outgoing.popleft()
                end.is_write_closed = True
                if peer.is_write_closed:  # both sockets have been shut down for writing
                    self._close(end)
                    return
                with contextlib.suppress(OSError):
                    end.sock.shutdown(socket.SHUT_WR)
                continue
            try:
                sent = end.sock.send(data)
            except BlockingIOError:
                break
            except OSError:
                self._close(end, reset=True)
                return
            end.buffered_bytes -= sent
            if sent < len(data):
                end.outgoing[0] = (due_s, data[sent:])
                break
            end.outgoing.popleft()
        self._watch(end)
        self._watch(peer)

    def _watch(self, end: _ConnectionEnd) -> None:
        if end not in self._ends or end.peer is None:
            return
        wanted = 0
        if end.peer.buffered_bytes < MAX_BUFFERED_BYTES and not (
            end.peer.outgoing and not end.peer.outgoing[-1][1]
        ):
            wanted |= selectors.EVENT_READ
        now = time.monotonic()
        has_due_data = end.outgoing and end.outgoing[0][0] <= now
        if has_due_data and end.link.modes[end.peer.is_forward] is not LinkMode.HOLD:
            wanted |= selectors.EVENT_WRITE
        try:
            registered = self._selector.get_key(end.sock)
        except KeyError:
            registered = None
        if registered is None and wanted:
            self._selector.register(end.sock, wanted, end)
        elif registered is not None and not wanted:
            self._selector.unregister(end.sock)
        elif registered is not None and registered.events != wanted:
            self._selector.modify(end.sock, wanted, end)

    def _close(self, end: _ConnectionEnd, reset: bool = False) -> None:
        for one in (end, end.peer):
            if one is None or one not in self._ends:
                continue
            self._ends.discard(one)
            with contextlib.suppress(KeyError, ValueError):
                self._selector.unregister(one.sock)
            with contextlib.suppress(OSError):
                if reset:
                    one.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)
                one.sock.close()
