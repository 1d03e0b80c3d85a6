"""Impossible settings name the field."""

from __future__ import annotations

from dataclasses import replace
from typing import Any

import pytest

from saffronstack.choice import Router
from saffronstack.interface import ClassSettings, Effect, RuleSettings

from .helpers import CLASSES, settings

ODD: dict[str, Any] = {"effect": "odd"}


@pytest.mark.parametrize(
    ("field", "changes"),
    [
        ("classes", {"classes": ()}),
        ("instances", {"instances": 0}),
        ("keep_alive_s", {"keep_alive_s": -1.0}),
        (r"classes\[0\]\.deadline_s", {"classes": (ClassSettings("a", Effect.SAFE, 0.1, 0.0),)}),
        (r"classes\[0\]\.aim_s", {"classes": (replace(CLASSES[0], aim_s=-1.0),)}),
        (r"classes\[0\]\.effect", {"classes": (replace(CLASSES[0], **ODD),)}),
        (r"rules\.cold_s", {"rules": RuleSettings(cold_s=float("nan"))}),
        (r"memory_mb_by_kind\[0\]", {"memory_mb_by_kind": (-5.0,)}),
    ],
)
def test_impossible_values_raise(field: str, changes: dict[str, Any]) -> None:
    with pytest.raises(ValueError, match=field):
        Router(settings(**changes), 1)
