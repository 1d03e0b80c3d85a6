"""Which client connections make room for new ones."""

from __future__ import annotations

import math
from collections import OrderedDict

from saffronstack.platform.connection import ClientConnection

# How often all connections are looked at for ones that their clients have ended: done for each of some
# hundred newcomers a second it takes the whole processor.
ENDED_EVERY_S = 0.02


class EvictionOrder:
    """Of the idle connections those that never said anything go first, since a client that will say something
    does so at once; then those that their clients have ended; then the others; longest idle first.
    """

    def __init__(self) -> None:
        self.scans = 0  # how often all connections were looked at
        self._silent: OrderedDict[ClientConnection, None] = OrderedDict()  # in the order in which they came
        self._spoken: OrderedDict[ClientConnection, None] = OrderedDict()  # in the order of last activity
        self._scanned_s = -math.inf

    def add(self, connection: ClientConnection) -> None:
        """It was accepted."""
        self._silent[connection] = None

    def touch(self, connection: ClientConnection) -> None:
        """Something of it was read, or it has something open."""
        if not connection.spoken:
            return
        self._silent.pop(connection, None)
        self._spoken[connection] = None
        self._spoken.move_to_end(connection)

    def remove(self, connection: ClientConnection) -> None:
        """It was closed."""
        self._silent.pop(connection, None)
        self._spoken.pop(connection, None)

    def next(self, now: float) -> ClientConnection | None:
        """The next one to close, looked at right now; None where none may be closed."""
        for connection in self._silent:
            if connection.evictable():
                return connection
        if now - self._scanned_s >= ENDED_EVERY_S:
            self.scans += 1
            self._scanned_s = now
            for connection in self._spoken:
                if connection.has_ended():
                    self._scanned_s = -math.inf  # there may be more of them
                    return connection
        for connection in self._spoken:
            if connection.evictable():
                return connection
        return None
