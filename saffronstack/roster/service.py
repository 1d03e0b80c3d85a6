"""The roster in service: looks at its file, decides, merges, and hands on what changed."""

from __future__ import annotations

import pathlib
import queue
import threading
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

import structlog

from saffronstack.config.schema import Worker
from saffronstack.roster.guards import Flaps, GuardSettings, judge
from saffronstack.roster.keeping import Kept
from saffronstack.roster.membership import STEP_S, Change, Sizes, Source, change, merge
from saffronstack.roster.parsing import RosterError, Version, version
from saffronstack.roster.reading import NotReadyError, read
from saffronstack.runtime.threads import start_thread

QUIET_S = (
    0.2  # what can't be used is looked at again after this before it is called bad: it may be half-written
)
SETTLE_S = 5.0  # a file that never stands still for so long is said
SOON_S = 0.05
OPERATOR, FILE, CONFIG = 30, 20, 0  # priorities
log = structlog.get_logger("saffronstack.roster")


@dataclass(slots=True)
class State:
    """What `roster show` and `/status` tell."""

    applied: Version | None = None
    applied_s: float = 0.0
    from_copy: bool = False  # of the last good version, until the file was read
    refused: str = ""
    held: str = ""
    held_digest: str = ""
    conflicts: tuple[str, ...] = ()
    counts: dict[str, int] = field(
        default_factory=lambda: dict.fromkeys(("applied", "refused", "held", "unready", "looks"), 0)
    )


