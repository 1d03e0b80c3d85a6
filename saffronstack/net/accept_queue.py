"""Stops a listening socket's accept queue from filling before the socket is closed.

Closing a listening socket resets the connections in its accept queue, and with them the requests that clients
have already sent. The queue therefore has to be emptied first, which only ends if it gets no new connections.
"""

from __future__ import annotations

import ctypes
import socket
import struct

_SO_ATTACH_FILTER = 26  # Linux, same value on all common architectures; missing in the socket module
_BPF_RETURN_CONSTANT = 0x06
_DROP = 0  # bytes of each packet to accept


class _FilterInstruction(ctypes.Structure):
    """One instruction of a classic BPF filter: ``struct sock_filter``."""

    _fields_ = (
        ("code", ctypes.c_uint16),
        ("jump_true", ctypes.c_uint8),
        ("jump_false", ctypes.c_uint8),
        ("constant", ctypes.c_uint32),
    )


def stop_handshakes(listener: socket.socket) -> bool:
    """Stop the handshakes of new connections to a listening socket; queued connections are kept.

    The kernel drops the packets of new connections. Their clients retransmit after a second and then either
    get a connection refusal or reach another listener of the address. The filter is never removed, so use
    this only on a socket that is about to be closed.

    Returns:
        Whether the system supports this; if not, new connections still enter the accept queue.
    """
    program = (_FilterInstruction * 1)(_FilterInstruction(_BPF_RETURN_CONSTANT, 0, 0, _DROP))
    descriptor = struct.pack("HP", len(program), ctypes.addressof(program))
    try:
        listener.setsockopt(socket.SOL_SOCKET, _SO_ATTACH_FILTER, descriptor)
    except OSError:
        return False
    return True
