"""Divides a gateway's file descriptors and memory so that neither clients nor workers starve. No I/O."""

from __future__ import annotations

from dataclasses import dataclass

from saffronstack.platform.used_tags import ENTRY_BYTES

# Descriptors for standard streams, listener, directory, writer and configuration file, with some spare.
RESERVED_DESCRIPTORS = 24
# Fraction of the other descriptors for client connections. Clients use at most `USABLE_CLIENT_FRACTION` of
# all descriptors; the rest of this part is for connections that are being closed.
CLIENT_DESCRIPTOR_FRACTION = 0.42
USABLE_CLIENT_FRACTION = 1 / 3
CALL_MEMORY_FRACTION = 0.15  # fraction of the memory that the payloads of open calls may use
BYTES_PER_CALL = 2 * 16384  # payload of a call and the encoded request to a host
TAG_MEMORY_FRACTION = 0.05  # fraction of the memory for the used tags of all client connections


@dataclass(frozen=True, slots=True)
class Budget:
    """Numbers of connections and calls that may be open at once, and entries of used tags."""

    clients: int
    client_reserve: int  # client connections beyond those that clients may use
    links: int
    calls: int
    tag_entries: int  # of all client connections, apart from those reserved for each


def divide_budget(sockets: int, memory_mb: float, max_open_calls: int) -> Budget:
    """Return the parts of the descriptors and of the memory; each part is at least 1."""
    free = max(2, sockets - RESERVED_DESCRIPTORS)
    clients = max(1, int(free * CLIENT_DESCRIPTOR_FRACTION))
    memory_bytes = memory_mb * 1024 * 1024
    calls = int(memory_bytes * CALL_MEMORY_FRACTION / BYTES_PER_CALL)
    tag_entries = int(memory_bytes * TAG_MEMORY_FRACTION / ENTRY_BYTES)
    reserve = max(1, clients - int(sockets * USABLE_CLIENT_FRACTION))
    open_calls = max(32, min(max_open_calls, calls))
    return Budget(clients, reserve, max(1, free - clients), open_calls, tag_entries)
