"""What is known of operations, and what a send of one means. No I/O, no clock of its own.

An operation is *open* from its first send until it has its answer; *ended* with an answer, which every later
send gets; *unknown* where it may have run and no answer came, which is an answer too; or *again*: a keyed one
that was refused after it may have run, or whose gateway was killed, and goes again where it went before.

What ended is packed into bytes. Over the memory ceiling the oldest that ended goes first; what is open,
unknown or to go again stays for its window, and new operations that are not safe are turned away before that.
"""

from __future__ import annotations

import uuid
from collections import deque
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from enum import Enum
from heapq import merge

import msgspec

from saffronstack.routing.settings import Idempotency

ENTRY_BYTES = 330  # an entry's own, beside its packed answer: table, key, queue (measured, rounded up)
OPEN_BYTES = 1200
LOOK_S = 0.5  # between looks at what is past its window


class Fate(Enum):
    """How an operation stands once it is not open."""

    ENDED = "ended"
    UNKNOWN = "unknown"
    AGAIN = "again"


class Answer(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """An operation's final answer, or where it is kept. ``spool``: a file's name; ``digest``: of a body that
    is not at hand."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes = b""
    spool: str = ""
    digest: str = ""
    length: int = 0


class Packed(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """What stays of an operation; times in steady Unix seconds. ``worker`` and ``sent_at``: the first attempt
    that may have run, of one that goes again."""

    fate: Fate
    until: float
    fingerprint: bytes
    request_id: str
    effect: Idempotency
    answer: Answer | None = None
    worker: int = 0
    sent_at: float = 0.0
    busy_until: float = 0.0  # an attempt of the refused try may be out until then


# What nearly every answer's headers are made of stands as numbers: a million answers are kept.
_WORDS = (
    "Content-Type",
    "x-amzn-RequestId",
    "X-Amz-Executed-Version",
    "X-Amz-Function-Error",
    "X-Amz-Log-Result",
    "application/json",
    "$LATEST",
    "Unhandled",
    "Handled",
)
_NUMBERS = {word: number for number, word in enumerate(_WORDS)}
_REQUEST_ID = len(_WORDS)  # the operation's own
_Word = int | str


class _Wire(msgspec.Struct, frozen=True, array_like=True, omit_defaults=True):
    fate: Fate
    until: float
    fingerprint: bytes
    request_id: bytes  # "u" and a UUID's bytes, or "t" and a text
    effect: Idempotency
    status: int = 0  # no answer
    words: tuple[_Word, ...] = ()
    body: bytes = b""
    spool: str = ""
    digest: str = ""
    length: int = 0
    worker: int = 0
    sent_at: float = 0.0
    busy_until: float = 0.0


_encode = msgspec.msgpack.Encoder().encode
_decode = msgspec.msgpack.Decoder(_Wire).decode


def _short_id(request_id: str) -> bytes:
    try:
        short = uuid.UUID(request_id)
    except ValueError:
        return b"t" + request_id.encode()
    return b"u" + short.bytes if str(short) == request_id else b"t" + request_id.encode()


def _long_id(short: bytes) -> str:
    return str(uuid.UUID(bytes=short[1:])) if short[:1] == b"u" else short[1:].decode()


def pack(what: Packed) -> bytes:
    """As bytes."""
    answer = what.answer or Answer(0, ())
    words = tuple(
        _REQUEST_ID if word == what.request_id else _NUMBERS.get(word, word)
        for header in answer.headers
        for word in header
    )
    return _encode(
        _Wire(
            what.fate,
            what.until,
            what.fingerprint,
            _short_id(what.request_id),
            what.effect,
            answer.status,
            words,
            answer.body,
            answer.spool,
            answer.digest,
            answer.length,
            what.worker,
            what.sent_at,
            what.busy_until,
        )
    )


def unpack(data: bytes) -> Packed:
    """From bytes; ValueError where they are none."""
    wire = _decode(data)
    request_id = _long_id(wire.request_id)
    answer = None
    if wire.status:
        words = [
            request_id if w == _REQUEST_ID else _WORDS[w] if isinstance(w, int) else w for w in wire.words
        ]
        headers = tuple(zip(words[0::2], words[1::2], strict=True))
        answer = Answer(wire.status, headers, wire.body, wire.spool, wire.digest, wire.length)
    return Packed(
        wire.fate,
        wire.until,
        wire.fingerprint,
        request_id,
        wire.effect,
        answer,
        wire.worker,
        wire.sent_at,
        wire.busy_until,
    )


@dataclass(eq=False, slots=True)
class Open:
    """An operation under way; its service hangs what it needs on it."""

    digest: bytes
    fingerprint: bytes
    effect: Idempotency
    window_s: float
    request_id: str
    since: float
    again: Packed | None = None  # what an earlier try left, for one that goes again
    live: object = None


@dataclass(frozen=True, slots=True)
class Begin:
    """The send is the operation's own: run it."""

    open: Open


@dataclass(frozen=True, slots=True)
class Join:
    """It is under way: wait for its answer."""

    open: Open


@dataclass(frozen=True, slots=True)
class Repeat:
    """It has its answer, or its outcome is unknown."""

    packed: Packed


@dataclass(frozen=True, slots=True)
class Mismatch:
    """The name was given to something else."""

    request_id: str


@dataclass(frozen=True, slots=True)
class Turned:
    """There is no room to remember it; nothing was touched."""

    retry_after_s: float


Step = Begin | Join | Repeat | Mismatch | Turned


class Table:
    """Operations by digest. Its owner holds a lock of its own around each call."""

    def __init__(self, memory_bytes: int) -> None:
        self._most = memory_bytes
        self._entries: dict[bytes, Open | bytes] = {}
        self._ended: dict[float, deque[tuple[float, bytes]]] = {}  # by window: until, digest
        self._kept: dict[float, deque[tuple[float, bytes]]] = {}  # unknown, and to go again
        self.bytes = 0
        self.opened = 0
        self._look_s = 0.0  # when the queues are looked at next
        self.dropped_early = 0  # ended operations that left before their window did

    def __len__(self) -> int:
        return len(self._entries)

    # ---- sends

    def send(
        self,
        digest: bytes,
        fingerprint: bytes,
        effect: Idempotency,
        window_s: float,
        request_id: str,
        now: float,
    ) -> Step:
        """What a send means. ``Begin`` opens the operation; it must be ended, left or released."""
        if now >= self._look_s:
            self.expire(now)
        entry = self._entries.get(digest)
        if isinstance(entry, Open):
            if entry.fingerprint != fingerprint:
                return Mismatch(entry.request_id)
            return Join(entry)
        again = None
        if entry is not None:
            packed = unpack(entry)
            if packed.fingerprint != fingerprint:
                return Mismatch(packed.request_id)
            if packed.until > now:  # its queue may stand behind others'
                if packed.fate is not Fate.AGAIN:
                    return Repeat(packed)
                again = packed
            self._remove(digest, entry)
        if not self._room(effect):
            if entry is not None:
                self._put(digest, entry)
            return Turned(self._free_in(now))
        opened = Open(digest, fingerprint, effect, window_s, request_id, now, again)
        if again is not None:
            opened.request_id = again.request_id
        if self.bytes + OPEN_BYTES <= self._most:  # else it is safe, and runs without being remembered
            self._put(digest, opened)
        self.opened += 1
        return Begin(opened)

    def end(self, opened: Open, fate: Fate, answer: Answer | None, now: float) -> bytes:
        """It has its answer, or none that can be known; what stays of it."""
        return self._close(
            opened,
            Packed(fate, now + opened.window_s, opened.fingerprint, opened.request_id, opened.effect, answer),
            now,
        )

    def leave(self, opened: Open, worker: int, sent_at: float, now: float, busy_until: float = 0.0) -> bytes:
        """It may have run and was refused: it goes again, where it went first, until its window ends."""
        first = opened.again
        if first is not None:
            worker, sent_at = first.worker, first.sent_at
        packed = Packed(
            Fate.AGAIN,
            now + opened.window_s,
            opened.fingerprint,
            opened.request_id,
            opened.effect,
            None,
            worker,
            sent_at,
            busy_until,
        )
        return self._close(opened, packed, now)

    def release(self, opened: Open, now: float) -> bool:
        """It never ran: as if it had never been sent, unless an earlier try may have; then that stands again.
        Whether it is forgotten."""
        if self._entries.get(opened.digest) is not opened:
            return True
        if opened.again is not None:
            self._close(opened, opened.again, now)
            return False
        self._remove(opened.digest, opened)
        return True

    def restore(self, digest: bytes, packed: bytes) -> None:
        """What an earlier life knew."""
        known = self._entries.get(digest)
        if known is None:
            self._put(digest, packed)
            what = unpack(packed)
            queues = self._ended if what.fate is Fate.ENDED else self._kept
            queues.setdefault(0.0, deque()).append((what.until, digest))

    def take_out(self, which: Callable[[bytes], bool]) -> list[tuple[bytes, bytes]]:
        """Forget some that are not open; what was known of them."""
        found = [(d, e) for d, e in self._entries.items() if isinstance(e, bytes) and which(d)]
        for digest, entry in found:
            self._remove(digest, entry)
        return found

    def find(self, digest: bytes) -> Open | Packed | None:
        """What is known of one."""
        entry = self._entries.get(digest)
        return unpack(entry) if isinstance(entry, bytes) else entry

    def expire(self, now: float) -> list[bytes]:
        """Forget what is past its window; the digests."""
        gone: list[bytes] = []
        self._look_s = now + LOOK_S
        for queues in (self._ended, self._kept):
            for queue in queues.values():
                while queue and queue[0][0] <= now:
                    until, digest = queue.popleft()
                    if self._drop(digest, until):
                        gone.append(digest)
        return gone

    def counts(self) -> Iterator[tuple[str, int]]:
        """How many are known, by how they stand."""
        kept = sum(map(len, self._kept.values()))
        ended = sum(map(len, self._ended.values()))
        yield "unknown_or_again", kept
        yield "ended", ended
        yield "open", max(0, len(self._entries) - kept - ended)

    # ---- inside

    def _close(self, opened: Open, packed: Packed, now: float) -> bytes:
        data = pack(packed)
        if self._entries.get(opened.digest) is opened:
            self._remove(opened.digest, opened)
            self._put(opened.digest, data)
            queues = self._ended if packed.fate is Fate.ENDED else self._kept
            queues.setdefault(opened.window_s, deque()).append((packed.until, opened.digest))
            self._shrink()
        return data

    def _put(self, digest: bytes, entry: Open | bytes) -> None:
        self._entries[digest] = entry
        self.bytes += self._size(entry)

    def _remove(self, digest: bytes, entry: Open | bytes) -> None:
        del self._entries[digest]
        self.bytes -= self._size(entry)

    @staticmethod
    def _size(entry: Open | bytes) -> int:
        return OPEN_BYTES if isinstance(entry, Open) else ENTRY_BYTES + len(entry)

    def _drop(self, digest: bytes, until: float) -> bool:
        """Forget what a queue names, unless something newer stands under that digest."""
        entry = self._entries.get(digest)
        if not isinstance(entry, bytes) or unpack(entry).until != until:
            return False
        self._remove(digest, entry)
        return True

    def _shrink(self, more: int = 0) -> None:
        """Room for so many bytes more under the ceiling, as far as what has ended goes."""
        while self.bytes + more > self._most:
            oldest = min(
                (queue for queue in self._ended.values() if queue), key=lambda q: q[0][0], default=None
            )
            if oldest is None:
                return
            until, digest = oldest.popleft()
            self.dropped_early += self._drop(digest, until)

    def _room(self, effect: Idempotency) -> bool:
        """Whether one more can be begun. A safe one always can: it may run without being remembered."""
        self._shrink(OPEN_BYTES)
        return effect is Idempotency.IDEMPOTENT or self.bytes + OPEN_BYTES <= self._most

    def _free_in(self, now: float) -> float:
        """When so many of those that stay have left their windows that one more can be open; a second where
        only open ones stand, which end when they do."""
        needed = self.bytes + OPEN_BYTES - self._most
        for until, digest in merge(*self._kept.values()):
            entry = self._entries.get(digest)
            if isinstance(entry, bytes):
                needed -= self._size(entry)
                if needed <= 0:
                    return max(0.1, until - now)
        return 1.0
