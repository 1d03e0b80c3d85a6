"""A keeper with its disk and its clock: nothing leaves before what it rests on has been saved."""

from __future__ import annotations

import threading
from collections.abc import Callable
from dataclasses import dataclass, field

import structlog

from saffronstack.fleet.leases.disk import KeeperDisk
from saffronstack.fleet.leases.keeper import Keeper
from saffronstack.fleet.leases.messages import Bounds, Message, Record, Save, Saved, Say, WakeAt
from saffronstack.runtime.threads import start_thread

log = structlog.get_logger("saffronstack.keeper")
AGAIN_S = 0.5  # after a save that failed
IDLE_S = 1.0
WAITING_MOST = 1024  # answers that may wait for the disk at one time
LISTENERS_MOST = 4096  # processes
MAIL_MOST = 64  # messages for one that listens
LEFT_S = 2.0  # one that listened so lately will again
SAVING_MOST_S = 2.0  # that a stop waits for a save under way


@dataclass(slots=True)
class _Box:
    """What waits for a process that listens."""

    messages: list[Message] = field(default_factory=list)
    listeners: int = 0
    left_s: float = 0.0

    def gone(self, now: float) -> bool:
        """Whether nobody will fetch it."""
        return not self.listeners and now - self.left_s > LEFT_S


