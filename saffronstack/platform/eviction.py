"""Which client connections make room for new ones."""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Collection

from saffronstack.platform.connection import ClientConnection

# How long a ranking is used, and how long an empty one is believed. Ranking looks at every connection: done
# for each of some hundred newcomers a second it takes the whole processor.
RANKING_S = 0.02


class EvictionOrder:
    """Of the idle connections those that never said anything go first, since a client that will say something
    does so at once; then those that their clients have ended; then the others; longest idle first."""

    def __init__(self) -> None:
        self.rankings = 0  # how often all connections were looked at
        self._ranked: deque[tuple[ClientConnection, float]] = deque()  # with the time of its last activity
        self._ranked_s = -math.inf

    def next(self, connections: Collection[ClientConnection], now: float) -> ClientConnection | None:
        """The next one to close, looked at once more; None where none may be closed."""
        if now - self._ranked_s >= RANKING_S:
            self._rank(connections, now)
        while self._ranked:
            connection, active_s = self._ranked.popleft()
            unchanged = connection.fileno() >= 0 and connection.active_s == active_s
            if unchanged and connection.evictable():
                return connection
        return None

    def _rank(self, connections: Collection[ClientConnection], now: float) -> None:
        self.rankings += 1
        self._ranked_s = now
        by_activity = sorted(connections, key=lambda connection: connection.active_s)
        silent = [one for one in by_activity if not one.spoken and one.idle]
        ended = [one for one in by_activity if one.has_ended()]
        spoken = [one for one in by_activity if one.spoken and one.idle]
        self._ranked = deque((one, one.active_s) for one in [*silent, *ended, *spoken])
