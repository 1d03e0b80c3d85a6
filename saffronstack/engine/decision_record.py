"""Records of decisions: every event and what was decided on it, compressed, and their replay.

A record is a zstandard stream of length-prefixed MessagePack values: first the settings and the seed, then
one value for each event. A record that was cut short, as by a kill, replays up to where it was cut.
"""

from __future__ import annotations

import queue
import struct
import threading
import time
from collections.abc import Callable, Iterator
from typing import Any, BinaryIO, TypeVar

import msgspec
import structlog
import zstandard

from saffronstack.engine.decision_record_format import (
    action_from_tagged,
    event_from_tagged,
    from_stored,
    to_stored,
    to_tagged,
)
from saffronstack.routing.actions import Action
from saffronstack.routing.events import Event
from saffronstack.routing.router import Router
from saffronstack.routing.settings import Settings
from saffronstack.runtime.threads import spawn

VERSION = 1
FLUSH_S = 0.5
MAX_QUEUED_RECORDS = 200_000
MAX_VALUE_BYTES = 64 * 1024 * 1024  # bytes
_LENGTH = struct.Struct("<I")
Parsed = TypeVar("Parsed")
log = structlog.get_logger("saffronstack.record")


class RecordError(ValueError):
    """The record can't be read, or its replay differs; the text says where."""


def _parse(raw: Any, parse: Callable[[Any], Parsed], number: int) -> Parsed:
    try:
        return parse(raw)
    except (KeyError, IndexError, TypeError, msgspec.ValidationError) as error:
        raise RecordError(f"entry {number}: not an event or action of this version: {error}") from error


class Recorder:
    """Writes a record on a thread of its own; the decision thread only encodes and queues."""

    def __init__(self, path: str, settings: Settings, seed: int) -> None:
        """OSError where the file can't be made."""
        self._file = open(path, "wb")  # noqa: SIM115 - closed by the writer thread
        self._queue: queue.SimpleQueue[bytes | None] = queue.SimpleQueue()
        self._encode = msgspec.msgpack.Encoder().encode
        self._broken = False
        self._ended = threading.Event()
        self._queue.put(self._encode({"version": VERSION, "seed": seed, "settings": to_stored(settings)}))
        spawn("record", self._write)

    def record(self, now: float, event: Event, actions: list[Action]) -> None:
        """One decision. A record with a gap can't be replayed: where the disk can't follow, it ends."""
        if self._broken:
            return
        if self._queue.qsize() > MAX_QUEUED_RECORDS:
            self._broken = True
            log.error("record ended: the disk does not follow")
            return
        self._queue.put(self._encode([now, to_tagged(event), [to_tagged(action) for action in actions]]))

    def close(self, timeout_s: float = 5.0) -> bool:
        """End the record; whether it was written out in time."""
        self._queue.put(None)
        return self._ended.wait(timeout_s)

    def _write(self) -> None:
        try:
            with self._file, zstandard.ZstdCompressor(level=3).stream_writer(self._file) as stream:
                flushed_s, unflushed = time.monotonic(), False
                while True:
                    try:
                        value = self._queue.get(timeout=FLUSH_S)
                    except queue.Empty:
                        pass
                    else:
                        if value is None:
                            break
                        stream.write(_LENGTH.pack(len(value)) + value)
                        unflushed = True
                    if (
                        unflushed and time.monotonic() - flushed_s >= FLUSH_S
                    ):  # a kill costs no more than this
                        stream.flush(zstandard.FLUSH_BLOCK)
                        self._file.flush()
                        flushed_s, unflushed = time.monotonic(), False
        except (OSError, zstandard.ZstdError) as error:
            self._broken = True
            log.error("record ended", error=str(error))
        finally:
            self._ended.set()


def _values(file: BinaryIO) -> Iterator[bytes]:
    """The values up to the end or to where the record was cut."""
    reader = zstandard.ZstdDecompressor().stream_reader(file)
    held = b""

    def take(size: int) -> bytes | None:
        nonlocal held
        while len(held) < size:
            try:
                more = reader.read(1 << 16)
            except zstandard.ZstdError as error:
                raise RecordError(f"byte {file.tell()}: not a zstandard stream: {error}") from error
            if not more:
                return None
            held += more
        taken, held = held[:size], held[size:]
        return taken

    while (head := take(_LENGTH.size)) is not None:
        (length,) = _LENGTH.unpack(head)
        if length > MAX_VALUE_BYTES:
            raise RecordError(f"a value of {length} bytes, {MAX_VALUE_BYTES} at most")
        value = take(length)
        if value is None:
            return
        yield value


def replay(path: str) -> tuple[int, int]:
    """Feed a record to a fresh `Router`; how many events and actions agreed. RecordError at the first that
    differs, naming entry, event and both lists of actions; OSError where the file can't be read."""
    with open(path, "rb") as file:
        values = _values(file)
        first = next(values, None)
        if first is None:
            raise RecordError("the record holds nothing")
        try:
            head = msgspec.msgpack.decode(first)
            if head["version"] != VERSION:
                raise RecordError(f"version {head['version']}, not {VERSION}")
            router = Router(from_stored(head["settings"], Settings), int(head["seed"]))
        except (KeyError, TypeError, msgspec.MsgspecError) as error:
            raise RecordError(f"the record's head: {error}") from error
        events = actions = 0
        for number, value in enumerate(values, 1):
            try:
                now, event, recorded = msgspec.msgpack.decode(value)
            except (msgspec.MsgspecError, ValueError, TypeError) as error:
                raise RecordError(f"entry {number}: {error}") from error
            told = _parse(event, event_from_tagged, number)
            expected = [_parse(action, action_from_tagged, number) for action in recorded]
            decided = router.handle(now, told)
            if decided != expected:
                raise RecordError(
                    f"entry {number}, at {now:.6f}, {told}: recorded {expected}, decided {decided}"
                )
            events += 1
            actions += len(expected)
        return events, actions
