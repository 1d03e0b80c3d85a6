"""Decisions on operations, free of I/O: over arbitrary sends, kills, losses and expiry one effect, one
answer."""

from __future__ import annotations

import itertools
from dataclasses import dataclass, field

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from saffronstack.http1.messages import Headers
from saffronstack.operations.idempotency_keys import Name, fingerprint, token_of, worker_key
from saffronstack.operations.operation_log import AnyEntry, Ended, Expired, Noted, Notes, Released, Start
from saffronstack.operations.operation_table import (
    ENTRY_BYTES,
    OPEN_BYTES,
    Answer,
    Begin,
    Fate,
    Join,
    Mismatch,
    Open,
    Packed,
    Repeat,
    Table,
    Turned,
    pack,
    unpack,
)
from saffronstack.operations.request_coalescing import ENTRY_BYTES as ENTRY
from saffronstack.operations.request_coalescing import Recent
from saffronstack.routing.settings import Idempotency

WINDOW_S = 100.0
PRINT = b"p" * 16


def opened(
    table: Table, digest: bytes = b"a", now: float = 0.0, effect: Idempotency = Idempotency.NON_IDEMPOTENT
) -> Open:
    step = table.send(digest, PRINT, effect, WINDOW_S, f"id-{digest.hex()}", now)
    assert isinstance(step, Begin)
    return step.open


def test_a_send_joins_then_repeats_then_begins_anew_past_the_window() -> None:
    table = Table(1 << 20)
    first = opened(table)
    again = table.send(b"a", PRINT, Idempotency.NON_IDEMPOTENT, WINDOW_S, "id-2", 1.0)
    assert isinstance(again, Join)
    assert again.open is first
    answer = Answer(200, (("A", "b"),), b"body")
    table.end(first, Fate.ENDED, answer, 5.0)
    for now in (6.0, 104.999):
        step = table.send(b"a", PRINT, Idempotency.NON_IDEMPOTENT, WINDOW_S, "id-3", now)
        assert isinstance(step, Repeat)
        assert (step.packed.answer, step.packed.request_id) == (answer, first.request_id)
    assert isinstance(table.send(b"a", PRINT, Idempotency.NON_IDEMPOTENT, WINDOW_S, "id-4", 105.0), Begin)


def test_another_payload_touches_nothing() -> None:
    table = Table(1 << 20)
    first = opened(table)
    assert table.send(b"a", b"other", Idempotency.NON_IDEMPOTENT, WINDOW_S, "x", 1.0) == Mismatch(
        first.request_id
    )
    table.end(first, Fate.UNKNOWN, None, 2.0)
    assert table.send(b"a", b"other", Idempotency.NON_IDEMPOTENT, WINDOW_S, "x", 3.0) == Mismatch(
        first.request_id
    )
    assert isinstance(table.send(b"a", PRINT, Idempotency.NON_IDEMPOTENT, WINDOW_S, "x", 3.0), Repeat)


def test_what_was_refused_after_it_may_have_run_goes_again_where_it_went() -> None:
    table = Table(1 << 20)
    first = opened(table, effect=Idempotency.WITH_KEY)
    table.leave(first, 7, 3.0, 4.0, 4.5)
    second = opened(table, now=5.0, effect=Idempotency.WITH_KEY)
    assert second.again is not None
    assert (second.again.worker, second.again.sent_at, second.request_id) == (7, 3.0, first.request_id)
    assert second.again.busy_until == 4.5
    table.release(second, 6.0)  # this try never ran; the first one still may have
    third = opened(table, now=7.0, effect=Idempotency.WITH_KEY)
    table.leave(third, 9, 6.5, 8.0)  # and another may have, elsewhere: the first one still tells
    fourth = opened(table, now=9.0, effect=Idempotency.WITH_KEY)
    assert fourth.again is not None
    assert (fourth.again.worker, fourth.again.sent_at) == (7, 3.0)