class RosterService:
    """One thread looks and decides; ``apply`` is called on it, one change after another."""

    def __init__(
        self,
        path: pathlib.Path,
        kept: Kept,
        kinds: tuple[str, ...],
        static: tuple[Worker, ...],
        guards: GuardSettings,
        apply: Callable[[Change, dict[str, Worker]], None],
        clock: Callable[[], float],
        wall: Callable[[], float],
        poll_s: float = 1.0,
    ) -> None:
        """``static`` are the configuration's workers: in force until the file has told a list."""
        self.state = State()
        self._path = path
        self._kept = kept
        self._kinds = kinds
        self._static = static
        self._guards = guards
        self._apply = apply
        self._clock = clock
        self._wall = wall
        self._poll_s = poll_s
        self._flaps = Flaps(guards)
        self._sizes = Sizes()
        self._listed: dict[str, Worker] = {}  # as the sources have it
        self._told: dict[str, Worker] = {}  # as it was handed on
        self._held_drains: frozenset[str] = frozenset()
        self._bad: tuple[str, float] | None = None  # what can't be used, and since when it stands so
        self._unready_since: float | None = None
        self._unready_said = False
        self._wake: queue.SimpleQueue[None] = queue.SimpleQueue()
        self._stopping = threading.Event()
        self._ended = threading.Event()

    def start(self, now: float) -> dict[str, Worker]:
        """The workers to begin with: the file's, or the last good version's until the file can be used."""
        self.look(now, hand_on=False)
        if self.state.applied is None:
            last = self._kept.last()
            if last is not None:
                self.state.applied, self.state.from_copy = last, True
                log.warning(
                    "roster from its last good copy", generation=last.generation, workers=len(last.workers)
                )
        self._merge(now, hand_on=False)
        start_thread("roster", self._run)
        return dict(self._told)

    def stop(self, timeout_s: float = 5.0) -> bool:
        """End the thread; whether it ended in time."""
        self._stopping.set()
        self._wake.put(None)
        return self._ended.wait(timeout_s)

    def wake(self) -> None:
        """Something may have changed; from any thread."""
        self._wake.put(None)

    def static(self, workers: tuple[Worker, ...]) -> None:
        """The configuration's workers were reread; from any thread."""
        self._static = workers
        self._wake.put(None)

    def status(self) -> dict[str, Any]:
        """How it stands, for people."""
        state = self.state
        applied = state.applied
        return {
            "generation": applied.generation if applied else None,
            "digest": applied.digest if applied else "",
            "workers": len(self._told),
            "draining": sum(worker.state == "draining" for worker in self._told.values()),
            "from_copy": state.from_copy,
            "refused": state.refused,
            "held": state.held,
            "held_digest": state.held_digest,
            "conflicts": list(state.conflicts),
            "counts": dict(state.counts),
        }

    # ---- the thread

    def _run(self) -> None:
        try:
            while not self._stopping.is_set():
                try:
                    self._wake.get(timeout=self._pause_s())
                    while True:  # events that came together are one look
                        self._wake.get_nowait()
                except queue.Empty:
                    pass
                if self._stopping.is_set():
                    return
                try:
                    self.look(self._clock())
                except Exception:
                    log.exception("roster not looked at")
        finally:
            self._ended.set()

    def _pause_s(self) -> float:
        unsettled = self._unready_since is not None and not self._unready_said
        if unsettled or (self._bad is not None and not self.state.refused):
            return SOON_S
        if self._sizes.moving:
            return min(self._poll_s, STEP_S)
        return self._poll_s

    def look(self, now: float, hand_on: bool = True) -> None:
        """Read, check, decide; hand on what changed."""
        self.state.counts["looks"] += 1
        pinned = self._kept.pinned()
        if pinned:
            self._pin(pinned, now)
        else:
            self._look_at_file(now)
        self._merge(now, hand_on)

    def _look_at_file(self, now: float) -> None:
        try:
            text = read(self._path)
        except NotReadyError as error:
            self._unready(str(error), now)
            return
        except RosterError as error:
            self._refuse(str(error), str(error), now)
            return
        self._unready_since = None
        applied = self.state.applied
        if applied is not None and text.digest == applied.digest and not self.state.from_copy:
            self._settled()
            return
        if self._bad is not None and self._bad[0] == text.digest and self.state.refused:
            return  # it was refused, and is the same still
        try:
            found = version(text.parts, text.digest, self._kinds, text.generation)
        except RosterError as error:
            self._refuse(text.digest, str(error), now)
            return
        self._bad = None
        self._judge(found, now)

    def _judge(self, found: Version, now: float) -> None:
        state = self.state
        accepted = self._kept.accepted() == found.digest
        held = judge(self._guards, state.applied, found, accepted)
        if held is not None:
            if state.held_digest != found.digest:
                state.counts["held"] += 1
                log.error("roster held", reason=held.reason, digest=found.digest, generation=found.generation)
            state.held, state.held_digest, state.refused = held.reason, found.digest, ""
            self._held_drains = frozenset(w.id for w in found.workers if w.state == "draining")
            return
        self._settled()
        if accepted:
            self._kept.tell("accept", "")
        self._use(found, now)

    def _use(self, found: Version, now: float) -> None:
        state = self.state
        state.applied, state.applied_s, state.from_copy = found, now, False
        state.counts["applied"] += 1
        self._kept.keep(found, self._wall())
        log.info(
            "roster applied", generation=found.generation, workers=len(found.workers), digest=found.digest
        )

    def _pin(self, digest: str, now: float) -> None:
        applied = self.state.applied
        if applied is not None and applied.digest == digest:
            return
        found = next((v for _, _, v in self._kept.history() if v.digest == digest), None)
        if found is None:
            self._refuse(f"pinned {digest}", f"no kept version has the digest {digest}", now)
        else:
            self._settled()
            self._use(found, now)

    def _settled(self) -> None:
        state = self.state
        state.refused = state.held = state.held_digest = ""
        self._held_drains = frozenset()
        self._bad = None

    def _unready(self, reason: str, now: float) -> None:
        """It is being written, or not there. One that never stands still is said."""
        if self._unready_since is None:
            self._unready_since, self._unready_said = now, False
            self.state.counts["unready"] += 1
        if now - self._unready_since >= SETTLE_S and not self._unready_said:
            self._unready_said, self._bad = True, None
            self._say(f"{reason}; so for {SETTLE_S:g} s")

    def _refuse(self, what: str, reason: str, now: float) -> None:
        """What can't be used is bad once it stands unchanged for a moment; before, it may be half-written."""
        self._unready_since = None
        if self._bad is None or self._bad[0] != what:
            self._bad = what, now
            if self.state.refused:
                self.state.refused = ""
        if now - self._bad[1] >= QUIET_S and not self.state.refused:
            self._say(reason)

    def _say(self, reason: str) -> None:
        self.state.counts["refused"] += 1
        self.state.refused = reason
        log.error("roster refused; the last good one stays", reason=reason)

    def _merge(self, now: float, hand_on: bool) -> None:
        applied = self.state.applied
        file = Source(
            "file",
            FILE,
            applied.workers if applied is not None else (),
            self._held_drains,
            complete=True,
            known=applied is not None,
        )
        operator = Source("operator", OPERATOR, drains=self._kept.drains())
        static = Source("configuration", CONFIG, self._static)
        plain = merge([operator, file, static])
        for name, worker in plain.workers.items():
            before = self._listed.get(name)
            if before is not None and before.state != worker.state:
                self._flaps.changed(name, now)
        for name in self._listed.keys() ^ plain.workers.keys():
            if self._listed:
                self._flaps.changed(name, now)
        self._listed = plain.workers
        held = self._flaps.held(now)
        merged = merge([operator, file, static], held) if held else plain
        if merged.conflicts != self.state.conflicts and merged.conflicts:
            log.warning("roster's sources disagree", conflicts=list(merged.conflicts[:20]))
        self.state.conflicts = merged.conflicts
        wanted = self._sizes.step(merged.workers, now)
        changed = change(self._told, wanted)
        self._told = wanted
        if changed and hand_on:
            self._apply(changed, wanted)
