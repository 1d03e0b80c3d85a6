"""The queue of a listening socket at the end of its life.

Closing a listening socket resets the connections that wait in its queue, with the requests that their clients
have sent. A queue that is to be emptied first must not go on to fill, or emptying it has no end.
"""

from __future__ import annotations

import ctypes
import socket
import struct

_SO_ATTACH_FILTER = 26  # of Linux, on all its common architectures; the library does not name it
_BPF_RETURN_CONSTANT = 0x06
_DROP = 0  # bytes of a packet that are kept


class _FilterInstruction(ctypes.Structure):
    """One instruction of a classic packet filter: ``struct sock_filter``."""

    _fields_ = (
        ("code", ctypes.c_uint16),
        ("jump_true", ctypes.c_uint8),
        ("jump_false", ctypes.c_uint8),
        ("constant", ctypes.c_uint32),
    )


def stop_handshakes(listener: socket.socket) -> bool:
    """Let no further connection into a listening socket's queue; what waits in it stays.

    Packets of new connections are dropped: their clients try again after a second, and are refused, or meet
    another listener of the address. For a socket that is about to be closed: this is not undone.

    Returns:
        Whether the system does this; without it the queue goes on to fill.
    """
    program = (_FilterInstruction * 1)(_FilterInstruction(_BPF_RETURN_CONSTANT, 0, 0, _DROP))
    descriptor = struct.pack("HP", len(program), ctypes.addressof(program))
    try:
        listener.setsockopt(socket.SOL_SOCKET, _SO_ATTACH_FILTER, descriptor)
    except OSError:
        return False
    return True
