"""How a gateway's descriptors and memory are divided, so that no side can starve another. No I/O."""

from __future__ import annotations

from dataclasses import dataclass

RESERVED_DESCRIPTORS = (
    24  # standard streams, listener, directory, writer, configuration file, and some in reserve
)
CLIENT_DESCRIPTOR_FRACTION = (
    0.42  # clients use at most a third; the rest is room for those that are being closed
)
USABLE_CLIENT_FRACTION = 1 / 3
CALL_MEMORY_FRACTION = 0.15  # of the memory that open calls' bodies may take
BYTES_PER_CALL = 2 * 16384  # a call's body and its line to a host


@dataclass(frozen=True, slots=True)
class Budget:
    """Connections and calls that may be open at once."""

    clients: int
    client_reserve: int  # of those, beyond what clients may use
    links: int
    calls: int


def divide_budget(sockets: int, memory_mb: float, max_open_calls: int) -> Budget:
    """Shares of the descriptors and of the memory, each at least one."""
    free = max(2, sockets - RESERVED_DESCRIPTORS)
    clients = max(1, int(free * CLIENT_DESCRIPTOR_FRACTION))
    calls = int(memory_mb * 1024 * 1024 * CALL_MEMORY_FRACTION / BYTES_PER_CALL)
    reserve = max(1, clients - int(sockets * USABLE_CLIENT_FRACTION))
    return Budget(clients, reserve, max(1, free - clients), max(32, min(max_open_calls, calls)))
