"""Builds the engine's calls from the call frames of clients; no I/O.

Class and tenant names become indexes into the settings, and numbers are checked against their bounds.
"""

from __future__ import annotations

from collections.abc import Callable

from saffronstack.engine.calls import Call, FunctionSpec
from saffronstack.resp import frames
from saffronstack.routing.settings import Settings

MAX_TIMEOUT_MS = 600_000
MAX_MEMORY_MB = 1e7
MAX_LANES = 4096
# Seconds before the client's deadline at which the gateway ends a call, so that the answer arrives in time.
DEADLINE_MARGIN_S = 0.03


class CallBuilder:
    """Builds calls by the request classes and tenants of the settings."""

    def __init__(self, settings: Settings, next_number: Callable[[], int]) -> None:
        self._classes = {request_class.name: index for index, request_class in enumerate(settings.classes)}
        self._deadlines = [request_class.deadline_s for request_class in settings.classes]
        self._tenants = {tenant.name: index for index, tenant in enumerate(settings.tenants)}
        self._next_number = next_number

    def class_index(self, class_name: str) -> int | None:
        """Return the index of a request class in the settings, or None if no class has that name."""
        return self._classes.get(class_name)

    def build(self, frame: frames.CallFrame, received_s: float) -> Call:
        """Return the call of a frame.

        Args:
            frame: The frame as the client sent it.
            received_s: Clock time at which the whole request was available; its timeout starts then.

        Raises:
            frames.FieldError: A class or tenant is unknown, a field is missing, or a number is out of range.
        """
        fields = frame.fields
        request_id = frames.parse_request_id(fields)
        subject = frames.parse_subject(fields)
        class_index = self.class_index(frame.class_name)
        if class_index is None:
            raise frames.FieldError("the request class is not in the settings")
        tenant = 0
        if self._tenants:
            tenant_index = self._tenants.get(fields.get("owner", ""))
            if tenant_index is None:
                raise frames.FieldError("the tenant in field owner is not in the settings")
            tenant = tenant_index
        timeout_s = frames.parse_number(fields, "timeout", 1, MAX_TIMEOUT_MS, None) / 1000
        timeout_s = min(timeout_s, self._deadlines[class_index])
        facts = frames.parse_fields(fields.get("facts", "").encode(), ";", ":")
        memory_mb = frames.parse_number(facts, "memory_mb", 0, MAX_MEMORY_MB, 0.0)
        lanes = frames.parse_number(facts, "lanes", 1, MAX_LANES, 1.0)
        load_ms = frames.parse_number(facts, "load_ms", 0, MAX_TIMEOUT_MS, 0.0)
        spec = FunctionSpec(
            subject,
            int(subject, 16),
            class_index,
            memory_mb,
            int(lanes),
            load_ms / 1000 if load_ms > 0 else None,
        )
        return Call(
            self._next_number(),
            request_id,
            spec,
            frame.body,
            received_s + timeout_s - min(DEADLINE_MARGIN_S, timeout_s / 4),
            tenant,
            class_name=frame.class_name,
        )
