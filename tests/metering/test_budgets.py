"""Budgets: marks by window and by share of own usage, an honest time to come back, the whole path."""

from __future__ import annotations

import json
import pathlib
import time
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from saffronstack import config as configs
from saffronstack.config.build import OVER_BUDGET_TENANT, build_settings
from saffronstack.metering.budgets import Budget, BudgetEnforcer, BudgetStatus
from saffronstack.metering.sliding_windows import PARTS_PER_WINDOW, SlidingWindows
from saffronstack.standin.model import Profile
from tests.support.stack import eventually, running
from tests.test_config import valid_configuration

WITHIN, SOFT, HARD = BudgetStatus.WITHIN, BudgetStatus.OVER_SOFT, BudgetStatus.OVER_HARD


class Charged(BudgetEnforcer):
    """Limits over windows that a test charges."""

    def __init__(self, budgets: dict[str, Budget], instances: int) -> None:
        self.windows = SlidingWindows({tenant: budget.window_s for tenant, budget in budgets.items()})
        super().__init__(budgets, self.windows, instances, 10.0)

    def charge(self, tenant: str, amount: int, now: float) -> None:
        self.windows.add(tenant, now, amount)


def limits(instances: int = 1, **budgets: Budget) -> Charged:
    return Charged(budgets or {"a": Budget(60.0, 100, 200)}, instances)


def test_marks_and_the_window() -> None:
    found = limits()
    assert found.evaluate("a", 0.0).status is WITHIN
    assert found.evaluate("stranger", 0.0).status is WITHIN
    found.charge("a", 100, 0.0)
    assert found.evaluate("a", 1.0).status is WITHIN
    found.charge("a", 50, 10.0)
    assert found.evaluate("a", 11.0).status is SOFT
    found.charge("a", 60, 20.0)
    verdict = found.evaluate("a", 21.0)
    assert (verdict.status, verdict.retry_after_s) == (HARD, 39.0)
    assert found.evaluate("a", 21.0 + verdict.retry_after_s).status is not HARD
    assert found.evaluate("a", 100.0).status is WITHIN


@given(st.lists(st.tuples(st.floats(0, 30), st.integers(0, 120)), max_size=60), st.integers(1, 4))
@settings(derandomize=True, max_examples=200)
def test_who_comes_back_as_told_is_under_the_hard_mark(
    steps: list[tuple[float, int]], instances: int
) -> None:
    found = limits(instances)
    now = 0.0
    for pause, amount in steps:
        now += pause
        found.charge("a", amount, now)
    verdict = found.evaluate("a", now)
    assert 0 <= verdict.retry_after_s <= 60.0 + 1e-6
    if verdict.status is HARD:
        assert found.evaluate("a", now + verdict.retry_after_s + 1e-6).status is not HARD


def test_a_window_holds_a_bounded_number_of_parts() -> None:
    found = limits()
    for n in range(10_000):
        found.charge("a", 1, n * 0.1)
        found.evaluate("a", n * 0.1)
    assert len(found.windows.used("a", 999.9)) <= PARTS_PER_WINDOW + 2


def test_over_only_where_amount_and_part_of_own_usage_say_so() -> None:
    budgets = {"a": Budget(60.0, 100, 400), "b": Budget(60.0, 100, 400)}
    busy = limits(4, **budgets)  # a front end with most of the fleet's traffic
    busy.charge("a", 60, 0.0)
    busy.charge("b", 70, 0.0)
    assert busy.evaluate("a", 1.0).status is WITHIN  # over a quarter of its mark, but not over its part here
    assert busy.evaluate("b", 1.0).status is SOFT
    quiet = limits(4, **budgets)
    quiet.charge("a", 20, 0.0)
    assert quiet.evaluate("a", 1.0).status is WITHIN


def test_over_the_hard_mark_a_loaded_function_may_still_be_called() -> None:
    found = limits()
    found.charge("a", 500, 0.0)
    refused = found.admit("a", "f", 1.0)
    assert (refused.is_admitted, refused.retry_after_s) == (False, 59.0)
    found.note_loaded("f", 1.0)
    assert found.admit("a", "f", 9.0).is_admitted
    assert found.admit("a", "f", 9.0).is_over_soft_limit
    assert not found.admit("a", "f", 12.0).is_admitted
    assert found.admit("stranger", "g", 0.0).is_admitted
    assert (found.rejected, found.deprioritized) == (2, 2)


def test_over_the_soft_mark_a_call_is_worth_what_lies_over_a_share() -> None:
    content = valid_configuration()
    content["metering"] = {"directory": "usage"}
    content["tenants"][0]["budget"] = {"window_s": 60, "soft_mb_s": 1, "hard_mb_s": 2}
    found = build_settings(configs.parse(json.dumps(content)))
    assert [tenant.name for tenant in found.tenants] == ["corner-books", "campus-app", OVER_BUDGET_TENANT]
    assert found.tenants[2].quota_rps == 0 < found.tenants[0].quota_rps


@pytest.mark.parametrize(
    ("change", "words"),
    [
        ({"metering": None}, "tenants[0] (corner-books).budget: needs the part 'metering'"),
        ({"soft_mb_s": 9}, "soft_mb_s 9 over hard_mb_s 2"),
    ],
)
def test_budgets_are_checked(change: dict[str, Any], words: str) -> None:
    content = valid_configuration()
    content["metering"] = {"directory": "usage"}
    content["tenants"][0]["budget"] = {"window_s": 60, "soft_mb_s": 1, "hard_mb_s": 2}
    if "metering" in change:
        del content["metering"]
    else:
        content["tenants"][0]["budget"] |= change
    with pytest.raises(configs.ConfigError) as caught:
        configs.parse(json.dumps(content))
    assert words in str(caught.value)


def test_a_tenant_over_its_budget_is_told_when_to_come_back_and_others_go_on(tmp_path: pathlib.Path) -> None:
    tenants = [
        {"name": "corner-books", "share": 0.5, "budget": {"window_s": 3, "soft_mb_s": 5, "hard_mb_s": 20}},
        {"name": "campus-app", "share": 0.5},
    ]
    metering = {"directory": str(tmp_path), "ask_every_s": 0.1}
    with running(1, profile=Profile(work_s=0.1, load_s=0.02), tenants=tenants, metering=metering) as stack:
        client = stack.client(tenant="corner-books")
        gateway = stack.gateway
        assert gateway.budgets is not None
        for _ in range(60):  # 512 MB for 0.1 s each
            assert client.invoke("identify-copy", b"{}").status == 200
            if gateway.budgets.evaluate("corner-books", time.monotonic()).status is HARD:
                break
        refused = client.invoke("suggest-price", b"{}")  # not loaded: it would need a load
        assert refused.status == 429
        assert 1 <= int(refused.headers.get("retry-after")) <= 4
        assert b"memory budget of corner-books" in refused.body
        assert client.invoke("identify-copy", b"{}").status == 200  # its copy stands
        other = stack.client(tenant="campus-app")
        assert other.invoke("adjust-setting", b"{}").status == 200
        assert stack.runs("suggest-price") == 0
        eventually(lambda: client.invoke("suggest-price", b"{}").status == 200, 15)
        other.close()
        client.close()
