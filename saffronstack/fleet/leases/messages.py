"""What candidates and keepers say to each other, and what they have their surroundings do. No behaviour.

Times end in ``_s`` and are seconds of the speaker's own monotonic clock, or spans; none crosses a link as a
moment. A *number* is asked for, promised and, once a majority granted it, the lease's fencing token."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from msgspec import Struct


class Written(Struct, frozen=True, order=True):
    """A lease's small value; the newer one has the greater (token, count)."""

    token: int = 0
    count: int = 0
    content: bytes = b""


Lives = tuple[tuple[str, int], ...]  # keepers and the greatest life known of each; those of life 0 left out


class Ask(Struct, frozen=True, tag=True):
    """A candidate asks for the promise that nothing under a smaller number is granted any more. ``lives``:
    what it heard, so that a keeper that was replaced learns of it from whoever still asks it."""

    lease: str
    candidate: str
    number: int
    lives: Lives = ()


class Promise(Struct, frozen=True, tag=True):
    """The answer to ``Ask``: promised, or not, for another's grant that still runs or a number that is too
    small. ``highest`` is the greatest number ever promised here; ``write`` numbers what the keeper saved;
    ``life`` is the keeper's own, and ``lives`` what it knows of the others'."""

    lease: str
    keeper: str
    candidate: str
    number: int
    promised: bool
    highest: int
    left_s: float = 0.0
    holder: str = ""
    value: Written = Written()
    write: int = 0
    life: int = 0
    lives: Lives = ()


class Take(Struct, frozen=True, tag=True):
    """A candidate that a majority promised its number takes the lease, or renews it, for ``length_s`` from
    when each keeper hears of it. ``witness``: what the promising keepers had saved by then."""

    lease: str
    candidate: str
    number: int
    round: int
    length_s: float
    value: Written = Written()
    witness: tuple[tuple[str, int], ...] = ()
    lives: Lives = ()


class Taken(Struct, frozen=True, tag=True):
    """The answer to ``Take``."""

    lease: str
    keeper: str
    candidate: str
    number: int
    round: int
    granted: bool
    highest: int
    left_s: float = 0.0
    life: int = 0
    lives: Lives = ()


class Release(Struct, frozen=True, tag=True):
    """A holder gives its lease back."""

    lease: str
    candidate: str
    number: int


class Freed(Struct, frozen=True, tag=True):
    """A keeper tells the first in line that a lease was given back: asking need not wait any longer."""

    lease: str
    keeper: str
    candidate: str


class Learn(Struct, frozen=True, tag=True):
    """A keeper that started asks another what it holds, and what it saw of the one that asks. ``life``: how
    often it was replaced under its name; one whose life is smaller than others know is the one replaced."""

    keeper: str
    nonce: int
    life: int = 0


class Record(Struct, frozen=True):
    """What a keeper has saved of one lease. ``closed``: the greatest number that was given back."""

    lease: str
    promised: int = 0
    candidate: str = ""
    token: int = 0
    holder: str = ""
    length_s: float = 0.0
    closed: int = 0
    value: Written = Written()


class Told(Struct, frozen=True, tag=True):
    """The answer to ``Learn``. ``sound``: the teller has what it saved, so its word counts, unless another of
    its name is known to have taken its place: ``own`` is its life, ``lives`` what it knows of the others'."""

    keeper: str
    nonce: int
    sound: bool
    seen: int
    records: tuple[Record, ...] = ()
    life: int = 0  # the greatest known of the one that asked
    own: int = 0
    lives: Lives = ()


Message = Ask | Promise | Take | Taken | Release | Freed | Learn | Told


class Found(Enum):
    """What a keeper's disk showed at its start."""

    NEW = "new"  # an operator made this member, and the fleet with it: nothing was ever promised
    SOUND = "sound"
    LOST = "lost"  # damaged, gone, or of another time: never taken for new
    REPLACED = "replaced"  # another one came in its place: it votes no more


class Saved(Struct, frozen=True):
    """All that a keeper keeps on its disk."""

    records: tuple[Record, ...] = ()
    write: int = 0
    witnessed: tuple[tuple[str, int], ...] = ()  # the greatest write known of each other keeper
    life: int = 0
    lives: Lives = ()  # the greatest life known of each other keeper


@dataclass(frozen=True, slots=True)
class Save:
    """Have this on the disk before anything after it is done; where that fails or hangs, nothing is."""

    saved: Saved


@dataclass(frozen=True, slots=True)
class Say:
    """Send a message; it may get lost, come late or twice."""

    to: str
    message: Message


@dataclass(frozen=True, slots=True)
class WakeAt:
    """Call ``tick`` at this time of the own clock."""

    at_s: float


KeeperAction = Save | Say | WakeAt


@dataclass(frozen=True, slots=True)
class Bounds:
    """The figures that keepers and candidates of one fleet share."""

    keepers: tuple[str, ...]
    longest_s: float = 30.0  # no lease is granted for longer
    drift: float = 0.01  # the rates of two monotonic clocks differ by less than this part
    leases_most: int = 10_000
    value_most: int = 4096
    line_most: int = 64  # of those that wait for one lease, those a keeper knows in order

    @property
    def majority(self) -> int:
        """How many keepers decide."""
        return len(self.keepers) // 2 + 1

    def waited_s(self, length_s: float) -> float:
        """How long a keeper waits out a lease of this length: no holder's clock shows it as running then."""
        return length_s * (1 + self.drift) / (1 - self.drift)
