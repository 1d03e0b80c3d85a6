"""The adapter: reads batches from standard input, lets one router per instance decide, answers."""

from __future__ import annotations

import gc
import sys
import traceback
from typing import BinaryIO

from saffronstack.bench import wire
from saffronstack.routing.router import Router


class Host:
    """Independent routers, one for each running instance."""

    def __init__(self) -> None:
        self.routers: dict[int, Router] = {}
        self.report_names: dict[int, tuple[str, ...]] = {}

    def batch(self, now: float, body: bytes, records: int) -> bytes:
        """The records of the reply to one batch."""
        reader = wire.Reader(body, self.report_names)
        out: list[bytes] = []
        for _ in range(records):
            instance, event = reader.record()
            try:
                self._one(now, instance, event, out)
            except wire.WireError:
                raise
            except Exception as error:  # the wire has a word of its own for a failed module
                traceback.print_exc(file=sys.stderr)
                out.append(wire.encode_fault(instance, f"{type(error).__name__}: {error}"))
        if reader.at != len(body):
            raise wire.WireError(f"{len(body) - reader.at} bytes follow the last record")
        return b"".join(out)

    def _one(self, now: float, instance: int, event: wire.Told, out: list[bytes]) -> None:
        if isinstance(event, wire.Started):
            settings, names = wire.parse_settings(event.settings_text)
            self.report_names[instance] = names
            self.routers[instance] = Router(settings, event.seed)
        elif isinstance(event, wire.Stopped):
            self.routers.pop(instance, None)
        else:
            router = self.routers.get(instance)
            if router is not None:
                out.extend(wire.encode(instance, action) for action in router.handle(now, event))


def _exactly(source: BinaryIO, count: int) -> bytes:
    content = source.read(count)
    if len(content) != count:
        raise wire.WireError(f"truncated batch: {len(content)} of {count} bytes")
    return content


def serve(source: BinaryIO, sink: BinaryIO) -> None:
    """Answer batches until the input ends."""
    host = Host()
    while first := source.read(1):
        header = first + _exactly(source, wire.BATCH_HEADER.size - 1)
        now, length, records, number = wire.BATCH_HEADER.unpack(header)
        reply = host.batch(now, _exactly(source, length), records)
        sink.write(wire.REPLY_HEADER.pack(len(reply), number) + reply)
        sink.flush()


def main() -> int:
    """Run the adapter; 0 at the end of input, 2 after a malformed batch."""
    gc.freeze()
    try:
        serve(sys.stdin.buffer, sys.stdout.buffer)
    except wire.WireError as error:
        print(f"saffronstack.bench.simhost: {error}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
