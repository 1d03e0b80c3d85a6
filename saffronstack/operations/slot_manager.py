"""The slots of one member: it acquires those assigned to it, and hands over those that no longer are."""

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

MAINTENANCE_INTERVAL_S = 0.1
ACQUIRE_BACKOFF_S = 1.0  # after the records of earlier holders could not be read
STOP_HANDOVER_S = 2.0  # how long a member that stops waits for operations in flight
STOP_RETRY_INTERVAL_S = 0.02
LIVE_DIRECTORY = "live"
log = structlog.get_logger("saffronstack.operations")


class SlotHandover(ABC):
    """Moves the operations of slots between members. Called on the slot manager's thread."""

    @abstractmethod
    def take_over(
        self, slots: frozenset[int], locations: list[RecordLocation], handed_over: list[EncodedOperation]
    ) -> None:
        """Learn the operations of slots that were acquired, durably.

        Args:
            slots: The slots.
            locations: The records of earlier holders, the latest last.
            handed_over: What the last holders remembered, which prevails.

        Raises:
            JournalError: Records can't be read or written.
            OSError: The same.
        """

    @abstractmethod
    def hand_over(self, slots: frozenset[int]) -> dict[int, list[EncodedOperation]]:
        """Return what is remembered of those slots that have no operation in flight.

        Everything else of them is on the disk then. The others are asked for again.
        """


@dataclass(frozen=True, slots=True)
class SlotMember:
    """A member of the group of processes that share the slots.

    Attributes:
        address: Returns where it serves the others.
        location: Where it keeps records of its operations.
    """

    name: str
    address: Callable[[], str]
    location: RecordLocation


class SlotManager:
    """Acquires and hands over slots on one thread; any thread may ask what is held."""

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
        self._live_peers: dict[str, Peer] = {}  # replaced, never changed: any thread may read it
        self._usable_slots: frozenset[int] = frozenset()  # the same
        self._next_acquisition_s = 0.0
        self._stopping = threading.Event()
        self._stopped = threading.Event()

    def is_held(self, slot: int) -> bool:
        """Return whether operations of a slot may be executed here."""
        return slot in self._usable_slots

    @property
    def held_count(self) -> int:
        """How many slots this member holds."""
        return len(self._usable_slots)

    def assigned_peer(self, slot: int) -> Peer | None:
        """Return the member that should hold a slot, by the latest list of live members."""
        return self._live_peers.get(assigned_member(slot, self._live_peers) or "")

    def start(self) -> None:
        """Announce this member, acquire its slots, and start the thread that maintains them."""
        self._live_members.announce()
        self.maintain()
        start_thread("slots", self._run)

    def stop(self, timeout_s: float = 5.0) -> bool:
        """Hand all slots over; return whether that ended in time."""
        self._stopping.set()
        return self._stopped.wait(timeout_s)

    def maintain(self) -> None:
        """List the live members, hand over slots assigned to others, and acquire this member's own."""
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
                except Exception:  # a fault must not end the thread: other members could never get the slots
                    log.exception("slot maintenance failed")
            self._hand_over_all()
        finally:
            for slot in self._locks.held_slots:
                self._release(slot)
            self._live_members.close()
            self._stopped.set()

    def _hand_over_all(self) -> None:
        """Hand all slots over, waiting for operations in flight for a bounded time."""
        deadline_s = self._clock() + STOP_HANDOVER_S
        while self._locks.held_slots and self._clock() < deadline_s:
            self._hand_over(frozenset(self._locks.held_slots))
            threading.Event().wait(STOP_RETRY_INTERVAL_S)

    def _acquire(self, slots: list[int]) -> None:
        """Lock the slots that are free, learn their operations, and only then make them usable."""
        acquired = [slot for slot in slots if self._locks.acquire(slot)]
        if not acquired:
            return
        try:
            self._take_over(acquired)
        except Exception as error:  # noqa: BLE001 - whatever it is, the slots stay without a holder
            # Without the records a retry can't be told from a first request: no member uses these slots now.
            log.error("slots not acquired: operation logs of earlier holders can't be read", error=str(error))
            self._next_acquisition_s = self._clock() + ACQUIRE_BACKOFF_S
            for slot in acquired:
                self._release(slot)
            return
        self._usable_slots |= frozenset(acquired)

    def _take_over(self, slots: list[int]) -> None:
        locations: dict[RecordLocation, None] = {}  # in order, each once
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
