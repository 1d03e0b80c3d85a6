"""Bounds the memory that the message bodies of all connections of a server occupy.

Bodies up to `SMALL_BODY_BYTES` are not counted; the limit of connections bounds them. A larger one reserves
its size before it is read, or as it arrives if it announces none, until its request has been answered. While
there is no space, the body that has stalled longest is evicted, so that one that stops half way keeps nobody
out.
"""

from __future__ import annotations

import threading
from collections.abc import Callable

SMALL_BODY_BYTES = 16 * 1024
MIN_PROGRESS_BYTES = 64 * 1024  # a body that receives fewer bytes within `STALL_S` has stalled
STALL_S = 1.0
RESERVE_TIMEOUT_S = 2 * STALL_S  # how long a body waits for space, so that one that stalls now is evicted
MIN_WAIT_S = 0.05  # between two looks for stalled bodies; a release ends the wait at once


class BodyMemoryFullError(Exception):
    """There was no space for a body in time; its request was not read and may be sent again."""


class BodyReservation:
    """The memory of the body of one request. Only the thread of its connection calls its methods."""

    def __init__(self, memory: BodyMemory, evict: Callable[[], None]) -> None:
        """Reserve nothing yet; see `BodyMemory.open`."""
        self.reserved_bytes = 0
        self._grows = False  # whether the size was not announced
        self.is_evicted = False  # set by another thread, whose body takes the space
        self._memory = memory
        self.evict = evict
        self._received_bytes = 0
        self._marked_bytes = 0  # received when `progressed_s` was set
        self.progressed_s = 0.0  # when the last `MIN_PROGRESS_BYTES` were complete

    def begin(self, announced_bytes: int | None) -> None:
        """Reserve the memory of a body before it is read; None if its size is not known.

        Raises:
            BodyMemoryFullError: There was no space in time.
        """
        if announced_bytes is None:
            self._grows = True
        elif announced_bytes > SMALL_BODY_BYTES:
            self._memory.grow(self, announced_bytes)

    def on_received(self, count: int) -> None:
        """Record that bytes of the body arrived; reserve more if its size was not announced.

        Raises:
            BodyMemoryFullError: There was no space in time.
        """
        self._received_bytes += count
        if self._received_bytes - self._marked_bytes >= MIN_PROGRESS_BYTES:
            self._marked_bytes = self._received_bytes
            self.progressed_s = self._memory.clock()
        if self._grows and self._received_bytes > max(SMALL_BODY_BYTES, self.reserved_bytes):
            self._memory.grow(self, self._received_bytes + MIN_PROGRESS_BYTES)

    def finish_reading(self) -> None:
        """Record that the body is complete: from now on it is not evicted."""
        self._memory.finish_reading(self)

    def release(self) -> None:
        """Release the memory: the request has been answered or given up."""
        self._memory.release(self)


class BodyMemory:
    """The memory of all bodies of a server. Thread-safe."""

    def __init__(self, capacity_bytes: int, clock: Callable[[], float]) -> None:
        """Create a memory for ``capacity_bytes`` of large bodies; ``clock`` is monotonic, in seconds."""
        self.clock = clock
        self.reserved_bytes = 0
        self.evicted_count = 0
        self._capacity_bytes = capacity_bytes
        self._condition = threading.Condition()  # guards all fields
        self._reading: set[BodyReservation] = set()
        self._waiting_bytes: list[int] = []  # what each waiting body needs

    def open(self, evict: Callable[[], None]) -> BodyReservation:
        """Return a reservation of nothing.

        Args:
            evict: Makes the thread that reads the body stop; called on any thread.
        """
        return BodyReservation(self, evict)

    def grow(self, reservation: BodyReservation, size_bytes: int) -> None:
        """Raise a reservation to a size, or to all there is; see `BodyReservation.begin`.

        Of the bodies that wait, the one that needs least comes first: large ones that stall again and again
        would keep it out.
        """
        size_bytes = min(size_bytes, self._capacity_bytes)
        with self._condition:
            missing = size_bytes - reservation.reserved_bytes
            self._waiting_bytes.append(missing)
            try:
                self._wait_for_space(missing, reservation)
            finally:
                self._waiting_bytes.remove(missing)
                self._condition.notify_all()
            reservation.reserved_bytes += missing
            self.reserved_bytes += missing
            if reservation not in self._reading:
                reservation.progressed_s = self.clock()
                self._reading.add(reservation)

    def _wait_for_space(self, missing: int, reservation: BodyReservation) -> None:
        deadline_s = self.clock() + RESERVE_TIMEOUT_S
        while missing > self._free_bytes() or missing > min(self._waiting_bytes):
            self._evict_stalled(missing - self._free_bytes(), reservation)
            remaining_s = deadline_s - self.clock()
            if reservation.is_evicted or remaining_s <= 0:
                raise BodyMemoryFullError
            self._condition.wait(min(remaining_s, self._until_next_stall_s()))

    def finish_reading(self, reservation: BodyReservation) -> None:
        """See `BodyReservation.finish_reading`."""
        with self._condition:
            self._reading.discard(reservation)

    def release(self, reservation: BodyReservation) -> None:
        """See `BodyReservation.release`."""
        with self._condition:
            self._reading.discard(reservation)
            self.reserved_bytes -= reservation.reserved_bytes
            reservation.reserved_bytes = 0
            self._condition.notify_all()

    def _free_bytes(self) -> int:
        return self._capacity_bytes - self.reserved_bytes

    def _evict_stalled(self, needed_bytes: int, for_reservation: BodyReservation) -> None:
        """Evict the bodies that have stalled longest until they hold enough; those evicted before count."""
        stalled_since_s = self.clock() - STALL_S
        needed_bytes -= sum(body.reserved_bytes for body in self._reading if body.is_evicted)
        for body in sorted(self._reading, key=lambda body: body.progressed_s):
            if needed_bytes <= 0 or body.progressed_s > stalled_since_s:
                return
            if body.is_evicted or body is for_reservation:
                continue
            needed_bytes -= body.reserved_bytes
            body.is_evicted = True
            self.evicted_count += 1
            body.evict()

    def _until_next_stall_s(self) -> float:
        """Return the seconds until a body can be evicted; bytes that arrive meanwhile delay that."""
        progressed_s = [body.progressed_s for body in self._reading if not body.is_evicted]
        return max(MIN_WAIT_S, min(progressed_s, default=self.clock()) + STALL_S - self.clock())
