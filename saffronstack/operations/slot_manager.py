"""Acquires the slots that are assigned to a member, and hands over those that no longer are."""

from __future__ import annotations

import pathlib
import threading
from abc import ABC, abstractmethod
from collections.abc import Callable
from dataclasses import dataclass

import structlog

from saffronstack.operations.live_members import LiveMembers, Peer
from saffronstack.operations.operation import EncodedOperation
from saffronstack.operations.slot_assignment import SLOT_COUNT, assigned_member
from saffronstack.operations.slot_locks import RecordLocation, SlotLocks
from saffronstack.runtime.threads import start_thread

MAINTENANCE_INTERVAL_S = 0.1  # between two checks of the assignment
ACQUIRE_BACKOFF_S = 1.0  # before the next acquisition after records of earlier holders could not be read
STOP_HANDOVER_S = 2.0  # how long a stopping member waits for in-flight operations
STOP_RETRY_INTERVAL_S = 0.02  # between two checks for slots without in-flight operations
LIVE_DIRECTORY = "live"
log = structlog.get_logger("saffronstack.operations")


class SlotHandover(ABC):
    """Moves the operations of slots between members. All methods run on the slot manager's thread."""

    @abstractmethod
    def take_over(
        self, slots: frozenset[int], locations: list[RecordLocation], handed_over: list[EncodedOperation]
    ) -> None:
        """Load the operations of newly acquired slots, and log them durably.

        Args:
            slots: The acquired slots.
            locations: Where earlier holders store their records, latest holder last.
            handed_over: The records that the last holders wrote; they override those at the locations.

        Raises:
            JournalError: Records can't be read or written.
            OSError: Files can't be read or written.
        """

    @abstractmethod
    def hand_over(self, slots: frozenset[int]) -> dict[int, list[EncodedOperation]]:
        """Return the stored operations of all slots that have no operation in flight, by slot.

        All logged records of these slots are durable when the method returns. The manager asks for the other
        slots again later.
        """


@dataclass(frozen=True, slots=True)
class SlotMember:
    """A member of the group of processes that share the slots.

    Attributes:
        address: Returns the address at which other members reach it.
        location: The directories of its operation records.
    """

    name: str
    address: Callable[[], str]
    location: RecordLocation


class SlotManager:
    """Acquires and hands over slots on one thread. Any thread may read which slots are held."""

    def __init__(
        self, directory: pathlib.Path, member: SlotMember, handover: SlotHandover, clock: Callable[[], float]
    ) -> None:
        """Open the directory that all members share; ``clock`` is monotonic.

        Raises:
            OSError: The directory can't be used.
        """
        self.member = member.name
        self._location = member.location
        self._handover = handover
        self._clock = clock
        self._live_members = LiveMembers(directory / LIVE_DIRECTORY, member.name, member.address)
        self._locks = SlotLocks(directory)
        self._live_peers: dict[str, Peer] = {}  # replaced and never modified, so any thread may read it
        self._usable_slots: frozenset[int] = frozenset()  # replaced, never modified
        self._next_acquisition_s = 0.0
        self._stopping = threading.Event()
        self._stopped = threading.Event()

    def is_held(self, slot: int) -> bool:
        """Return whether this process may execute operations of a slot."""
        return slot in self._usable_slots

    @property
    def held_count(self) -> int:
        """The number of slots that this member holds and may use."""
        return len(self._usable_slots)

    def assigned_peer(self, slot: int) -> Peer | None:
        """Return the member that should hold a slot according to the latest list of live members."""
        return self._live_peers.get(assigned_member(slot, self._live_peers) or "")

    def start(self) -> None:
        """Announce this member, acquire its slots, and start the thread that maintains them."""
        self._live_members.announce()
        self.maintain()
        start_thread("slots", self._run)

    def stop(self, timeout_s: float = 5.0) -> bool:
        """Hand over all slots; return whether that finished within the timeout."""
        self._stopping.set()
        return self._stopped.wait(timeout_s)

    def maintain(self) -> None:
        """Update the list of live members, hand over slots assigned to others, and acquire assigned slots."""
        self._live_peers = self._live_members.poll()
        assigned = {
            slot for slot in range(SLOT_COUNT) if assigned_member(slot, self._live_peers) == self.member
        }
        self._hand_over(frozenset(self._locks.held_slots) - assigned)
        if self._clock() >= self._next_acquisition_s:
            held_slots = self._locks.held_slots
            self._acquire([slot for slot in assigned if slot not in held_slots])

    def _run(self) -> None:
        """Maintain the slots until the manager stops. Runs on the thread ``slots``."""
        try:
            while not self._stopping.wait(MAINTENANCE_INTERVAL_S):
                try:
                    self.maintain()
                except Exception:  # without the thread, other members could never get the slots
                    log.exception("slot maintenance failed")
            self._hand_over_all()
        finally:
            for slot in self._locks.held_slots:
                self._release(slot)
            self._live_members.close()
            self._stopped.set()

    def _hand_over_all(self) -> None:
        """Hand over all slots; wait for in-flight operations for a bounded time."""
        deadline_s = self._clock() + STOP_HANDOVER_S
        while self._locks.held_slots and self._clock() < deadline_s:
            self._hand_over(frozenset(self._locks.held_slots))
            threading.Event().wait(STOP_RETRY_INTERVAL_S)

    def _acquire(self, slots: list[int]) -> None:
        """Lock the slots that are free, load their operations, and only then allow their use."""
        acquired = [slot for slot in slots if self._locks.acquire(slot)]
        if not acquired:
            return
        try:
            self._take_over(acquired)
        except Exception as error:  # noqa: BLE001 - after any error no member uses the slots
            # Without the records a retry looks like a first request, so no member may use the slots.
            log.error("slots not acquired: operation logs of earlier holders can't be read", error=str(error))
            self._next_acquisition_s = self._clock() + ACQUIRE_BACKOFF_S
            for slot in acquired:
                self._release(slot)
            return
        self._usable_slots |= frozenset(acquired)

    def _take_over(self, slots: list[int]) -> None:
        locations: dict[RecordLocation, None] = {}  # an ordered set
        handed_over: list[EncodedOperation] = []
        for slot in slots:
            locations.update(dict.fromkeys(self._locks.read_locations(slot)))
            handed_over += self._locks.read_handover(slot)
        self._handover.take_over(frozenset(slots), list(locations), handed_over)
        for slot in slots:
            self._locks.write_locations(slot, self._location)
            self._locks.delete_handover(slot)

    def _hand_over(self, slots: frozenset[int]) -> None:
        if not slots:
            return
        self._usable_slots -= slots
        for slot, operations in self._handover.hand_over(slots).items():
            if operations:
                self._locks.write_handover(slot, operations)
            self._release(slot)

    def _release(self, slot: int) -> None:
        self._usable_slots -= {slot}
        self._locks.release(slot)
