"""Reads from the kernel when a TCP socket last sent and received, however late its thread runs."""

from __future__ import annotations

import socket
import struct
import time
from collections.abc import Callable
from dataclasses import dataclass

KERNEL_TICK_S = 0.01  # the longest timer tick of Linux; times in TCP_INFO are counted in ticks
MILLISECONDS = 1e3
_TCP_INFO = struct.Struct("=44xI8xI")  # tcpi_last_data_sent, tcpi_last_ack_recv: milliseconds since then


@dataclass(frozen=True, slots=True)
class TcpTimes:
    """Monotonic seconds, each accurate to one kernel tick.

    Attributes:
        sent_s: When data was sent last.
        received_s: When a segment was received last; a reset does not count.
    """

    sent_s: float
    received_s: float

    def earliest_send_s(self, before_s: float) -> float:
        """Return a lower bound of the last write's time; ``before_s`` is the time right before the write."""
        return max(before_s, self.sent_s - KERNEL_TICK_S)

    def latest_end_s(self, seen_s: float) -> float:
        """Return an upper bound of the time of the peer's FIN; ``seen_s`` is when it was read."""
        return min(seen_s, self.received_s + KERNEL_TICK_S)


def read_tcp_times(sock: socket.socket, clock: Callable[[], float] = time.monotonic) -> TcpTimes:
    """Read the times of a connection. A pause between the clock readings widens the bounds.

    Raises:
        OSError: The socket is closed.
    """
    before_s = clock()
    info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, _TCP_INFO.size)
    after_s = clock()
    since_sent_ms, since_received_ms = _TCP_INFO.unpack(info)
    return TcpTimes(before_s - since_sent_ms / MILLISECONDS, after_s - since_received_ms / MILLISECONDS)
