"""What outlives a kill: operations noted before their first byte left, and how they ended. On a journal."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterator

import msgspec

from saffronstack.durable.journal import Codec, Journal
from saffronstack.durable.segments import Files
from saffronstack.operations.operation_table import Fate, Packed, pack
from saffronstack.routing.settings import Idempotency


class Entry(msgspec.Struct, array_like=True, frozen=True, tag_field="kind"):
    """What all records share."""


class Start(Entry, frozen=True, tag="s"):
    """All before this record is void."""


class Noted(Entry, frozen=True, tag="n"):
    """An operation's first attempt is about to leave for a worker; times in Unix seconds."""

    digest: bytes
    fingerprint: bytes
    effect: Idempotency
    request_id: str
    window_s: float
    worker: int
    at: float


class Ended(Entry, frozen=True, tag="e"):
    """An operation that was noted is over, or goes again (`table.Packed`)."""

    digest: bytes
    packed: bytes
    until: float


class Released(Entry, frozen=True, tag="r"):
    """An operation that was noted never ran."""

    digest: bytes


class Expired(Entry, frozen=True, tag="x"):
    """What ended and is out of its window by then is forgotten, and what was noted so long ago."""

    before: float


AnyEntry = Start | Noted | Ended | Released | Expired
CODEC: Codec[AnyEntry] = Codec(
    msgspec.msgpack.Encoder().encode,
    msgspec.msgpack.Decoder(AnyEntry).decode,
    lambda entry: isinstance(entry, Start),
    "operations",
)


class Notes:
    """Owned by the journal's writer thread."""

    def __init__(self) -> None:
        self.open: OrderedDict[bytes, Noted] = OrderedDict()
        self.ended: OrderedDict[bytes, Ended] = OrderedDict()
        self.in_doubt = False
        self._bytes = 0

    def apply(self, entry: AnyEntry) -> None:
        """One record more."""
        if isinstance(entry, Noted):
            self.open.setdefault(entry.digest, entry)  # the first attempt is the one that may have run
        elif isinstance(entry, Ended):
            self.open.pop(entry.digest, None)
            self._forget(entry.digest)
            self.ended[entry.digest] = entry
            self._bytes += len(entry.packed)
        elif isinstance(entry, Released):
            self.open.pop(entry.digest, None)
        elif isinstance(entry, Expired):
            for digest in [d for d, e in self.ended.items() if e.until <= entry.before]:
                self._forget(digest)
            for digest in [d for d, n in self.open.items() if n.at + n.window_s <= entry.before]:
                del self.open[digest]
        else:
            self.open.clear()
            self.ended.clear()
            self._bytes = 0

    def _forget(self, digest: bytes) -> None:
        ended = self.ended.pop(digest, None)
        if ended is not None:
            self._bytes -= len(ended.packed)

    def snapshot(self) -> Iterator[AnyEntry]:
        """Records that add up to this state."""
        yield Start()
        yield from self.ended.values()
        yield from self.open.values()

    def needed_bytes(self) -> int:
        """About how large a snapshot is."""
        return 160 * len(self.open) + 60 * len(self.ended) + self._bytes + 16

    def doubt(self) -> None:
        """Records are lost: what was noted may have ended, which an unknown outcome says as well."""
        self.in_doubt = True

    def relieve(self) -> tuple[AnyEntry, ...]:
        """The table is bounded; so is this."""
        return ()

    def known(self) -> Iterator[tuple[bytes, bytes]]:
        """What the next life must know: ended ones as they are; open ones may have run, and are unknown, or
        where a key protects them go again."""
        for digest, ended in self.ended.items():
            yield digest, ended.packed
        for digest, noted in self.open.items():
            fate = Fate.AGAIN if noted.effect is Idempotency.WITH_KEY else Fate.UNKNOWN
            yield (
                digest,
                pack(
                    Packed(
                        fate,
                        noted.at + noted.window_s,
                        noted.fingerprint,
                        noted.request_id,
                        noted.effect,
                        None,
                        noted.worker,
                        noted.at,
                    )
                ),
            )


NotesLog = Journal[AnyEntry, Notes]


def open_notes(directory: str, segment_bytes: int, files: Files | None = None) -> NotesLog:
    """Lock and read the notes. JournalError where another process holds them or they can't be read."""
    return Journal(directory, Notes(), CODEC, segment_bytes, files)
