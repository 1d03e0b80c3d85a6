"""The front's sockets: accepting, one thread for each connection, time-outs on every wait."""

from __future__ import annotations

import contextlib
import errno
import os
import select
import socket
import threading
from collections.abc import Callable

import structlog

from saffronstack.http1 import writer
from saffronstack.http1.messages import HttpError, MessageLimits, RequestHead
from saffronstack.http1.reader import MessageReader
from saffronstack.http1.sockets import PeerClosed, Stream, read_until, stop_handshakes
from saffronstack.invoke import errors
from saffronstack.invoke.app import App, ClientDisconnectedError, response_id
from saffronstack.runtime.threads import start_thread

log = structlog.get_logger("saffronstack.front")
BACKLOG = 1024
MAX_QUEUED = BACKLOG + 1  # the system lets one more wait
ACCEPT_LOOK_S = 0.5  # the accepting thread shows that it lives at least so often
ACCEPT_PAUSE_S = 0.05  # after an accept that failed for want of descriptors or threads
LINGER_S = 0.5  # how long bytes of a refused request are still read, so that its answer is not reset away
LINGER_BYTES = 1 << 20
QUEUE_SERVE_S = 0.5  # how long a drain serves connections that wait to be accepted; then it turns them away
IDLE_GRACE_S = 0.5  # idle connections stay this long after no new one is accepted
IDLE_READ_S = 0.1  # how long an idle connection is read before its thread polls, which costs more


class FrontLimits:
    """Bounds of the front; times in seconds."""

    def __init__(
        self,
        messages: MessageLimits,
        connections: int,
        head_s: float,
        body_s: float,
        write_s: float,
        idle_s: float,
    ) -> None:
        self.messages = messages
        self.connections = connections
        self.head_s = head_s
        self.body_s = body_s
        self.write_s = write_s
        self.idle_s = idle_s


