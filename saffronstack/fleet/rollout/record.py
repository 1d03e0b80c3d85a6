"""The record of a rollout, stored in the value of the leader's lease so that the next leader can continue."""

from __future__ import annotations

import enum

import msgspec
from msgspec import Struct

from saffronstack.fleet.rollout.errors import RecordError
from saffronstack.fleet.rollout.plan import Release, RolloutPlan

RECORD_VERSION = 1


class RolloutPhase(enum.StrEnum):
    """Phase of a rollout; the values appear in records and in the output of the command line."""

    PROGRESSING = "forward"
    ON_HOLD = "held"  # until an operator resumes or aborts it
    ROLLING_BACK = "back"
    COMPLETED = "done"
    ROLLED_BACK = "returned"


class RolloutRecord(
    Struct,
    frozen=True,
    kw_only=True,
    rename={
        "old_release": "old",
        "new_release": "new",
        "phase": "way",
        "is_paused": "paused",
        "alpha_spent": "spent",
        "last_request": "word",
        "reason": "why",
        "history": "notes",
    },
):
    """State of a rollout.

    The JSON keys must not change because leaders of earlier releases use them.

    Attributes:
        version: The version of the record's format.
        plan: The plan.
        old_release: The release that ran before the rollout.
        new_release: The release that is rolled out.
        phase: The phase of the rollout.
        stage: The index of the current stage.
        is_paused: Whether an operator paused the rollout.
        alpha_spent: Part of the stage's false stop probability that its canary analyses have spent.
        last_request: The number of the last operator's request that was applied.
        reason: Why the rollout is on hold or rolls back, or why its rollback makes no progress.
        history: The last lines of the rollout's history.
    """

    version: int = RECORD_VERSION
    plan: RolloutPlan
    old_release: Release
    new_release: Release
    phase: RolloutPhase = RolloutPhase.PROGRESSING
    stage: int = 0
    is_paused: bool = False
    alpha_spent: float = 0.0
    last_request: int = 0
    reason: str = ""
    history: tuple[str, ...] = ()

    @property
    def is_finished(self) -> bool:
        """Whether the rollout is completed or rolled back."""
        return self.phase in (RolloutPhase.COMPLETED, RolloutPhase.ROLLED_BACK)

    @property
    def is_rolling_back(self) -> bool:
        """Whether the rollout is being or has been rolled back."""
        return self.phase in (RolloutPhase.ROLLING_BACK, RolloutPhase.ROLLED_BACK)


def create_record(plan: RolloutPlan, old: Release, new: Release) -> RolloutRecord:
    """Return the record of a new rollout."""
    history = (f"started: {old.version} to {new.version}",)
    return RolloutRecord(plan=plan, old_release=old, new_release=new, history=history)


def encode_record(record: RolloutRecord) -> bytes:
    """Encode a record as the value of a lease."""
    return msgspec.json.encode(record)


def decode_record(content: bytes) -> RolloutRecord | None:
    """Decode the value of a lease; None if it is empty.

    Raises:
        RecordError: The value is a record of another version, or not a record.
    """
    if not content:
        return None
    try:
        version = msgspec.json.decode(content, type=_RecordVersion).version
        if version != RECORD_VERSION:
            raise RecordError(f"the record is of version {version}, this program knows {RECORD_VERSION}")
        return msgspec.json.decode(content, type=RolloutRecord)
    except msgspec.MsgspecError as error:
        raise RecordError(f"the record can't be read: {error}") from error


class _RecordVersion(Struct):
    """The field that records of all versions have."""

    version: int