def test_the_ceiling_is_kept_and_what_must_stay_stays() -> None:
    table = Table(20_000)
    kept = [opened(table, bytes([n]), 0.0) for n in range(5)]
    for n, one in enumerate(kept):
        table.end(one, Fate.UNKNOWN, None, float(n))
    for n in range(200):
        one = opened(table, b"e%d" % n, 10.0 + n * 0.01)
        table.end(one, Fate.ENDED, Answer(200, (), b"x" * 100), 10.0 + n * 0.01)
        assert table.bytes <= 20_000
    assert table.dropped_early > 100
    for n in range(5):
        assert isinstance(
            table.send(bytes([n]), PRINT, Idempotency.NON_IDEMPOTENT, WINDOW_S, "x", 20.0), Repeat
        )
    newest = table.send(b"e199", PRINT, Idempotency.NON_IDEMPOTENT, WINDOW_S, "x", 20.0)
    assert isinstance(newest, Repeat)
    under_way = [
        table.send(b"o%d" % n, PRINT, Idempotency.NON_IDEMPOTENT, WINDOW_S, "x", 20.0) for n in range(60)
    ]
    turned = [step for step in under_way if isinstance(step, Turned)]
    assert turned
    assert table.bytes <= 20_000
    assert 80.0 <= turned[0].retry_after_s <= 84.0  # when enough unknown ones have left their windows
    safe = table.send(b"safe", PRINT, Idempotency.IDEMPOTENT, WINDOW_S, "x", 20.0)
    assert isinstance(safe, Begin)  # it runs, and nobody remembers it
    table.end(safe.open, Fate.ENDED, Answer(200, (), b""), 21.0)
    assert table.find(b"safe") is None
    after = table.send(
        b"new", PRINT, Idempotency.NON_IDEMPOTENT, WINDOW_S, "x", 20.0 + turned[0].retry_after_s
    )
    assert isinstance(after, Begin)


def test_bytes_are_counted_back_to_nothing() -> None:
    table = Table(1 << 20)
    for n in range(50):
        one = opened(table, b"%d" % n, float(n))
        if n % 3 == 0:
            table.release(one, float(n))
        elif n % 3 == 1:
            table.end(one, Fate.ENDED, Answer(200, (), b"y" * n), float(n))
        else:
            table.leave(one, 1, 0.0, float(n))
    table.expire(1000.0)
    assert (table.bytes, len(table)) == (0, 0)


@given(
    st.binary(max_size=40),
    st.text(max_size=20),
    st.sampled_from(list(Fate)),
    st.sampled_from(list(Idempotency)),
)
@settings(derandomize=True, max_examples=100)
def test_what_is_packed_comes_back(body: bytes, text: str, fate: Fate, effect: Idempotency) -> None:
    for request_id in (text, "01234567-89ab-cdef-0123-456789abcdef", "01234567-89AB-cdef-0123-456789abcdef"):
        headers = (("a", text), ("x-amzn-RequestId", request_id), ("Content-Type", "$LATEST"))
        packed = Packed(fate, 12.5, PRINT, request_id, effect, Answer(200, headers, body), 5, 1.25)
        assert unpack(pack(packed)) == packed
    assert unpack(pack(Packed(fate, 1.0, PRINT, text, effect))) == Packed(fate, 1.0, PRINT, text, effect)
    with pytest.raises(ValueError, match=r"."):
        unpack(pack(packed)[:-1])


def test_names_keep_tenants_functions_kinds_and_sources_apart() -> None:
    base = Name("a", "f", "$LATEST", "Event", "key:1")
    others = [
        Name("b", "f", "$LATEST", "Event", "key:1"),
        Name("a", "g", "$LATEST", "Event", "key:1"),
        Name("a", "f", "1", "Event", "key:1"),
        Name("a", "f", "$LATEST", "RequestResponse", "key:1"),
        Name("a", "f", "$LATEST", "Event", "sdk:1"),
        Name("af", "", "$LATEST", "Event", "key:1"),
    ]
    assert len({name.digest() for name in [base, *others]}) == len(others) + 1
    assert token_of(Headers([("idempotency-key", "k"), ("amz-sdk-invocation-id", "i")])) == "key:k"
    assert token_of(Headers([("amz-sdk-invocation-id", "i")])) == "sdk:i"
    assert token_of(Headers([("amz-sdk-invocation-id", "i" * 200)])) == token_of(Headers([])) == ""
    with pytest.raises(ValueError, match="Idempotency-Key: 200"):
        token_of(Headers([("idempotency-key", "k" * 200)]))
    assert fingerprint(b"a", "b") != fingerprint(b"ab", "") != fingerprint(b"a", "")
    assert (worker_key("t", "key:k", "id"), worker_key("t", "sdk:k", "id"), worker_key("t", "", "id")) == (
        "t:k",
        "t:sdk:k",
        "id",
    )


