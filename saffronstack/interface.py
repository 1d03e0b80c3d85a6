"""What the decision module is told and what it answers: settings, events and actions, no behaviour.

Times end in ``_s`` (seconds), memory in ``_mb`` (megabytes). Workers, functions and requests are
plain numbers that carry no meaning; classes, tenants, zones and kinds are places in the settings' lists.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class Effect(Enum):
    """What a second run of a request would do."""

    SAFE = "safe"
    KEYED = "keyed"
    UNSAFE = "unsafe"


class Group(Enum):
    """Which workers drop a repeat of a keyed request."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class Result(Enum):
    """How an attempt, a probe or an order ended."""

    OK = "ok"
    ERROR = "error"
    FULL = "full"
    TIMEOUT = "timeout"
    CONNECT_FAILED = "connect_failed"
    RESET = "reset"
    CANCELLED = "cancelled"
    MOOT = "moot"
    MISS = "miss"


class Found(Enum):
    """What the request met at the worker."""

    UNTOLD = 0
    WARM = 1
    BEGAN_LOAD = 2
    AWAITED_LOAD = 3
    LOAD_FAILED = 4


class WorkerState(Enum):
    """What the list of workers says of one."""

    GONE = 0
    READY = 1
    DRAINING = 2


class ListKind(Enum):
    """What a list update holds."""

    CHANGE = 0
    FULL = 1
    CACHED = 2
    FAILED = 3


class ReportVia(Enum):
    """Where load reports arrive."""

    ANSWERS = "answers"
    PROBE = "probe"
    NONE = "none"


class MissMode(Enum):
    """What a worker does with a request whose function it lacks."""

    LOAD = "load"
    MISS = "miss"


@dataclass(frozen=True, slots=True)
class ClassSettings:
    """One class of requests."""

    name: str
    effect: Effect
    aim_s: float
    deadline_s: float
    worth: float = 1.0
    late_share: float = 0.0
    group: Group = Group.ALL
    window_s: float = 0.0
    stream: bool = False


@dataclass(frozen=True, slots=True)
class TenantSettings:
    """One tenant; ``quota_rps`` is over all front ends."""

    name: str
    share: float
    quota_rps: float


@dataclass(frozen=True, slots=True)
class RuleSettings:
    """Figures of the rules; a zero ``cold_s`` or ``load_span_s`` means that the rule is absent."""

    answer_slack_s: float = 0.0
    drain_grace_s: float = 0.0
    cold_share: float = 1.0
    cold_s: float = 0.0
    tip_multiple: float = 0.0
    tip_after_s: float = 0.0
    ask_within_s: float = 0.0
    load_free: float = 0.0
    load_part: float = 0.0
    load_span_s: float = 0.0


@dataclass(frozen=True, slots=True)
class AllowSettings:
    """What the site permits."""

    max_attempts: int = 0  # 0: not told
    second_copies: bool = False
    cancel: bool = False
    probes: bool = False
    orders: bool = False
    retry_advice: bool = False
    max_retry_advice_s: float = 0.0
    connect_timeout_s: float = 0.0


@dataclass(frozen=True, slots=True)
class PriceSettings:
    """Points taken off, each times its share or rate."""

    cross_zone: float = 0.0
    late_fail: float = 0.0
    origin: float = 0.0
    probe: float = 0.0
    waste: float = 0.0
    idle_memory: float = 0.0


@dataclass(frozen=True, slots=True)
class Settings:
    """All that a front end is told when it starts."""

    classes: tuple[ClassSettings, ...]
    instances: int = 1
    self_index: int = 0
    zone: int = 0
    tenants: tuple[TenantSettings, ...] = ()
    over_share_worth: float = 1.0
    memory_mb_by_kind: tuple[float, ...] = ()
    keep_alive_s: float = 0.0  # least time that an idle copy stays; 0: not told
    miss_mode: MissMode = MissMode.LOAD
    order_timeout_s: float = 0.0
    tells_warm: bool = False
    tells_crowd: bool = False
    report_via: ReportVia = ReportVia.NONE
    must_subscribe: bool = False
    rules: RuleSettings = RuleSettings()
    allow: AllowSettings = AllowSettings()
    prices: PriceSettings = PriceSettings()


@dataclass(frozen=True, slots=True)
class Report:
    """A worker's load as it told it; None where it told nothing."""

    in_hand: float | None = None
    waiting: float | None = None
    busy: float | None = None
    latency_s: float | None = None
    rate: float | None = None
    fail_rate: float | None = None
    bound_memory_share: float | None = None
    loads: float | None = None


