"""From a client's frame to a call of the engine: names become numbers, figures are checked. No I/O."""

from __future__ import annotations

from collections.abc import Callable

from saffronstack.engine.calls import Call, FunctionSpec
from saffronstack.resp import frames
from saffronstack.routing.settings import Settings

MAX_TIMEOUT_MS = 600_000
MAX_MEMORY_MB = 1e7
MAX_LANES = 4096
MARGIN_S = 0.03  # the answer leaves this long before the client's time is up: it has a way to go


class CallMaker:
    """What a call frame asks, by the settings."""

    def __init__(self, settings: Settings, next_number: Callable[[], int]) -> None:
        self._classes = {cls.name: place for place, cls in enumerate(settings.classes)}
        self._deadlines = [cls.deadline_s for cls in settings.classes]
        self._tenants = {tenant.name: place for place, tenant in enumerate(settings.tenants)}
        self._next_number = next_number

    def class_index(self, class_name: str) -> int | None:
        """The place of a request class in the settings; None where there is none of that name."""
        return self._classes.get(class_name)

    def call(self, frame: frames.CallFrame, received_s: float) -> Call:
        """The call, whose time counts from when its last byte was there to be read (clock time).

        `frames.FieldError` where it names what there is not, or a figure is out of range.
        """
        fields = frame.fields
        request_id = frames.request_id(fields)
        subject = frames.subject(fields)
        class_index = self.class_index(frame.class_name)
        if class_index is None:
            raise frames.FieldError("an unknown class")
        tenant = 0
        if self._tenants:
            place = self._tenants.get(fields.get("owner", ""))
            if place is None:
                raise frames.FieldError("an unknown owner")
            tenant = place
        wait_s = frames.number(fields, "timeout", 1, MAX_TIMEOUT_MS, None) / 1000
        wait_s = min(wait_s, self._deadlines[class_index])
        facts = frames.fields_of(fields.get("facts", "").encode(), ";", ":")
        memory_mb = frames.number(facts, "memory_mb", 0, MAX_MEMORY_MB, 0.0)
        lanes = frames.number(facts, "lanes", 1, MAX_LANES, 1.0)
        load_ms = frames.number(facts, "load_ms", 0, MAX_TIMEOUT_MS, 0.0)
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
            received_s + wait_s - min(MARGIN_S, wait_s / 4),
            tenant,
            class_name=frame.class_name,
        )
