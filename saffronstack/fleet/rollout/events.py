"""Events that the controller of a rollout handles, and the actions that it returns."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from saffronstack.fleet.control.observed_gateway import ObservedGateway
from saffronstack.fleet.rollout.canary_types import AnalysisResult
from saffronstack.fleet.rollout.operator_requests import OperatorAction
from saffronstack.fleet.rollout.record import RolloutRecord


@dataclass(frozen=True, slots=True)
class OperatorRequested:
    """An operator made a request; ``number`` increases with each request."""

    number: int
    action: OperatorAction


@dataclass(frozen=True, slots=True)
class DaemonReported:
    """A daemon responded to a poll with this leader's token, and so rejects commands of older leaders."""

    daemon: str
    gateways: Mapping[str, ObservedGateway]


@dataclass(frozen=True, slots=True)
class DaemonUnreachable:
    """A daemon did not return its status."""

    daemon: str


@dataclass(frozen=True, slots=True)
class RecordStored:
    """The result of a ``StoreRecord``; if it is not confirmed, the record may or may not be stored."""

    record: RolloutRecord
    is_confirmed: bool


@dataclass(frozen=True, slots=True)
class AnalysisCompleted:
    """The result of an ``AnalyzeStage``."""

    stage: int
    result: AnalysisResult


@dataclass(frozen=True, slots=True)
class Tick:
    """Time has passed, so a deadline may have passed."""


Event = (
    OperatorRequested | DaemonReported | DaemonUnreachable | RecordStored | AnalysisCompleted | Tick
)  # fmt: skip


@dataclass(frozen=True, slots=True)
class StoreRecord:
    """Store the record in the value of the lease, and report the result with ``RecordStored``."""

    record: RolloutRecord


@dataclass(frozen=True, slots=True)
class SetRelease:
    """Command a daemon to have a gateway run a release."""

    daemon: str
    gateway: str
    release: str


@dataclass(frozen=True, slots=True)
class StartBake:
    """Store the current metrics as the start of the comparison of canaries and baseline."""

    stage: int


@dataclass(frozen=True, slots=True)
class AnalyzeStage:
    """Compare canaries and baseline at this fraction of the bake time; report with ``AnalysisCompleted``."""

    stage: int
    progress: float
    alpha_spent: float


Action = StoreRecord | SetRelease | StartBake | AnalyzeStage
