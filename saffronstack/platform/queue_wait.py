"""Reads from the kernel how long a client waited in the listener's accept queue."""

from __future__ import annotations

import contextlib
import socket
import struct

LAST_DATA_RECEIVED = struct.Struct("=I")  # milliseconds since the last data, or since the handshake
LAST_DATA_RECEIVED_OFFSET = 52  # of tcpi_last_data_recv in the kernel's struct tcp_info
TCP_INFO_BYTES = LAST_DATA_RECEIVED_OFFSET + LAST_DATA_RECEIVED.size


def read_queue_wait_s(accepted: socket.socket) -> float:
    """Return how long the newest byte of a just accepted connection has waited; 0 if it can't be read."""
    with contextlib.suppress(OSError, struct.error):
        info = accepted.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO_BYTES)
        (waited_ms,) = LAST_DATA_RECEIVED.unpack_from(info, LAST_DATA_RECEIVED_OFFSET)
        return int(waited_ms) / 1000
    return 0.0