def test_safe_operations_are_shared_and_bounded() -> None:
    recent: Recent[str] = Recent(20 * ENTRY)
    key = ("t", "f", "$LATEST", "sdk:1")
    first, mine = recent.send(key, 5, "id-1", 0.0)
    assert mine
    joined, mine = recent.send(key, 5, "id-2", 0.1)
    assert (joined is first, mine, first.waiters) == (True, False, 1)
    other, mine = recent.send(key, 6, "id-3", 0.1)  # another payload joins nothing
    assert (other is first, mine, first.waiters) == (True, False, 1)
    recent.part(first)
    recent.end(first, None, 0, 0.0, 0.2)  # nothing worth keeping: the next one runs it
    assert first.done is not None and first.done.is_set()
    second, mine = recent.send(key, 5, "id-4", 0.3)
    assert mine
    recent.end(second, "answer", 10, 10.0, 0.4)
    assert recent.send(key, 5, "x", 9.9)[0].answer == "answer"
    assert recent.send(key, 5, "x", 10.0)[1]  # past the window
    for n in range(100):
        one, mine = recent.send(("t", "f", "1", str(n)), 1, "id", 11.0)
        assert mine
        recent.end(one, "a", 100, 50.0, 11.0)
        assert recent.bytes <= 20 * ENTRY
    assert recent.dropped_early > 70
    assert recent.find(("t", "f", "1", "99")) is not None
    assert recent.find(("t", "f", "1", "3")) is None


# ---- a model: one gateway with notes, workers that run, clients that send again


@dataclass
class Model:
    """What the service does with table and notes, a step at a time; ``broken`` leaves one defence out."""

    durable: bool = True
    broken: str = ""
    now: float = 0.0
    table: Table = field(default_factory=lambda: Table(1 << 30))
    disk: list[AnyEntry] = field(default_factory=lambda: [Start()])
    open: dict[bytes, Open] = field(default_factory=dict)
    noted: set[bytes] = field(default_factory=set)
    runs: dict[bytes, int] = field(default_factory=dict)
    since: dict[bytes, float] = field(default_factory=dict)  # the first run
    answers: dict[bytes, set[bytes]] = field(default_factory=dict)

    def send(self, digest: bytes) -> None:
        step = self.table.send(digest, PRINT, Idempotency.NON_IDEMPOTENT, WINDOW_S, digest.decode(), self.now)
        if isinstance(step, Begin):
            self.open[digest] = step.open
        elif isinstance(step, Join) and self.broken == "no join":
            self.run(digest)
        elif isinstance(step, Repeat):
            answer = step.packed.answer
            self.tell(digest, answer.body if answer is not None else b"unknown")

    def tell(self, digest: bytes, body: bytes) -> None:
        if digest in self.since and self.now < self.since[digest] + WINDOW_S:
            self.answers.setdefault(digest, set()).add(body)

    def run(self, digest: bytes) -> None:
        if self.durable and digest not in self.noted and self.broken != "note after the byte":
            one = self.open[digest]
            self.disk.append(
                Noted(digest, PRINT, Idempotency.NON_IDEMPOTENT, one.request_id, WINDOW_S, 1, self.now)
            )
            self.noted.add(digest)
        if digest not in self.since or self.now >= self.since[digest] + WINDOW_S:
            self.runs[digest], self.answers[digest] = 0, set()
            self.since[digest] = self.now
        self.runs[digest] += 1

    def answered(self, digest: bytes, body: bytes, lost: bool) -> None:
        one = self.open.pop(digest)
        fate = Fate.UNKNOWN if lost else Fate.ENDED
        if lost and self.broken == "a lost answer releases":
            self.table.release(one, self.now)
            self.disk.append(Released(digest))
            return
        packed = self.table.end(one, fate, Answer(200, (), b"unknown" if lost else body), self.now)
        if digest in self.noted:
            self.disk.append(Ended(digest, packed, self.now + WINDOW_S))
        self.tell(digest, b"unknown" if lost else body)

    def refused(self, digest: bytes) -> None:
        self.table.release(self.open.pop(digest), self.now)

    def kill(self) -> None:
        notes = Notes()
        for entry in self.disk:
            notes.apply(entry)
        copy = Notes()
        for entry in notes.snapshot():
            copy.apply(entry)
        self.table = Table(1 << 30)
        for digest, packed in sorted(copy.known(), key=lambda item: unpack(item[1]).until):
            if unpack(packed).until > self.now:
                self.table.restore(digest, packed)
        self.disk = list(copy.snapshot())
        self.open.clear()
        self.noted = set(copy.open)

    def expire(self) -> None:
        self.table.expire(self.now)
        self.disk.append(Expired(self.now))

    def check(self) -> None:
        for digest, count in self.runs.items():
            assert count <= 1, f"{digest!r} ran {count} times within its window"
        for digest, answers in self.answers.items():
            assert len(answers) <= 1, f"{digest!r} was answered {answers}"


