"""What is known of an operation, for whoever asks by its client's name. No I/O."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any

from saffronstack.operations.idempotency_keys import KEY, SDK, Name
from saffronstack.operations.operation_service import Operations
from saffronstack.operations.operation_table import Open

KINDS = ("RequestResponse", "Event")


def find(
    operations: Operations,
    tenant: str,
    token: str,
    functions: Iterable[str],
    qualifier: str,
    clock: float,
) -> list[dict[str, Any]]:
    """The operations that a tenant's clients name so, as a key or as an SDK's id; ``clock``: now, by the
    clock."""
    found = []
    now = operations.now()
    for function in functions:
        for kind in KINDS:
            for named_by, behind in ((KEY, "Idempotency-Key"), (SDK, "amz-sdk-invocation-id")):
                name = Name(tenant, function, qualifier, kind, named_by + token)
                known = operations.look(name.digest())
                if known is None and kind == KINDS[0]:
                    found += _recent(operations, name, token, behind, clock)
                if known is None:
                    continue
                line: dict[str, Any] = {
                    "operation": token,
                    "namedBy": behind,
                    "function": function,
                    "qualifier": qualifier,
                    "invocationType": kind,
                    "requestId": known.request_id,
                    "effect": known.effect.value,
                }
                if isinstance(known, Open):
                    line |= {"state": "open", "openForS": round(now - known.since, 3)}
                else:
                    line |= {"state": known.fate.value, "rememberedForS": round(known.until - now, 3)}
                    if known.answer is not None:
                        kept = known.answer
                        line |= {
                            "status": kept.status,
                            "answerBytes": kept.length or len(kept.body),
                            "answerKept": "on disk" if kept.spool else "no" if kept.digest else "in memory",
                        }
                    if known.worker:
                        line |= {"mayHaveRunAt": known.sent_at}
                found.append(line)
    return found


def _recent(
    operations: Operations, name: Name, token: str, behind: str, clock: float
) -> list[dict[str, Any]]:
    """A safe operation, which has a memory of its own."""
    entry = operations.recent.find((name.tenant, name.function, name.qualifier, name.token))
    if entry is None or (entry.answer is not None and entry.until <= clock):
        return []
    line: dict[str, Any] = {
        "operation": token,
        "namedBy": behind,
        "function": name.function,
        "qualifier": name.qualifier,
        "invocationType": name.kind,
        "requestId": entry.request_id,
        "effect": "safe",
    }
    if entry.answer is None:
        return [line | {"state": "open", "openForS": round(clock - entry.since, 3)}]
    answer = entry.answer
    line |= {"state": "ended", "rememberedForS": round(entry.until - clock, 3), "status": answer.status}
    return [line | {"answerBytes": len(answer.body), "answerKept": "in memory"}]
