"""A relay between clients and a gateway that delays or drops responses after the gateway has sent them."""

from __future__ import annotations

import contextlib
import random
import socket
import threading
from collections.abc import Callable

from saffronstack.runtime.threads import start_thread


class Relay:
    """Forwards complete requests, each over a new connection."""

    def __init__(
        self,
        target: Callable[[], str],
        should_lose: Callable[[], bool],
        delay_s: Callable[[], float] = lambda: 0.0,
        on_lost: Callable[[bytes], None] = lambda request: None,
        on_refused: Callable[[bytes], None] = lambda request: None,
    ) -> None:
        """``target`` is called for HOST:PORT per request, ``should_lose`` and ``delay_s`` per response.

        ``on_lost`` gets each request whose response is dropped. ``on_refused`` gets each request for which
        the gateway refused the connection, before its client notices.
        """
        self._target = target
        self._should_lose = should_lose
        self._delay_s = delay_s
        self._on_lost = on_lost
        self._on_refused = on_refused
        self._listener = socket.create_server(("127.0.0.1", 0), backlog=512)
        self._listener.settimeout(0.2)
        host, port = self._listener.getsockname()[:2]
        self.address = f"{host}:{port}"
        self.lost = 0
        self._ended = threading.Event()
        start_thread("relay", self._accept)

    def close(self) -> None:
        """Accept no more connections."""
        self._ended.set()
        self._listener.close()

    def _accept(self) -> None:
        while not self._ended.is_set():
            try:
                sock, _ = self._listener.accept()
            except TimeoutError:
                continue
            except OSError:
                return
            start_thread("relayed", lambda sock=sock: self._serve(sock))  # type: ignore[misc]

    def _serve(self, client: socket.socket) -> None:
        client.settimeout(20)
        with contextlib.suppress(OSError), client:
            while True:
                request = self._read_message(client)
                if not request:
                    return
                host, _, port = self._target().rpartition(":")
                try:
                    gateway = socket.create_connection((host, int(port)), timeout=20)
                except ConnectionRefusedError:
                    self._on_refused(request)
                    return
                with gateway:
                    gateway.settimeout(20)
                    gateway.sendall(request)
                    response = self._read_message(gateway)
                if not response:
                    return
                self._ended.wait(self._delay_s())
                if self._should_lose():
                    self.lost += 1
                    self._on_lost(request)
                    return
                client.sendall(response)

    @staticmethod
    def _read_message(sock: socket.socket) -> bytes:
        data = b""
        while b"\r\n\r\n" not in data:
            chunk = sock.recv(65536)
            if not chunk:
                return b""
            data += chunk
        head, _, body = data.partition(b"\r\n\r\n")
        length = 0
        for line in head.split(b"\r\n")[1:]:
            name, _, value = line.partition(b":")
            if name.strip().lower() == b"content-length":
                length = int(value)
            if name.strip().lower() == b"expect":
                sock.sendall(b"HTTP/1.1 100 Continue\r\n\r\n")
        while len(body) < length:
            chunk = sock.recv(65536)
            if not chunk:
                return b""
            body += chunk
        return head + b"\r\n\r\n" + body


def lose_randomly(share: float, seed: int) -> Callable[[], bool]:
    """Return a function that selects a random share of responses to lose, by a seed."""
    rng = random.Random(seed)
    lock = threading.Lock()

    def should_lose() -> bool:
        with lock:
            return rng.random() < share

    return should_lose
