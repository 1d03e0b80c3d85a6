"""Slots as locked files: a member runs operations of a slot only while it holds the slot's lock.

The system gives a lock back when its process dies, and keeps it for one that is paused: so at no moment do
two members run operations of one slot, whatever they believe of each other. Beside each lock stands who held
it, and where those keep their notes: the next holder reads them before it takes the slot's first operation.
"""

from __future__ import annotations

import contextlib
import fcntl
import os
import pathlib
import threading
from collections.abc import Callable, Iterable

import msgspec
import structlog

from saffronstack.operations.slot_assignment import SLOTS, owner
from saffronstack.runtime.threads import start_thread

TICK_S = 0.1
AGAIN_S = 1.0  # pause before a slot is tried again whose former holders' notes can't be read
LIVE_MOST = 4096  # bytes of a member's own line
log = structlog.get_logger("saffronstack.operations")


class Home(msgspec.Struct, frozen=True):
    """Where a member keeps what its operations left; empty where it keeps nothing."""

    notes: str = ""
    ledger: str = ""


class Peer(msgspec.Struct, frozen=True):
    """A member that lives, and where it answers the others."""

    member: str
    address: str


class SlotKeeper:
    """Called by the slots' thread."""

    def take_over(self, slots: frozenset[int], homes: list[Home], memory: list[tuple[bytes, bytes]]) -> None:
        """Read what earlier holders, the latest last, noted of some slots; what the last one left of its
        memory counts before all. It is durable in this member's own notes when this returns. JournalError or
        OSError where that can't be done."""
        raise NotImplementedError

    def give_up(self, slots: frozenset[int]) -> dict[int, list[tuple[bytes, bytes]]]:
        """Begin nothing more in some slots. Those of which nothing is under way, with what stood in memory;
        all else of them is on the disk then. The others are asked for again."""
        raise NotImplementedError


