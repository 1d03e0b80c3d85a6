"""Events that a rollout's controller handles, and the actions that it answers with."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from saffronstack.fleet.control.observed_gateway import ObservedGateway
from saffronstack.fleet.rollout.canary_types import AnalysisResult
from saffronstack.fleet.rollout.operator_requests import OperatorAction
from saffronstack.fleet.rollout.record import RolloutRecord


@dataclass(frozen=True, slots=True)
class OperatorRequested:
    """An operator asked for something; ``number`` grows with each request."""

    number: int
    action: OperatorAction


@dataclass(frozen=True, slots=True)
class DaemonReported:
    """A daemon answered a poll that carried this leader's token: commands of older leaders are fenced off."""

    daemon: str
    gateways: Mapping[str, ObservedGateway]


@dataclass(frozen=True, slots=True)
class DaemonUnreachable:
    """A daemon did not answer."""

    daemon: str


@dataclass(frozen=True, slots=True)
class RecordStored:
    """The record of a ``StoreRecord`` is stored, or may or may not be where it is not confirmed."""

    record: RolloutRecord
    is_confirmed: bool


@dataclass(frozen=True, slots=True)
class AnalysisCompleted:
    """The result of an ``AnalyzeStage``."""

    stage: int
    result: AnalysisResult


@dataclass(frozen=True, slots=True)
class Tick:
    """Time has passed."""


Event = (
    OperatorRequested | DaemonReported | DaemonUnreachable | RecordStored | AnalysisCompleted | Tick
)  # fmt: skip


@dataclass(frozen=True, slots=True)
class StoreRecord:
    """Store this in the lease's value, and report with ``RecordStored``."""

    record: RolloutRecord


@dataclass(frozen=True, slots=True)
class SetRelease:
    """Command a daemon to have a gateway run a release."""

    daemon: str
    gateway: str
    release: str


@dataclass(frozen=True, slots=True)
class StartBake:
    """Remember the present metrics: old and new are compared from now on."""

    stage: int


@dataclass(frozen=True, slots=True)
class AnalyzeStage:
    """Compare canaries and baseline at this part of the bake, and report with ``AnalysisCompleted``."""

    stage: int
    progress: float
    alpha_spent: float


Action = StoreRecord | SetRelease | StartBake | AnalyzeStage
