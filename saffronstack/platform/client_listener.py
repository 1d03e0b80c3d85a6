"""The listening socket for clients, which the event loop polls only while connections may be accepted."""

from __future__ import annotations

import contextlib
import select
import socket

BACKLOG = 512  # length of the accept queue


class ClientListener:
    """Owned by the frontend's thread.

    Attributes:
        sock: The listening socket.
        is_polled: Whether the event loop polls the socket.
    """

    def __init__(self, address: tuple[str, int], poll: select.epoll) -> None:
        """Bind the address; ``poll`` is that of the event loop.

        Raises:
            OSError: The address is not available.
        """
        self.sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.sock.bind(address)
        self.sock.listen(BACKLOG)
        self.sock.setblocking(False)
        self.is_polled = False
        self._poll = poll
        self._resume_s = 0.0  # clock time at which a paused listener is polled again
        self._accept_queue_poll = select.poll()
        self._accept_queue_poll.register(self.sock, select.POLLIN)

    @property
    def address(self) -> tuple[str, int]:
        """The address of the socket."""
        host, port = self.sock.getsockname()
        return str(host), int(port)

    def fileno(self) -> int:
        """The socket's descriptor."""
        return self.sock.fileno()

    def has_waiting_client(self) -> bool:
        """Return whether a connection waits in the accept queue."""
        return bool(self._accept_queue_poll.poll(0))

    def enable(self) -> None:
        """Poll the socket from now on."""
        if not self.is_polled:
            self._poll.register(self.sock, select.EPOLLIN)
        self.is_polled = True

    def disable(self) -> None:
        """Leave new connections in the accept queue."""
        if self.is_polled:
            self._poll.unregister(self.sock)
        self.is_polled = False

    def pause(self, until_s: float) -> None:
        """Leave new connections in the accept queue until a clock time."""
        self.disable()
        self._resume_s = until_s

    def end_pause(self) -> None:
        """Let the pause end at the next call of `resume_if_due`."""
        self._resume_s = 0.0

    def resume_if_due(self, now: float) -> None:
        """Poll the socket again if its pause is over."""
        if now >= self._resume_s:
            self.enable()

    def remaining_pause_s(self, now: float) -> float:
        """Return the seconds until the pause is over."""
        return max(0.0, self._resume_s - now)

    def close(self) -> None:
        """Close the socket, which resets the connections in the accept queue."""
        with contextlib.suppress(OSError):
            self.sock.close()
