"""Schema of the configuration file. Durations end in ``_s`` (seconds), sizes in ``_bytes`` or ``_mb``."""

from __future__ import annotations

from typing import Annotated, Literal

import msgspec

Positive = Annotated[float, msgspec.Meta(gt=0)]
NonNegative = Annotated[float, msgspec.Meta(ge=0)]
Count = Annotated[int, msgspec.Meta(ge=1)]
Share = Annotated[float, msgspec.Meta(ge=0, le=1)]
Name = Annotated[str, msgspec.Meta(min_length=1, max_length=140, pattern=r"^[A-Za-z0-9_.\-]+$")]
Address = Annotated[str, msgspec.Meta(pattern=r"^[A-Za-z0-9_.\-]+:[0-9]{1,5}$")]


class Struct(msgspec.Struct, forbid_unknown_fields=True, kw_only=True, frozen=True):
    """Base of all sections: immutable, and unknown keys are rejected."""


class AccessKey(Struct, frozen=True, kw_only=True):
    """An access key of a tenant, for SigV4 signatures."""

    id: Annotated[str, msgspec.Meta(pattern=r"^[A-Za-z0-9_-]{4,128}$")]
    secret: Annotated[str, msgspec.Meta(min_length=8)]
    tenant: Name


class Budget(Struct, frozen=True, kw_only=True):
    """Memory-seconds that a tenant's functions may use in a window, across all gateways."""

    window_s: Positive
    soft_mb_s: Positive
    hard_mb_s: Positive


class Tenant(Struct, frozen=True, kw_only=True):
    """A tenant; ``quota_rps`` is in requests a second across all gateways, 0 for no quota."""

    name: Name
    share: Share = 1.0
    quota_rps: NonNegative = 0.0
    budget: Budget | None = None


class CallClass(Struct, frozen=True, kw_only=True):
    """A class of requests: the effect of executing one twice, its latency objective and its deadline."""

    name: Name
    effect: Literal["safe", "keyed", "unsafe"]
    aim_s: Positive
    deadline_s: Positive
    worth: Positive = 1.0
    late_share: Share = 0.0
    group: Literal["all", "zone", "cell"] = "all"
    window_s: NonNegative = 0.0
    note_operations: bool = False  # record each operation durably before it is sent to a worker
    operation_window_s: Positive | None = None  # overrides operations.window_s


class Function(Struct, frozen=True, kw_only=True):
    """A function, or all functions that match a pattern with ``*``; the first matching pattern applies."""

    name: Annotated[str, msgspec.Meta(min_length=1, max_length=140, pattern=r"^[A-Za-z0-9_\-.*]+$")]
    call_class: Name = msgspec.field(name="class")
    memory_mb: Positive
    lanes: Count = 1
    load_s: Positive | None = None
    qualifiers: tuple[str, ...] = ()
    on_success: Name | None = None
    on_failure: Name | None = None
    maximum_event_age_s: Annotated[float, msgspec.Meta(ge=1, le=21600)] = 21600.0
    maximum_retry_attempts: Annotated[int, msgspec.Meta(ge=0, le=10)] = 2


class WorkerKind(Struct, frozen=True, kw_only=True):
    """A kind of worker."""

    name: Name
    memory_mb: Positive


class Worker(Struct, frozen=True, kw_only=True):
    """A worker; ``started_at`` is its last start in Unix seconds, 0 if it has been running for long."""

    id: Name
    address: Address
    kind: Name
    size: Positive = 1.0
    zone: Name = "zone-a"
    cell: Name = "cell-a"
    state: Literal["ready", "draining"] = "ready"
    started_at: NonNegative = 0.0


class Rules(Struct, frozen=True, kw_only=True):
    """Parameters of slow start, overload protection and load commands.

    A ``cold_s`` of zero disables slow start, and a ``load_span_s`` of zero the limit on load commands.
    """

    drain_grace_s: NonNegative = 2.0
    cold_share: Share = 0.15
    cold_s: NonNegative = 0.0
    tip_multiple: NonNegative = 0.0
    tip_after_s: NonNegative = 0.0
    load_free: NonNegative = 0.0
    load_part: NonNegative = 0.0
    load_span_s: NonNegative = 0.0


class Permissions(Struct, frozen=True, kw_only=True):
    """What the gateway may do: number of attempts, retry advice to clients and load commands."""

    max_attempts: Annotated[int, msgspec.Meta(ge=1, le=20)] = 4
    max_retry_advice_s: NonNegative = 5.0
    connect_timeout_s: Positive = 1.0
    orders: bool = False


