"""The record of a rollout: all that the next leader must know, stored in the value of the leader's lease."""

from __future__ import annotations

import enum

import msgspec
from msgspec import Struct

from saffronstack.fleet.rollout.errors import RecordError
from saffronstack.fleet.rollout.plan import Release, RolloutPlan

RECORD_VERSION = 1


class RolloutPhase(enum.StrEnum):
    """How far a rollout is; the values stand in records and in the command line's output."""

    PROGRESSING = "forward"
    ON_HOLD = "held"  # an operator is to resume or abort it
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
    """The state of a rollout. The JSON keys are fixed: leaders of earlier releases use them too.

    Attributes:
        version: Of the record's format.
        plan: The plan.
        old_release: That ran before.
        new_release: That is rolled out.
        phase: How far it is.
        stage: The index of the present stage.
        is_paused: An operator paused it.
        alpha_spent: By canary analyses in this stage, of its probability of a false stop.
        last_request: The number of the last operator's request that was taken.
        reason: What it waits for, or why it rolls back.
        history: The last lines of its history.
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
        """Whether nothing is left to do."""
        return self.phase in (RolloutPhase.COMPLETED, RolloutPhase.ROLLED_BACK)

    @property
    def is_rolling_back(self) -> bool:
        """Whether the old release is to run, or runs again."""
        return self.phase in (RolloutPhase.ROLLING_BACK, RolloutPhase.ROLLED_BACK)


def create_record(plan: RolloutPlan, old: Release, new: Release) -> RolloutRecord:
    """Return the record of a rollout that starts."""
    history = (f"started: {old.version} to {new.version}",)
    return RolloutRecord(plan=plan, old_release=old, new_release=new, history=history)


def encode_record(record: RolloutRecord) -> bytes:
    """Encode a record for the lease's value."""
    return msgspec.json.encode(record)


def decode_record(content: bytes) -> RolloutRecord | None:
    """Decode the lease's value; None where it is empty.

    Raises:
        RecordError: It is of another version, or no record.
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
    """The part of a record that all versions have."""

    version: int
