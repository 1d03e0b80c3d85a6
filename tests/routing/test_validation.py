"""Tests that invalid settings raise an error that names the field."""

from __future__ import annotations

from dataclasses import replace
from typing import Any

import pytest

from saffronstack.routing.errors import InvalidSettingsError
from saffronstack.routing.router import Router
from saffronstack.routing.settings import ClassSettings, Idempotency, RuleSettings
from tests.helpers import CLASSES, settings

INVALID_IDEMPOTENCY: dict[str, Any] = {"idempotency": "odd"}


@pytest.mark.parametrize(
    ("field", "changes"),
    [
        ("classes", {"classes": ()}),
        ("gateway_count", {"gateway_count": 0}),
        ("keep_alive_s", {"keep_alive_s": -1.0}),
        (r"classes\[0\]\.deadline_s", {"classes": (ClassSettings("a", Idempotency.IDEMPOTENT, 0.1, 0.0),)}),
        (r"classes\[0\]\.latency_objective_s", {"classes": (replace(CLASSES[0], latency_objective_s=-1.0),)}),
        (r"classes\[0\]\.idempotency", {"classes": (replace(CLASSES[0], **INVALID_IDEMPOTENCY),)}),
        (r"rules\.slow_start_s", {"rules": RuleSettings(slow_start_s=float("nan"))}),
        (r"memory_mb_by_worker_kind\[0\]", {"memory_mb_by_worker_kind": (-5.0,)}),
    ],
)
def test_impossible_values_raise(field: str, changes: dict[str, Any]) -> None:
    with pytest.raises(InvalidSettingsError, match=field):
        Router(settings(**changes), 1)