@dataclass(frozen=True, slots=True)
class WorkerEntry:
    """One worker of a list update; ``since_s`` is its last start, 0 for long ago."""

    worker: int
    state: WorkerState
    size: float = 1.0
    kind: int = 0
    zone: int = 0
    cell: int = 0
    since_s: float = 0.0


@dataclass(frozen=True, slots=True)
class ListUpdate:
    """The list of workers, or changes to it."""

    kind: ListKind
    workers: tuple[WorkerEntry, ...] = ()
    version: int = 0


@dataclass(frozen=True, slots=True)
class Prior:
    """An attempt in an earlier life of a request that may have run; ``sent_s`` is clock time."""

    worker: int
    sent_s: float


@dataclass(frozen=True, slots=True)
class Request:
    """A client's request: exactly one final answer is owed by ``deadline_s`` (clock time)."""

    request: int
    class_index: int
    function: int
    deadline_s: float
    tenant: int = 0
    memory_mb: float = 0.0
    lanes: float = 1.0
    load_s: float | None = None
    work_s: float | None = None
    is_repeat: bool = False
    is_write: bool = False
    prior: Prior | None = None  # only of a deferred request that goes on after a break


@dataclass(frozen=True, slots=True)
class Outcome:
    """How one attempt ended; ``finished`` says that the request needs no answer any more."""

    request: int
    attempt: int
    worker: int
    result: Result
    elapsed_s: float
    finished: bool = False
    found: Found = Found.UNTOLD
    crowd: int | None = None
    report: Report | None = None


@dataclass(frozen=True, slots=True)
class Probed:
    """The answer to a probe."""

    worker: int
    result: Result
    elapsed_s: float
    report: Report | None = None


@dataclass(frozen=True, slots=True)
class Loaded:
    """The answer to an order to load."""

    worker: int
    function: int
    copies: int
    result: Result
    elapsed_s: float


@dataclass(frozen=True, slots=True)
class Woken:
    """A wake-up that was asked for."""

    ref: int


@dataclass(frozen=True, slots=True)
class ClientGone:
    """The client left, or its answer is overdue: nothing more is owed."""

    request: int


@dataclass(frozen=True, slots=True)
class StreamStarted:
    """The answer has begun to flow; its attempt now belongs to the client."""

    request: int
    attempt: int
    worker: int
    elapsed_s: float


@dataclass(frozen=True, slots=True)
class PeerMessage:
    """A word from another front end."""

    author: int
    content: bytes


Event = ListUpdate | Request | Outcome | Probed | Loaded | Woken | ClientGone | StreamStarted | PeerMessage


@dataclass(frozen=True, slots=True)
class Send:
    """Start an attempt; ``timeout_s`` 0 means until the client's deadline."""

    request: int
    worker: int
    timeout_s: float = 0.0


@dataclass(frozen=True, slots=True)
class Refuse:
    """Final: trying again is harmless, best after ``stay_away_s``."""

    request: int
    stay_away_s: float = 0.0


@dataclass(frozen=True, slots=True)
class Fail:
    """Final: no promise about the effect."""

    request: int


@dataclass(frozen=True, slots=True)
class Cancel:
    """Stop waiting for one attempt."""

    request: int
    attempt: int


@dataclass(frozen=True, slots=True)
class Probe:
    """Ask a worker for its report."""

    worker: int


@dataclass(frozen=True, slots=True)
class Load:
    """Order a worker to hold at least so many copies (0 only asks)."""

    worker: int
    function: int
    copies: int


@dataclass(frozen=True, slots=True)
class Unload:
    """Order a worker to drop the function's idle copies."""

    worker: int
    function: int


@dataclass(frozen=True, slots=True)
class WakeMe:
    """Ask for a ``Woken`` after so long."""

    after_s: float
    ref: int


@dataclass(frozen=True, slots=True)
class Watch:
    """Subscribe to changes of the list."""

    wanted: bool = True


@dataclass(frozen=True, slots=True)
class FetchList:
    """Ask once for the whole list."""


@dataclass(frozen=True, slots=True)
class Log:
    """A line for the report."""

    text: str


Action = Send | Refuse | Fail | Cancel | Probe | Load | Unload | WakeMe | Watch | FetchList | Log