class KeeperService:
    """Owns the machine (under a lock that is held for decisions alone) and the thread that saves."""

    def __init__(
        self,
        name: str,
        bounds: Bounds,
        disk: KeeperDisk,
        nonce: int,
        clock: Callable[[], float],
        say: Callable[[str, Message], None],
    ) -> None:
        """Reads the disk: ForeignStateError, OSError. ``say`` sends to another keeper, never waits."""
        self._clock = clock
        self._disk = disk
        self._say = say
        read = disk.read()
        for line in read.lines:
            log.warning("keeper's disk", line=line)
        self._machine = Keeper(name, bounds, read.found, read.saved, clock(), nonce)
        self._lock = threading.Condition()
        self._newest: Saved | None = None
        self._saved = read.saved.write  # the greatest write that is on the disk
        self._waiting = 0
        self._mail: dict[str, _Box] = {}
        self._wake_s: float | None = None
        self._stopping = False
        self.trouble = ""  # what the disk said last; empty while it is well
        self._saving: threading.Thread | None = None

    def start(self) -> None:
        """Save and keep time on threads of its own."""
        self._saving = start_thread("keeper-disk", self._save_all)
        start_thread("keeper-clock", self._keep_time)

    def stop(self, wait_s: float = SAVING_MOST_S) -> None:
        """Answer nobody any more and end a save under way: after this another keeper may use the directory.
        A disk that takes longer than ``wait_s`` is logged and left to itself."""
        with self._lock:
            self._stopping = True
            self._lock.notify_all()
        if self._saving is None:
            return
        self._saving.join(wait_s)
        if self._saving.is_alive():
            log.error("keeper stopped while its disk still saves", waited_s=wait_s)

    # ---- what others ask

    def ask(self, sender: str, messages: tuple[Message, ...], wait_s: float) -> list[Message]:
        """Decide, save, answer the sender. Nothing where the disk does not save it within ``wait_s``: a
        keeper with a stalled disk is silent, not wrong."""
        answers: list[Message] = []
        elsewhere: list[Say] = []
        with self._lock:
            if self._stopping or self._waiting >= WAITING_MOST:
                return []
            now = self._clock()
            for message in messages:
                speaker = _speaker(sender, message)
                for action in self._machine.handle(now, speaker, message):
                    if isinstance(action, Save):
                        self._newest = action.saved
                        self._lock.notify_all()
                    elif isinstance(action, WakeAt):
                        self._wake(action)
                    elif action.to == speaker:
                        answers.append(action.message)
                    else:
                        elsewhere.append(action)
            # An answer that saves nothing itself may rest on what another one still waits to have saved.
            leases = {getattr(message, "lease", "") for message in messages}
            write = max(map(self._machine.written, leases), default=0)
            self._waiting += 1
            try:
                done = self._lock.wait_for(lambda: self._saved >= write or self._stopping, wait_s)
            finally:
                self._waiting -= 1
            if not done or self._saved < write:
                return []
        for action in elsewhere:
            self._tell(action)
        return answers

    def listen(self, sender: str, wait_s: float) -> list[Message]:
        """What keepers say to a process unasked: that it is its turn. Waits until there is something."""
        with self._lock:
            box = self._mail.get(sender)
            if box is None:
                if len(self._mail) >= LISTENERS_MOST:
                    return []
                box = self._mail[sender] = _Box()
            box.listeners += 1
            try:
                self._lock.wait_for(lambda: bool(box.messages) or self._stopping, wait_s)
                found, box.messages = box.messages, []
            finally:
                box.listeners -= 1
                box.left_s = self._clock()
            return found

    def _tell(self, say: Say) -> None:
        """To another keeper over its link; to a candidate where its process listens, or did just now."""
        process = say.to.rpartition(".")[0] or say.to
        with self._lock:
            for gone in [who for who, box in self._mail.items() if box.gone(self._clock())]:
                del self._mail[gone]
            box = self._mail.get(process)
            if box is not None:
                box.messages = [*box.messages[-MAIL_MOST:], say.message]
                self._lock.notify_all()
                return
        self._say(say.to, say.message)

    def hear(self, keeper: str, messages: tuple[Message, ...]) -> None:
        """What another keeper answered; never waits."""
        with self._lock:
            if self._stopping:
                return
            now = self._clock()
            for message in messages:
                for action in self._machine.handle(now, keeper, message):
                    if isinstance(action, Save):
                        self._newest = action.saved
            self._lock.notify_all()

    def records(self) -> list[tuple[Record, float]]:
        """Each lease, and for how many seconds a grant of it runs here."""
        with self._lock:
            now = self._clock()
            return [(record, self._machine.left_s(now, record.lease)) for record in self._machine.records()]

    def status(self) -> dict[str, object]:
        """How it stands, for a person."""
        with self._lock:
            now, machine = self._clock(), self._machine
            return {
                "keeper": machine.name,
                "votes": machine.votes(now),
                "disk": machine.found.value,
                "life": machine.life,
                "sure": machine.sure,
                "votes_in_s": round(max(0.0, machine.waits_until_s - now), 3),
                "leases": len(machine.records()),
                "write": machine.write,
                "saved": self._saved,
                "trouble": self.trouble,
            }

    # ---- threads

    def _wake(self, wake: WakeAt) -> None:
        self._wake_s = wake.at_s if self._wake_s is None else min(self._wake_s, wake.at_s)
        self._lock.notify_all()

    def _keep_time(self) -> None:
        """Ask the other keepers until its word counts."""
        while True:
            said: list[Say] = []
            with self._lock:
                if self._stopping:
                    return
                now = self._clock()
                self._wake_s = None
                # A life that others know and that is not on the disk yet would be another one's after a kill.
                unsaved = self._saved < self._machine.write
                for action in self._machine.tick(now):
                    if isinstance(action, Say):
                        if not unsaved:
                            said.append(action)
                    elif isinstance(action, WakeAt):
                        self._wake(action)
                if not said:
                    wait_s = IDLE_S if self._wake_s is None else min(IDLE_S, max(0.01, self._wake_s - now))
                    self._lock.wait(wait_s)
            for action in said:
                self._say(action.to, action.message)

    def _save_all(self) -> None:
        """Save the newest; what came while the disk was busy goes with the next one."""
        while True:
            with self._lock:
                self._lock.wait_for(lambda: self._newest is not None or self._stopping, IDLE_S)
                if self._stopping:
                    return
                newest, self._newest = self._newest, None
            if newest is None:
                continue
            try:
                self._disk.write(newest)
            except OSError as error:
                log.error("keeper can't save and is silent", error=str(error))
                with self._lock:
                    self.trouble = str(error)
                    self._newest = self._newest or newest
                    self._lock.wait_for(lambda: self._stopping, AGAIN_S)
                continue
            with self._lock:
                self.trouble = ""
                self._saved = max(self._saved, newest.write)
                self._lock.notify_all()


def _speaker(sender: str, message: Message) -> str:
    """Who says it: a process speaks for all its candidates, which are named after it."""
    candidate = getattr(message, "candidate", "")
    return candidate if candidate.startswith(f"{sender}.") else sender
