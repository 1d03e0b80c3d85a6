"""`GET /usage/{tenant}`: what a tenant is charged so far and where it stands with its budget, for its own
key.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Callable
from typing import Any

import msgspec

from saffronstack.metering.account import Account
from saffronstack.metering.budgets import BudgetEnforcer
from saffronstack.metering.usage_report import MB_S

FUNCTIONS_MOST = 200  # in an answer, the largest; the rest is one sum
PLACES = ("loading_mb_s", "running_mb_s", "idle_mb_s", "estimated_mb_s")
CHARGED = ("loading_mb_s", "running_mb_s", "estimated_mb_s", "provisional_mb_s")


def statement(account: Account, limits: BudgetEnforcer | None, tenant: str, now: float) -> dict[str, Any]:
    """What one process's log says of a tenant. RunDamagedError, OSError where its archive can't be read."""
    functions: dict[str, dict[str, int]] = defaultdict(lambda: defaultdict(int))
    for (_, function, _, _, _), amounts in account.sums(tenant):
        for place, amount in zip(PLACES, amounts, strict=True):
            functions[function][place] += amount
    for charge in list(account.provisional.values()):
        if charge.call.tenant == tenant:
            functions[charge.function]["provisional_mb_s"] += account.charges.outstanding(charge)
    for charge, amount in account.charges.estimated():
        if charge.call.tenant == tenant:
            functions[charge.function]["estimated_mb_s"] += amount
    found: dict[str, Any] = {
        "tenant": tenant,
        "functions": {name: {k: v / MB_S for k, v in sums.items()} for name, sums in functions.items()},
    }
    use = limits.usage_of(tenant, now) if limits is not None else None
    if use is not None:
        found["budget"] = {
            "window_s": use.budget.window_s,
            "soft_mb_s": use.budget.soft_limit / MB_S,
            "hard_mb_s": use.budget.hard_limit / MB_S,
            "used_here_mb_s": use.used / MB_S,
            "standing": use.verdict.status.value,
            "free_in_s": round(use.verdict.retry_after_s, 3),
        }
    return found


def together(statements: list[dict[str, Any]], silent: list[int]) -> dict[str, Any]:
    """Several processes' statements as one. ``silent``: numbers of those that did not answer."""
    functions: dict[str, dict[str, float]] = defaultdict(lambda: defaultdict(float))
    for found in statements:
        for name, sums in found["functions"].items():
            for key, amount in sums.items():
                functions[name][key] += amount
    charged = {name: sum(sums[key] for key in CHARGED) for name, sums in functions.items()}
    ordered = sorted(functions, key=lambda name: (-charged[name], name))
    answer: dict[str, Any] = {
        "tenant": statements[0]["tenant"],
        "charged_mb_s": sum(charged.values()),
        "charged_gb_h": sum(charged.values()) / 1024 / 3600,
        "functions": [
            {"function": name, "charged_mb_s": charged[name], **functions[name]}
            for name in ordered[:FUNCTIONS_MOST]
        ],
        "other_functions_mb_s": sum(charged[name] for name in ordered[FUNCTIONS_MOST:]),
        "processes": len(statements),
        "silent_processes": silent,
    }
    budgets = [found["budget"] for found in statements if "budget" in found]
    if budgets:
        worst = max(budgets, key=lambda budget: (budget["standing"] == "over hard", budget["used_here_mb_s"]))
        answer["budget"] = {
            **worst,
            "used_here_mb_s": sum(budget["used_here_mb_s"] for budget in budgets),
        }
    return answer


def gather(own: dict[str, Any], count: int, index: int, ask: Callable[[int], bytes | None]) -> dict[str, Any]:
    """The whole answer of one of ``count`` processes on an address."""
    statements, silent = [own], []
    for other in range(count):
        if other == index:
            continue
        body = ask(other)
        try:
            statements.append(msgspec.json.decode(body or b""))
        except msgspec.DecodeError:
            silent.append(other)
    return together(statements, silent)
