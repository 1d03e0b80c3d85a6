"""From a client's frame to a call of the engine: names become numbers, figures are checked. No I/O."""

from __future__ import annotations

from collections.abc import Callable

from saffronstack.engine.calls import Call, FunctionSpec
from saffronstack.resp import frames
from saffronstack.routing.settings import Settings

MAX_TIMEOUT_MS = 600_000
MAX_MEMORY_MB = 1e7
MAX_LANES = 4096
DEADLINE_MARGIN_S = 0.03  # the answer leaves this long before the client's time is up: it has a way to go


class CallBuilder:
    """What a call frame asks, by the settings."""

    def __init__(self, settings: Settings, next_number: Callable[[], int]) -> None:
        self._classes = {request_class.name: index for index, request_class in enumerate(settings.classes)}
        self._deadlines = [request_class.deadline_s for request_class in settings.classes]
        self._tenants = {tenant.name: index for index, tenant in enumerate(settings.tenants)}
        self._next_number = next_number

    def class_index(self, class_name: str) -> int | None:
        """The place of a request class in the settings; None where there is none of that name."""
        return self._classes.get(class_name)

    def build(self, frame: frames.CallFrame, received_s: float) -> Call:
        """The call, whose time counts from when its last byte was there to be read (clock time).

        `frames.FieldError` where it names what there is not, or a figure is out of range.
        """
        fields = frame.fields
        request_id = frames.parse_request_id(fields)
        subject = frames.parse_subject(fields)
        class_index = self.class_index(frame.class_name)
        if class_index is None:
            raise frames.FieldError("an unknown class")
        tenant = 0
        if self._tenants:
            tenant_index = self._tenants.get(fields.get("owner", ""))
            if tenant_index is None:
                raise frames.FieldError("an unknown owner")
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
