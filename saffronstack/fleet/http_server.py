"""A small address for a fleet's own pages: one thread for each kept connection, every wait bounded."""

from __future__ import annotations

import contextlib
import socket
import threading
from collections.abc import Callable

import msgspec
import structlog

from saffronstack.http1 import writer
from saffronstack.http1.messages import HttpError, Limits, RequestHead
from saffronstack.http1.reader import MessageReader
from saffronstack.http1.sockets import PeerClosed, Stream, read_until
from saffronstack.runtime.threads import start_thread

log = structlog.get_logger("saffronstack.fleet")
CONNECTIONS_MOST = 2048
MESSAGE_S = 5.0  # a request, once it began, and the writing of its answer
IDLE_S = 120.0
LIMITS = Limits(body=4 * 1024 * 1024)
JSON = [("Content-Type", "application/json")]
Answerer = Callable[[RequestHead, bytes], tuple[int, bytes]]


class HttpServer:
    """Listens; whoever owns it answers, on the connection's thread."""

    def __init__(self, name: str, host: str, port: int, answer: Answerer, clock: Callable[[], float]) -> None:
        """OSError where the address can't be had."""
        self._name = name
        self._answer = answer
        self._clock = clock
        self._listener = socket.create_server((host, port), backlog=512)
        self._listener.settimeout(0.5)
        self._lock = threading.Lock()
        self._open: set[Stream] = set()
        self._stopping = False
        self._accepting: threading.Thread | None = None
        self.turned_away = 0

    @property
    def address(self) -> tuple[str, int]:
        """Host and port listened on."""
        host, port = self._listener.getsockname()[:2]
        return host, port

    @property
    def connections(self) -> int:
        """Connections open now."""
        return len(self._open)

    def start(self) -> None:
        """Accept on a thread of its own."""
        self._accepting = start_thread(f"{self._name}-accept", self._accept)

    def stop(self) -> None:
        """Close everything."""
        with self._lock:
            self._stopping = True
            streams = list(self._open)
        with contextlib.suppress(OSError):
            self._listener.shutdown(socket.SHUT_RDWR)  # its port is held while a thread waits on it
        if self._accepting is not None:
            self._accepting.join(1.0)
        with contextlib.suppress(OSError):
            self._listener.close()
        for stream in streams:
            stream.abort()

    def _accept(self) -> None:
        pause = threading.Event()
        while not self._stopping:
            try:
                sock, _ = self._listener.accept()
            except TimeoutError:
                continue
            except OSError as error:
                if self._stopping:
                    return
                log.error("accept failed", error=str(error))
                pause.wait(0.05)
                continue
            stream = Stream(sock)
            with self._lock:
                full = len(self._open) >= CONNECTIONS_MOST or self._stopping
                if not full:
                    self._open.add(stream)
            if full:
                self.turned_away += 1
                stream.close()
                continue
            try:
                start_thread(f"{self._name}-peer", lambda stream=stream: self._serve(stream))  # type: ignore[misc]
            except RuntimeError:
                self._closed(stream)

    def _closed(self, stream: Stream) -> None:
        with self._lock:
            self._open.discard(stream)
        stream.close()

    def _serve(self, stream: Stream) -> None:
        reader = MessageReader(LIMITS)
        try:
            while not self._stopping:
                if not reader.pending:
                    reader.feed(stream.receive(IDLE_S))
                until_s = self._clock() + MESSAGE_S
                head = read_until(stream, reader, reader.request, until_s, self._clock)
                body = read_until(stream, reader, reader.body, until_s, self._clock)
                status, content = self._answer(head, body)
                data = writer.response(status, JSON, content, close=not head.keep_alive)
                if not stream.send(data, self._clock() + MESSAGE_S, self._clock) or not head.keep_alive:
                    return
        except HttpError as error:
            with contextlib.suppress(OSError):
                stream.send(
                    writer.response(error.status, JSON, problem(error.text), close=True),
                    self._clock() + 1.0, self._clock,
                )  # fmt: skip
        except (OSError, PeerClosed):
            pass  # the other side has left or says nothing more
        except Exception:
            log.exception("connection thread failed")
        finally:
            self._closed(stream)


def problem(text: str) -> bytes:
    """The body of a refusal."""
    return msgspec.json.encode({"message": text})
