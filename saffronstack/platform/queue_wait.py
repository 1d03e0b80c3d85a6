"""How long a client waited in the listener's queue, as the kernel tells it."""

from __future__ import annotations

import contextlib
import socket
import struct

LAST_DATA_RECEIVED = struct.Struct("=I")  # milliseconds since data came, or since the handshake
LAST_DATA_RECEIVED_OFFSET = 52  # in the kernel's struct tcp_info
TCP_INFO_BYTES = LAST_DATA_RECEIVED_OFFSET + LAST_DATA_RECEIVED.size


def read_queue_wait_s(accepted: socket.socket) -> float:
    """How long the newest byte of a connection that was accepted now has waited; 0 where it can't be told."""
    with contextlib.suppress(OSError, struct.error):
        info = accepted.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO_BYTES)
        (waited_ms,) = LAST_DATA_RECEIVED.unpack_from(info, LAST_DATA_RECEIVED_OFFSET)
        return int(waited_ms) / 1000
    return 0.0
