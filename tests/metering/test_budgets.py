"""Tests of budgets: limits by window and by fraction of usage, the retry time, and a running gateway."""

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
from saffronstack.metering.sliding_windows import BUCKETS_PER_WINDOW, SlidingWindows
from saffronstack.standin.model import Profile
from tests.support.stack import eventually, running_gateway
from tests.test_config import valid_configuration

WITHIN, SOFT, HARD = BudgetStatus.WITHIN, BudgetStatus.OVER_SOFT, BudgetStatus.OVER_HARD


class ChargedEnforcer(BudgetEnforcer):
    """A budget enforcer with windows that a test charges."""

    def __init__(self, budgets: dict[str, Budget], gateway_count: int) -> None:
        self.windows = SlidingWindows({tenant: budget.window_s for tenant, budget in budgets.items()})
        super().__init__(budgets, self.windows, gateway_count, 10.0)

    def charge(self, tenant: str, amount: int, now: float) -> None:
        self.windows.add(tenant, now, amount)


def make_enforcer(gateway_count: int = 1, **budgets: Budget) -> ChargedEnforcer:
    return ChargedEnforcer(budgets or {"a": Budget(60.0, 100, 200)}, gateway_count)


def test_status_follows_the_limits_and_the_window() -> None:
    enforcer = make_enforcer()
    assert enforcer.evaluate("a", 0.0).status is WITHIN
    assert enforcer.evaluate("stranger", 0.0).status is WITHIN
    enforcer.charge("a", 100, 0.0)
    assert enforcer.evaluate("a", 1.0).status is WITHIN
    enforcer.charge("a", 50, 10.0)
    assert enforcer.evaluate("a", 11.0).status is SOFT
    enforcer.charge("a", 60, 20.0)
    evaluation = enforcer.evaluate("a", 21.0)
    assert (evaluation.status, evaluation.retry_after_s) == (HARD, 39.0)
    assert enforcer.evaluate("a", 21.0 + evaluation.retry_after_s).status is not HARD
    assert enforcer.evaluate("a", 100.0).status is WITHIN


@given(st.lists(st.tuples(st.floats(0, 30), st.integers(0, 120)), max_size=60), st.integers(1, 4))
@settings(derandomize=True, max_examples=200)
def test_retry_after_brings_a_tenant_under_its_hard_limit(
    steps: list[tuple[float, int]], gateway_count: int
) -> None:
    enforcer = make_enforcer(gateway_count)
    now = 0.0
    for pause, amount in steps:
        now += pause
        enforcer.charge("a", amount, now)
    evaluation = enforcer.evaluate("a", now)
    assert 0 <= evaluation.retry_after_s <= 60.0 + 1e-6
    if evaluation.status is HARD:
        assert enforcer.evaluate("a", now + evaluation.retry_after_s + 1e-6).status is not HARD


def test_a_window_has_a_bounded_number_of_buckets() -> None:
    enforcer = make_enforcer()
    for n in range(10_000):
        enforcer.charge("a", 1, n * 0.1)
        enforcer.evaluate("a", n * 0.1)
    assert len(enforcer.windows.buckets_in_window("a", 999.9)) <= BUCKETS_PER_WINDOW + 2


def test_a_tenant_is_over_a_limit_only_by_amount_and_by_fraction_of_usage() -> None:
    budgets = {"a": Budget(60.0, 100, 400), "b": Budget(60.0, 100, 400)}
    busy = make_enforcer(4, **budgets)  # a gateway with most of the fleet's traffic
    busy.charge("a", 60, 0.0)
    busy.charge("b", 70, 0.0)
    assert busy.evaluate("a", 1.0).status is WITHIN  # exceeds its equal part, but not its part by usage
    assert busy.evaluate("b", 1.0).status is SOFT
    quiet = make_enforcer(4, **budgets)
    quiet.charge("a", 20, 0.0)
    assert quiet.evaluate("a", 1.0).status is WITHIN


def test_over_the_hard_limit_only_loaded_functions_are_admitted() -> None:
    enforcer = make_enforcer()
    enforcer.charge("a", 500, 0.0)
    rejected = enforcer.admit("a", "f", 1.0)
    assert (rejected.is_admitted, rejected.retry_after_s) == (False, 59.0)
    enforcer.mark_loaded("f", 1.0)
    assert enforcer.admit("a", "f", 9.0).is_admitted
    assert enforcer.admit("a", "f", 9.0).is_over_soft_limit
    assert not enforcer.admit("a", "f", 12.0).is_admitted
    assert enforcer.admit("stranger", "g", 0.0).is_admitted
    assert (enforcer.rejected, enforcer.deprioritized) == (2, 2)


def test_over_the_soft_limit_a_call_has_the_priority_of_excess_traffic() -> None:
    content = valid_configuration()
    content["metering"] = {"directory": "usage"}
    content["tenants"][0]["budget"] = {"window_s": 60, "soft_mb_s": 1, "hard_mb_s": 2}
    built = build_settings(configs.parse(json.dumps(content)))
    assert [tenant.name for tenant in built.tenants] == ["corner-books", "campus-app", OVER_BUDGET_TENANT]
    assert built.tenants[2].quota_rps == 0 < built.tenants[0].quota_rps


@pytest.mark.parametrize(
    ("change", "message"),
    [
        ({"metering": None}, "tenants[0] (corner-books).budget: needs the part 'metering'"),
        ({"soft_mb_s": 9}, "soft_mb_s 9 over hard_mb_s 2"),
    ],
)
def test_invalid_budgets_are_rejected(change: dict[str, Any], message: str) -> None:
    content = valid_configuration()
    content["metering"] = {"directory": "usage"}
    content["tenants"][0]["budget"] = {"window_s": 60, "soft_mb_s": 1, "hard_mb_s": 2}
    if "metering" in change:
        del content["metering"]
    else:
        content["tenants"][0]["budget"] |= change
    with pytest.raises(configs.ConfigError) as caught:
        configs.parse(json.dumps(content))
    assert message in str(caught.value)


def test_a_tenant_over_its_budget_gets_retry_after_and_others_are_served(tmp_path: pathlib.Path) -> None:
    tenants = [
        {"name": "corner-books", "share": 0.5, "budget": {"window_s": 3, "soft_mb_s": 5, "hard_mb_s": 20}},
        {"name": "campus-app", "share": 0.5},
    ]
    metering = {"directory": str(tmp_path), "ask_every_s": 0.1}
    with running_gateway(
        1, profile=Profile(work_s=0.1, load_s=0.02), tenants=tenants, metering=metering
    ) as stack:
        client = stack.client(tenant="corner-books")
        gateway = stack.gateway
        assert gateway.budgets is not None
        for _ in range(60):  # each uses 512 MB for 0.1 s
            assert client.invoke("identify-copy", b"{}").status == 200
            if gateway.budgets.evaluate("corner-books", time.monotonic()).status is HARD:
                break
        rejected = client.invoke("suggest-price", b"{}")  # rejected because it needs a load
        assert rejected.status == 429
        assert 1 <= int(rejected.headers.get("retry-after")) <= 4
        assert b"memory budget of corner-books" in rejected.body
        assert client.invoke("identify-copy", b"{}").status == 200  # its instance is loaded
        other = stack.client(tenant="campus-app")
        assert other.invoke("adjust-setting", b"{}").status == 200
        assert stack.run_count("suggest-price") == 0
        eventually(lambda: client.invoke("suggest-price", b"{}").status == 200, 15)
        other.close()
        client.close()
