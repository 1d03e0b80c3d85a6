"""A TCP relay of the cases' own: while it is cut, bytes and new connections wait, as between two parts of a network."""

from __future__ import annotations

import contextlib
import socket
import threading


class Relay:
    """Relays connections to one address; `cut` and `join` act on all of them. Runs on threads of the script."""

    def __init__(self, port: int, target: tuple[str, int]) -> None:
        self._target = target
        self._joined = threading.Event()
        self._joined.set()
        self._listener = socket.create_server(("127.0.0.1", port), backlog=64)
        threading.Thread(target=self._accept, daemon=True).start()

    def cut(self) -> None:
        self._joined.clear()

    def join(self) -> None:
        self._joined.set()

    def _accept(self) -> None:
        while True:
            try:
                near, _ = self._listener.accept()
            except OSError:
                return
            threading.Thread(target=self._connect, args=(near,), daemon=True).start()

    def _connect(self, near: socket.socket) -> None:
        self._joined.wait()
        try:
            far = socket.create_connection(self._target, timeout=5.0)
        except OSError:
            near.close()
            return
        far.settimeout(None)
        for source, sink in ((near, far), (far, near)):
            threading.Thread(target=self._pass_on, args=(source, sink), daemon=True).start()

    def _pass_on(self, source: socket.socket, sink: socket.socket) -> None:
        with contextlib.suppress(OSError):
            while data := source.recv(65536):
                self._joined.wait()
                sink.sendall(data)
        for sock in (source, sink):
            with contextlib.suppress(OSError):
                sock.shutdown(socket.SHUT_RDWR)
