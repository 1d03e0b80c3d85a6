"""Whether a checked version may be applied now. Free of I/O; times in seconds of any one clock.

A list that can be read may still be wrong: written by a broken script, restored from an old copy, cut to one
rack. Such a version is held, the last good one stays, and an operator accepts it by its digest or does not.
What a held version says of drains is heeded all the same: a drain harms nobody, a missed one does.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

from saffronstack.discovery.files.parsing import Version


@dataclass(frozen=True, slots=True)
class GuardSettings:
    """What needs no operator. ``removed_share``: this part of the fleet may leave in one version, and always
    ``removed_free`` workers. A worker that came or went ``flaps`` times within ``flap_span_s`` flaps."""

    allow_empty: bool = False
    removed_share: float = 0.5
    removed_free: int = 2
    allow_older: bool = False
    flaps: int = 4
    flap_span_s: float = 60.0
    flap_quiet_s: float = 30.0


@dataclass(frozen=True, slots=True)
class Held:
    """It waits for an operator."""

    reason: str


def judge(settings: GuardSettings, current: Version | None, found: Version, accepted: bool) -> Held | None:
    """None where a version may be applied. ``accepted``: an operator said so."""
    if accepted:
        return None
    if not found.workers and not settings.allow_empty:
        return Held("it lists no workers")
    if current is None:
        return None
    if 0 < found.generation < current.generation and not settings.allow_older:
        return Held(f"generation {found.generation} is older than {current.generation}, which is applied")
    if found.generation and found.generation == current.generation and found.workers != current.workers:
        return Held(f"generation {found.generation} is applied with other workers: two writers?")
    ready = {w.id for w in current.workers if w.state == "ready"}
    gone = ready - {w.id for w in found.workers}
    if len(gone) > max(settings.removed_free, settings.removed_share * len(ready)):
        return Held(f"{len(gone)} of {len(ready)} ready workers are gone from it")
    return None


@dataclass(slots=True)
class Flaps:
    """Which workers come and go too often; they count as draining until they have been quiet."""

    settings: GuardSettings
    _changes: dict[str, deque[float]] = field(default_factory=dict)
    _held: dict[str, float] = field(default_factory=dict)  # since when quiet

    def changed(self, name: str, now: float) -> None:
        """A worker came, left, or changed between ready and draining."""
        times = self._changes.setdefault(name, deque(maxlen=self.settings.flaps))
        times.append(now)
        if (
            len(times) == self.settings.flaps and now - times[0] <= self.settings.flap_span_s
        ) or name in self._held:
            self._held[name] = now

    def held(self, now: float) -> set[str]:
        """Workers that are held as draining."""
        for name in [n for n, since in self._held.items() if now - since >= self.settings.flap_quiet_s]:
            del self._held[name]
        for name in [n for n, times in self._changes.items() if now - times[-1] > self.settings.flap_span_s]:
            if name not in self._held:
                del self._changes[name]
        return set(self._held)

    def next_s(self) -> float | None:
        """When the first held one may be free again."""
        return min(self._held.values()) + self.settings.flap_quiet_s if self._held else None
