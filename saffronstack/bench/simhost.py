"""Process that the simulator starts: handles batches of events with one router per gateway instance."""

from __future__ import annotations

import gc
import sys
import traceback
from typing import BinaryIO

from saffronstack.bench import wire
from saffronstack.routing.router import Router

MALFORMED_INPUT_STATUS = 2


class RouterHost:
    """Holds one independent router for each running gateway instance.

    Attributes:
        routers: Routers, by instance number.
        load_report_fields: Field names of load reports, by instance number.
    """

    def __init__(self) -> None:
        self.routers: dict[int, Router] = {}
        self.load_report_fields: dict[int, tuple[str, ...]] = {}

    def handle_batch(self, now: float, body: bytes, records: int) -> bytes:
        """Handle the records of one batch and return the records of its reply.

        Raises:
            WireError: The batch is malformed.
        """
        reader = wire.Reader(body, self.load_report_fields)
        reply: list[bytes] = []
        for _ in range(records):
            instance, event = reader.read_record()
            try:
                self._handle_event(now, instance, event, reply)
            except wire.WireError:
                raise
            except Exception as error:  # noqa: BLE001 - the simulator has a record for router exceptions
                traceback.print_exc(file=sys.stderr)
                reply.append(wire.encode_fault(instance, f"{type(error).__name__}: {error}"))
        if reader.offset != len(body):
            raise wire.WireError(f"{len(body) - reader.offset} bytes follow the last record")
        return b"".join(reply)

    def _handle_event(self, now: float, instance: int, event: wire.WireEvent, reply: list[bytes]) -> None:
        if isinstance(event, wire.InstanceStarted):
            parsed = wire.parse_settings(event.settings_text)
            self.load_report_fields[instance] = parsed.load_report_fields
            self.routers[instance] = Router(parsed.settings, event.seed)
        elif isinstance(event, wire.InstanceStopped):
            self.routers.pop(instance, None)
        else:
            router = self.routers.get(instance)
            if router is not None:
                reply.extend(wire.encode(instance, action) for action in router.handle(now, event))


def _read_exactly(source: BinaryIO, count: int) -> bytes:
    content = source.read(count)
    if len(content) != count:
        raise wire.WireError(f"truncated batch: {len(content)} of {count} bytes")
    return content


def serve(source: BinaryIO, sink: BinaryIO) -> None:
    """Read batches and write their replies until the input ends.

    Raises:
        WireError: A batch is malformed.
    """
    host = RouterHost()
    while first := source.read(1):
        header = first + _read_exactly(source, wire.BATCH_HEADER.size - 1)
        now, length, records, batch_number = wire.BATCH_HEADER.unpack(header)
        reply = host.handle_batch(now, _read_exactly(source, length), records)
        sink.write(wire.REPLY_HEADER.pack(len(reply), batch_number) + reply)
        sink.flush()


def main() -> int:
    """Run the adapter and return its exit status: 0 at end of input, 2 after a malformed batch."""
    gc.freeze()
    try:
        serve(sys.stdin.buffer, sys.stdout.buffer)
    except wire.WireError as error:
        print(f"saffronstack.bench.simhost: {error}", file=sys.stderr)
        return MALFORMED_INPUT_STATUS
    return 0


if __name__ == "__main__":
    sys.exit(main())