class Slots:
    """The slots of one member; one thread takes and gives them back, any thread may ask."""

    def __init__(
        self,
        directory: pathlib.Path,
        member: str,
        address: Callable[[], str],
        home: Home,
        keeper: SlotKeeper,
        clock: Callable[[], float],
    ) -> None:
        """``address``: where this member answers the others. OSError where the directory can't be had."""
        self.member = member
        self._directory = directory
        self._live_directory = directory / "live"
        self._live_directory.mkdir(parents=True, exist_ok=True)
        self._address = address
        self._home = home
        self._keeper = keeper
        self._clock = clock
        self._held: dict[int, int] = {}  # descriptors
        self._ready: frozenset[int] = frozenset()
        self._again_s = 0.0
        self._live_fd = -1
        self._live: dict[str, Peer] = {}
        self._stopping = threading.Event()
        self._ended = threading.Event()

    # ---- from any thread

    def holds(self, slot: int) -> bool:
        """Whether operations of a slot may be run here."""
        return slot in self._ready

    @property
    def held(self) -> int:
        """How many slots it holds."""
        return len(self._ready)

    def owner_of(self, slot: int) -> Peer | None:
        """Who should hold a slot, by the latest look."""
        return self._live.get(owner(slot, self._live) or "")

    def start(self) -> None:
        """Show that this member lives, take what is its own, and go on doing so on a thread."""
        path = self._live_directory / self.member
        self._live_fd = os.open(path, os.O_RDWR | os.O_CREAT, 0o600)
        fcntl.flock(self._live_fd, fcntl.LOCK_EX | fcntl.LOCK_NB)
        line = msgspec.json.encode(Peer(self.member, self._address()))
        os.pwrite(self._live_fd, line.ljust(LIVE_MOST), 0)
        self.tick()
        start_thread("slots", self._run)

    def stop(self, timeout_s: float = 5.0) -> bool:
        """Give every slot back, with what stands in memory; whether that was in time."""
        self._stopping.set()
        return self._ended.wait(timeout_s)

    # ---- the thread

    def _run(self) -> None:
        try:
            while not self._stopping.wait(TICK_S):
                try:
                    self.tick()
                except Exception:
                    log.exception("slots not looked after")
            end_s = self._clock() + 2.0
            while self._held and self._clock() < end_s:
                self._give_back(list(self._held))
                threading.Event().wait(0.02)
        finally:
            for slot in list(self._held):
                self._unlock(slot)
            if self._live_fd >= 0:
                os.close(self._live_fd)
            self._ended.set()

    def tick(self) -> None:
        """Look who lives, give back what is another's, take what is this one's."""
        self._live = self._look()
        wanted = {slot for slot in range(SLOTS) if owner(slot, self._live) == self.member}
        self._give_back([slot for slot in self._held if slot not in wanted])
        if self._clock() >= self._again_s:
            self._take([slot for slot in wanted if slot not in self._held])

    def _look(self) -> dict[str, Peer]:
        """Members whose locks are held: a lock that can be had is a dead member's."""
        live = {self.member: Peer(self.member, self._address())}
        for path in self._live_directory.iterdir():
            if path.name == self.member:
                continue
            with contextlib.suppress(OSError, msgspec.MsgspecError):
                descriptor = os.open(path, os.O_RDONLY)
                try:
                    fcntl.flock(descriptor, fcntl.LOCK_SH | fcntl.LOCK_NB)
                except BlockingIOError:
                    peer = msgspec.json.decode(os.pread(descriptor, LIVE_MOST, 0).strip(), type=Peer)
                    live[peer.member] = peer
                finally:
                    os.close(descriptor)
        return live

    def _take(self, slots: list[int]) -> None:
        """Lock what nobody holds, read what its holders noted, and only then use it."""
        got = [slot for slot in slots if self._lock(slot)]
        if not got:
            return
        homes: dict[Home, None] = {}
        memory: list[tuple[bytes, bytes]] = []
        try:
            for slot in got:
                homes.update(dict.fromkeys(self._holders(slot)))
                memory += self._left(slot)
            self._keeper.take_over(frozenset(got), list(homes), memory)
            for slot in got:
                self._write_holders(slot)
                (self._directory / f"{slot}.memory").unlink(missing_ok=True)
        except Exception as error:
            # Without the notes a second run could not be told from a first: nobody runs these slots for now.
            log.error("slots not taken: the notes of their holders can't be read", error=str(error))
            self._again_s = self._clock() + AGAIN_S
            for slot in got:
                self._unlock(slot)
            return
        self._ready |= frozenset(got)

    def _give_back(self, slots: Iterable[int]) -> None:
        leaving = frozenset(slots)
        if not leaving:
            return
        self._ready -= leaving
        for slot, left in self._keeper.give_up(leaving).items():
            if left:
                partial = self._directory / f"{slot}.memory.tmp"
                partial.write_bytes(msgspec.msgpack.encode(left))
                partial.rename(self._directory / f"{slot}.memory")
            self._unlock(slot)

    def _lock(self, slot: int) -> bool:
        descriptor = os.open(self._directory / f"{slot}.lock", os.O_RDWR | os.O_CREAT, 0o600)
        try:
            fcntl.flock(descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            os.close(descriptor)
            return False
        self._held[slot] = descriptor
        return True

    def _unlock(self, slot: int) -> None:
        self._ready -= {slot}
        os.close(self._held.pop(slot))  # which gives the lock back

    def _holders(self, slot: int) -> list[Home]:
        """Those whose notes tell of this slot, the latest last."""
        found = []
        for line in os.pread(self._held[slot], 1 << 20, 0).splitlines():
            with contextlib.suppress(msgspec.MsgspecError):  # what a kill cut: the line before it stands
                found.append(msgspec.json.decode(line, type=Home))
        return found

    def _write_holders(self, slot: int) -> None:
        """What earlier holders noted stands in this member's notes now: only it need be read from here on.
        One that keeps no notes is one more of the list."""
        earlier = [] if self._home.notes else [home for home in self._holders(slot) if home != self._home]
        data = b"".join(msgspec.json.encode(home) + b"\n" for home in [*earlier, self._home])
        descriptor = self._held[slot]
        os.pwrite(descriptor, data, 0)
        os.ftruncate(descriptor, len(data))
        os.fdatasync(descriptor)

    def _left(self, slot: int) -> list[tuple[bytes, bytes]]:
        try:
            data = (self._directory / f"{slot}.memory").read_bytes()
        except FileNotFoundError:
            return []
        try:
            return msgspec.msgpack.decode(data, type=list[tuple[bytes, bytes]])
        except msgspec.MsgspecError as error:
            log.error("what a slot's holder left can't be read", slot=slot, error=str(error))
            return []
