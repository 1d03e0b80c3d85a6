"""What is known of an operation, for whoever asks by its client's name. No I/O."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any

from saffronstack.operations.names import KEY, SDK, Name
from saffronstack.operations.service import Operations
from saffronstack.operations.table import Open

KINDS = ("RequestResponse", "Event")


def find(
    operations: Operations, tenant: str, token: str, functions: Iterable[str], qualifier: str
) -> list[dict[str, Any]]:
    """The operations that a tenant's clients name so, as a key or as an SDK's id."""
    found = []
    now = operations.now()
    for function in functions:
        for kind in KINDS:
            for named_by, behind in ((KEY, "Idempotency-Key"), (SDK, "amz-sdk-invocation-id")):
                digest = Name(tenant, function, qualifier, kind, named_by + token).digest()
                known = operations.look(digest)
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