class Limits(Struct, frozen=True, kw_only=True):
    """Limits and timeouts of client connections, requests and worker connections."""

    connections: Count = 4096
    worker_connections: Count = 256
    line_bytes: Annotated[int, msgspec.Meta(ge=256)] = 8192
    head_bytes: Annotated[int, msgspec.Meta(ge=512)] = 32768
    header_fields: Count = 100
    payload_bytes: Count = 6 * 1024 * 1024
    event_payload_bytes: Count = 1024 * 1024
    response_bytes: Count = 6 * 1024 * 1024
    head_timeout_s: Positive = 10.0
    body_timeout_s: Positive = 30.0
    write_timeout_s: Positive = 10.0
    idle_timeout_s: Positive = 300.0
    worker_idle_s: Positive = 20.0
    open_calls: Count = 20000


class Ledger(Struct, frozen=True, kw_only=True):
    """Directory and limits of the ledger of deferred calls."""

    directory: Annotated[str, msgspec.Meta(min_length=1)]
    segment_bytes: Annotated[int, msgspec.Meta(ge=4096)] = 64 * 1024 * 1024
    open_calls: Count = 200_000
    open_bytes: Count = 2 * 1024 * 1024 * 1024
    history: Count = 20_000
    in_flight: Count = 32
    commit_timeout_s: Positive = 5.0


class Metering(Struct, frozen=True, kw_only=True):
    """Directory of the usage log, and the interval at which workers are polled for usage records."""

    directory: Annotated[str, msgspec.Meta(min_length=1)]
    segment_bytes: Annotated[int, msgspec.Meta(ge=4096)] = 16 * 1024 * 1024
    ask_every_s: Positive = 1.0


class Roster(Struct, frozen=True, kw_only=True):
    """Discovery of workers from files, and the limits on changes that apply without an operator.

    ``path`` is a watched file that lists the workers, or a directory with a manifest.
    """

    path: Annotated[str, msgspec.Meta(min_length=1)]
    state_directory: Annotated[str, msgspec.Meta(min_length=1)]
    poll_s: Positive = 1.0
    allow_empty: bool = False
    allow_older: bool = False
    removed_share: Share = 0.5
    removed_free: Annotated[int, msgspec.Meta(ge=0)] = 2
    flaps: Annotated[int, msgspec.Meta(ge=2)] = 4
    flap_span_s: Positive = 60.0
    flap_quiet_s: Positive = 30.0


class Operations(Struct, frozen=True, kw_only=True):
    """Deduplication of operations; ``window_s`` is how long a final answer is replayed."""

    directory: Annotated[str, msgspec.Meta(min_length=1)] | None = None
    window_s: Positive = 900.0
    memory_bytes: Annotated[int, msgspec.Meta(ge=65536)] = 256 * 1024 * 1024
    answer_bytes: Annotated[int, msgspec.Meta(ge=0)] = 64 * 1024
    spool_bytes: Count = 1024 * 1024 * 1024
    segment_bytes: Annotated[int, msgspec.Meta(ge=4096)] = 64 * 1024 * 1024
    commit_timeout_s: Positive = 2.0


class FleetMembership(Struct, frozen=True, kw_only=True):
    """The role of this gateway in its fleet: it runs a lease server, the fleet's tasks, or both."""

    path: Annotated[str, msgspec.Meta(min_length=1)]  # the fleet file
    keeper: Name | None = None  # name of the lease server to run in this process
    state_directory: Annotated[str, msgspec.Meta(min_length=1)] | None = None  # of the lease server
    tasks: bool = False


class Config(Struct, frozen=True, kw_only=True):
    """Content of the configuration file."""

    listen: Address = "127.0.0.1:9000"
    region: Annotated[str, msgspec.Meta(pattern=r"^[a-z]{2}(-[a-z]+)+-[0-9]$")] = "us-east-1"
    account: Annotated[str, msgspec.Meta(pattern=r"^[0-9]{12}$")] = "000000000000"
    seed: int = 0
    instances: Count = 1
    self_index: Annotated[int, msgspec.Meta(ge=0)] = 0
    zone: Name = "zone-a"
    answer_margin_s: Positive = 0.1
    clock_skew_s: Positive = 300.0
    keep_alive_s: NonNegative = 10.0
    over_share_worth: Share = 0.1
    miss_mode: Literal["load", "miss"] = "load"
    order_timeout_s: Positive = 10.0
    keys: tuple[AccessKey, ...] = ()
    tenants: Annotated[tuple[Tenant, ...], msgspec.Meta(min_length=1)]
    classes: Annotated[tuple[CallClass, ...], msgspec.Meta(min_length=1)]
    functions: Annotated[tuple[Function, ...], msgspec.Meta(min_length=1)]
    kinds: Annotated[tuple[WorkerKind, ...], msgspec.Meta(min_length=1)]
    workers: tuple[Worker, ...] = ()
    rules: Rules = Rules()
    allow: Permissions = Permissions()
    limits: Limits = Limits()
    ledger: Ledger | None = None
    metering: Metering | None = None
    operations: Operations | None = Operations()
    roster: Roster | None = None
    fleet: FleetMembership | None = None
