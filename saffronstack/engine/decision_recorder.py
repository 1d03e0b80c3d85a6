"""Records decisions to a file, on a thread of its own."""

from __future__ import annotations

import queue
import threading
import time

import msgspec
import structlog
import zstandard

from saffronstack.engine.decision_record_format import to_stored, to_tagged
from saffronstack.engine.decision_record_stream import VERSION, frame_value
from saffronstack.routing.actions import Action
from saffronstack.routing.events import Event
from saffronstack.routing.settings import Settings
from saffronstack.runtime.threads import start_thread

FLUSH_INTERVAL_S = 0.5  # a kill loses at most this much of the record
MAX_QUEUED_VALUES = 200_000  # bounds the memory if the disk is too slow
CLOSE_TIMEOUT_S = 5.0
_COMPRESSION_LEVEL = 3
log = structlog.get_logger("saffronstack.record")


class DecisionRecorder:
    """Writes a record: the decision thread encodes and queues values, the recorder's thread writes them."""

    def __init__(self, path: str, settings: Settings, seed: int) -> None:
        """Create the file and start the thread.

        Args:
            path: Path of the file.
            settings: Settings of the router that is recorded.
            seed: Seed of the router that is recorded.

        Raises:
            OSError: The file can't be created.
        """
        self._file = open(path, "wb")  # noqa: SIM115 - closed by the recorder's thread
        self._values: queue.SimpleQueue[bytes | None] = queue.SimpleQueue()
        self._encode = msgspec.msgpack.Encoder().encode
        self._is_broken = False
        self._ended = threading.Event()
        self._values.put(self._encode({"version": VERSION, "seed": seed, "settings": to_stored(settings)}))
        start_thread("record", self._run)

    def record(self, now: float, event: Event, actions: list[Action]) -> None:
        """Record one decision, on the decision thread.

        A record with a gap could not be replayed, so the record ends if the disk is too slow.
        """
        if self._is_broken:
            return
        if self._values.qsize() > MAX_QUEUED_VALUES:
            self._is_broken = True
            log.error("decision record ended: the disk is too slow")
            return
        self._values.put(self._encode([now, to_tagged(event), [to_tagged(action) for action in actions]]))

    def close(self, timeout_s: float = CLOSE_TIMEOUT_S) -> bool:
        """Complete the record; return whether it was written in time."""
        self._values.put(None)
        return self._ended.wait(timeout_s)

    def _run(self) -> None:
        compressor = zstandard.ZstdCompressor(level=_COMPRESSION_LEVEL)
        try:
            with self._file, compressor.stream_writer(self._file) as stream:
                self._write_values(stream)
        except (OSError, zstandard.ZstdError) as error:
            self._is_broken = True
            log.error("decision record ended", error=str(error))
        finally:
            self._ended.set()

    def _write_values(self, stream: zstandard.ZstdCompressionWriter) -> None:
        """Write values until the record is closed."""
        flushed_s = time.monotonic()
        has_unflushed = False
        while True:
            try:
                value = self._values.get(timeout=FLUSH_INTERVAL_S)
            except queue.Empty:
                pass  # time to flush
            else:
                if value is None:
                    return
                stream.write(frame_value(value))
                has_unflushed = True
            if has_unflushed and time.monotonic() - flushed_s >= FLUSH_INTERVAL_S:
                stream.flush(zstandard.FLUSH_BLOCK)
                self._file.flush()
                flushed_s = time.monotonic()
                has_unflushed = False