NAMES = [b"a", b"b", b"c"]


class Operating(RuleBasedStateMachine):
    """Arbitrary orders of sends, runs, answers, losses, refusals, kills and expiry."""

    @initialize()
    def start(self) -> None:
        self.model = Model()
        self.ran: set[bytes] = set()

    def waiting(self, which: int, ran: bool) -> bytes | None:
        found = sorted(d for d in self.model.open if (d in self.ran) == ran)
        return found[which % len(found)] if found else None

    @rule(name=st.sampled_from(NAMES))
    def send(self, name: bytes) -> None:
        self.model.send(name)

    @rule(which=st.integers(0, 5))
    def run(self, which: int) -> None:
        name = self.waiting(which, ran=False)
        if name is not None:
            self.model.run(name)
            self.ran.add(name)

    @rule(which=st.integers(0, 5), body=st.binary(min_size=1, max_size=2), lost=st.booleans())
    def answer(self, which: int, body: bytes, lost: bool) -> None:
        name = self.waiting(which, ran=True)
        if name is not None:
            self.model.answered(name, body, lost)
            self.ran.discard(name)

    @rule(which=st.integers(0, 5))
    def refuse(self, which: int) -> None:
        name = self.waiting(which, ran=False)
        if name is not None:
            self.model.refused(name)

    @rule()
    def kill(self) -> None:
        self.model.kill()
        self.ran.clear()

    @rule(by=st.sampled_from([0.5, 20.0, 99.9, 100.0]))
    def pass_time(self, by: float) -> None:
        self.model.now += by
        self.model.expire()

    @invariant()
    def holds(self) -> None:
        if hasattr(self, "model"):
            self.model.check()


Operating.TestCase.settings = settings(
    derandomize=True, max_examples=150, stateful_step_count=40, deadline=None
)
TestOperating = Operating.TestCase


def explore(broken: str, depth: int) -> str:
    """All orders of a few steps on one name, up to a length; what first went wrong."""
    steps = ("send", "run", "answer", "lose", "kill")
    for length in range(1, depth + 1):
        for order in itertools.product(steps, repeat=length):
            model, ran = Model(broken=broken), False
            for step in order:
                if step == "send":
                    ran = ran if b"a" in model.open else False
                    model.send(b"a")
                elif step == "run" and b"a" in model.open and not ran:
                    model.run(b"a")
                    ran = True
                elif step in ("answer", "lose") and ran and b"a" in model.open:
                    model.answered(b"a", b"x", step == "lose")
                    ran = False
                elif step == "kill":
                    model.kill()
                    ran = False
                model.now += 0.1
                try:
                    model.check()
                except AssertionError as error:
                    return f"{' '.join(order)}: {error}"
    return ""


@pytest.mark.parametrize("broken", ["no join", "note after the byte", "a lost answer releases"])
def test_the_explorer_finds_each_defence_left_out(broken: str) -> None:
    assert "times within its window" in explore(broken, 6)


def test_the_explorer_finds_nothing_with_all_defences() -> None:
    assert explore("", 6) == ""


def test_a_million_names_under_the_stated_ceiling() -> None:
    """As many ended operations as a quarter hour at 1,100 a second, by reckoned bytes (benchmarks measure
    them)."""
    table = Table(512 * 1024 * 1024)
    headers = (
        ("Content-Type", "application/json"),
        ("x-amzn-RequestId", "0" * 36),
        ("X-Amz-Executed-Version", "$LATEST"),
    )
    packed = pack(
        Packed(Fate.ENDED, 1.0, PRINT, "0" * 36, Idempotency.NON_IDEMPOTENT, Answer(200, headers, b"{}"))
    )
    assert (ENTRY_BYTES + len(packed)) * 1_000_000 < 512 * 1024 * 1024
    for n in range(20_000):
        one = table.send(n.to_bytes(12, "big"), PRINT, Idempotency.NON_IDEMPOTENT, WINDOW_S, "0" * 36, 0.0)
        assert isinstance(one, Begin)
        table.end(one.open, Fate.ENDED, Answer(200, headers, b"{}"), 0.0)
    assert table.bytes <= 20_000 * (ENTRY_BYTES + len(packed) + 16)
    assert OPEN_BYTES > ENTRY_BYTES