class Server:
    """Listens and serves until it is drained."""

    def __init__(
        self,
        host: str,
        port: int,
        app: App,
        limits: FrontLimits,
        clock: Callable[[], float],
        shared: bool = False,
        listener: socket.socket | None = None,
    ) -> None:
        """``shared``: other processes listen on the address as well. ``listener``: a bound socket in place of
        an own one, whose queue outlives this process. OSError where the address can't be had.
        """
        self._owns_queue = listener is None
        self._app = app
        self._limits = limits
        self._clock = clock
        if listener is None:
            listener = socket.create_server((host, port), backlog=BACKLOG, reuse_port=shared)
        else:
            listener.listen(BACKLOG)
        self._listener = listener
        self._listener.setblocking(False)
        self._accepts: threading.Thread | None = None
        self._reserve = _reserve()
        self._lock = threading.Condition()
        self._drain_event = os.eventfd(0)  # readable once it drains: wakes threads of idle connections
        self._closing_idle = threading.Lock()
        self._open = 0
        self._draining = False
        self.accepted = 0
        self.turned_away = 0
        self._looked_s = clock()

    @property
    def address(self) -> tuple[str, int]:
        """Host and port listened on."""
        host, port = self._listener.getsockname()[:2]
        return host, port

    @property
    def connections(self) -> int:
        """Connections open now."""
        return self._open

    def accepting(self, within_s: float) -> bool:
        """Whether its accepting thread came round so lately, or has nothing to accept any more."""
        return self._draining or self._clock() - self._looked_s <= within_s

    def start(self) -> None:
        """Accept connections on a thread of its own."""
        self._accepts = start_thread("accept", self._accept)

    def drain(self, timeout_s: float) -> bool:
        """Accept nothing more, end idle connections, let the others finish; whether all ended in time.

        Connections that wait in the listener's queue are served, or turned away where there are many; in a
        queue that outlives this process they wait for the next one.
        """
        with self._lock:
            self._draining = True
        os.eventfd_write(self._drain_event, 1)
        if self._accepts is not None:
            self._accepts.join(timeout_s)  # what it has accepted last counts as open from then on
        turned_away = self._empty_queue() if self._owns_queue else []
        with contextlib.suppress(OSError):
            self._listener.close()
        with self._lock:
            all_ended = self._lock.wait_for(lambda: self._open == 0, IDLE_GRACE_S + timeout_s)
        for sock in turned_away:
            sock.close()
        return all_ended

    # ---- accepting

    def _accept(self) -> None:
        pause = threading.Event()
        poll = select.poll()
        poll.register(self._listener, select.POLLIN)
        poll.register(self._drain_event, select.POLLIN)
        while not self._draining:
            self._looked_s = self._clock()
            poll.poll(ACCEPT_LOOK_S * 1000)
            try:
                sock, _ = self._listener.accept()
            except BlockingIOError:
                continue
            except OSError as error:
                if error.errno in (errno.EMFILE, errno.ENFILE):
                    self._shed_one()
                elif error.errno not in (errno.ECONNABORTED, errno.EINTR):
                    log.error("accept failed", error=str(error))
                pause.wait(ACCEPT_PAUSE_S)
                continue
            if not self._admit(sock):
                pause.wait(ACCEPT_PAUSE_S)

    def _admit(self, sock: socket.socket) -> bool:
        """Give a connection a thread, or turn it away; False where the system has no more threads."""
        self.accepted += 1
        with self._lock:
            full = self._open >= self._limits.connections
            self._open += not full
        if full:
            self._turn_away(sock)
            return True
        try:
            start_thread("client", lambda: self._serve(sock))
        except RuntimeError:
            self._closed()
            self._turn_away(sock)
            return False
        return True

    def _empty_queue(self) -> list[socket.socket]:
        """Accept what waits to be accepted: closing the listener would reset it.

        Returns:
            Connections that were turned away and are to be closed at the end of the drain: closed at once,
            with their requests unread, they would be reset before their clients have read the answer.
        """
        turned_away: list[socket.socket] = []
        stop_handshakes(self._listener)
        serve_until_s = self._clock() + QUEUE_SERVE_S
        with contextlib.suppress(OSError):
            for _ in range(MAX_QUEUED):
                sock, _ = self._listener.accept()
                if self._clock() < serve_until_s:
                    self._admit(sock)
                else:
                    self._refuse(sock)
                    turned_away.append(sock)
        return turned_away

    def _shed_one(self) -> None:
        """Out of descriptors: a kept one is given up for a moment, so that one client is told."""
        log.warning("out of file descriptors")
        if self._reserve is not None:
            os.close(self._reserve)
            self._reserve = None
        try:
            sock, _ = self._listener.accept()
        except OSError:
            pass
        else:
            self._turn_away(sock)
        finally:
            self._reserve = _reserve()

    def _turn_away(self, sock: socket.socket) -> None:
        """Refuse a connection and close it."""
        self._refuse(sock)
        with contextlib.suppress(OSError):
            sock.close()

    def _refuse(self, sock: socket.socket) -> None:
        """Nothing of this client was read, so sending again is harmless; the wait here is bounded."""
        self.turned_away += 1
        answer = self._app.error(response_id(), errors.too_many("Too many connections.", 1.0))
        with contextlib.suppress(OSError):
            sock.settimeout(0.05)
            sock.sendall(answer.encode(close=True))
            sock.shutdown(socket.SHUT_WR)

    def _closed(self) -> None:
        with self._lock:
            self._open -= 1
            self._lock.notify_all()

    # ---- one connection

    def _serve(self, sock: socket.socket) -> None:
        stream = Stream(sock)
        try:
            reader = MessageReader(self._limits.messages)
            while self._one(stream, reader):
                pass
        except (OSError, ClientDisconnectedError):
            pass  # the client has left, or takes no answer: there is nobody to tell
        except Exception:
            log.exception("connection thread failed")
        finally:
            stream.close()
            self._closed()

    def _one(self, stream: Stream, reader: MessageReader) -> bool:
        """One request and its answer; whether the connection goes on."""
        try:
            head = self._head(stream, reader)
            if head is None:
                return False
            body = self._body(stream, reader, head)
        except HttpError as error:
            self._write(stream, self._app.malformed(error).encode(close=True))
            self._linger(stream)
            return False
        answer = self._app.answer(head, body, stream.is_peer_open)
        close = self._draining or not head.keep_alive
        self._write(stream, answer.encode(close))
        if close:
            self._linger(stream)
        return not close

    def _write(self, stream: Stream, data: bytes) -> None:
        if not stream.send(data, self._clock() + self._limits.write_s, self._clock):
            raise ClientDisconnectedError

    def _head(self, stream: Stream, reader: MessageReader) -> RequestHead | None:
        """The next head; None where the client has ended, or stays idle for too long."""
        if not reader.pending:
            begun = self._begin(stream)
            if not begun:
                return None
            reader.feed(begun)
        try:
            until_s = self._clock() + self._limits.head_s
            return read_until(stream, reader, reader.request, until_s, self._clock)
        except TimeoutError as error:
            raise HttpError(408, f"no whole request head within {self._limits.head_s:g} s") from error
        except PeerClosed:
            return None

    def _begin(self, stream: Stream) -> bytes:
        """The first bytes of the next request; empty where none comes for too long, or until the end of the
        drain's grace: the connection is closed then. PeerClosed where the client has ended.
        """
        begun = b"" if self._draining else self._wait_idle(stream)
        if not begun and self._draining:
            # Requests already on their way are answered, with a word that the connection closes.
            begun = _receive(stream, IDLE_GRACE_S)
        return begun or self._close_idle(stream)

    def _wait_idle(self, stream: Stream) -> bytes:
        """What comes on an idle connection; empty where nothing does for too long, or the server drains."""
        until_s = self._clock() + self._limits.idle_s
        begun = _receive(stream, min(IDLE_READ_S, self._limits.idle_s))
        if begun or self._draining:
            return begun
        poll = select.poll()
        poll.register(stream.sock, select.POLLIN)
        poll.register(self._drain_event, select.POLLIN)
        left_s = max(0.0, until_s - self._clock())
        ready = {descriptor for descriptor, _ in poll.poll(left_s * 1000)}
        return _receive(stream, IDLE_READ_S) if stream.sock.fileno() in ready else b""

    def _close_idle(self, stream: Stream) -> bytes:
        """Close an idle connection, unless a request came meanwhile: then what has come of it. One at a time:
        with all of them between the look and the close, that gap grows to milliseconds, in which a request
        is lost.
        """
        with self._closing_idle:
            begun = stream.receive_now()
            if not begun:
                stream.close()
        return begun

    def _body(self, stream: Stream, reader: MessageReader, head: RequestHead) -> bytes:
        limit = self._app.body_limit(head)
        told = head.headers.get("content-length")
        if told and int(told) > limit:
            raise HttpError(413, f"{told} bytes payload is too large; the limit is {limit} bytes")
        if head.expects_continue:
            self._write(stream, writer.CONTINUE)
        try:
            until_s = self._clock() + self._limits.body_s
            body = read_until(stream, reader, reader.body, until_s, self._clock)
        except TimeoutError as error:
            raise HttpError(408, f"no whole request body within {self._limits.body_s:g} s") from error
        if len(body) > limit:
            raise HttpError(413, f"{len(body)} bytes payload is too large; the limit is {limit} bytes")
        return body

    def _linger(self, stream: Stream) -> None:
        """Read on for a moment: closing on unread bytes would reset the answer away."""
        with contextlib.suppress(OSError):
            stream.abort(socket.SHUT_WR)
            end_s, left = self._clock() + LINGER_S, LINGER_BYTES
            while left > 0 and (wait := end_s - self._clock()) > 0:
                data = stream.receive(wait)
                if not data:
                    return
                left -= len(data)


def _receive(stream: Stream, timeout_s: float) -> bytes:
    """What comes within that time; empty where nothing does. PeerClosed where the client has ended."""
    try:
        received = stream.receive(timeout_s)
    except TimeoutError:
        return b""
    if not received:
        raise PeerClosed("the client ended the connection")
    return received


def _reserve() -> int | None:
    try:
        return os.open(os.devnull, os.O_RDONLY)
    except OSError:
        return None
