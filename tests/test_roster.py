"""Watched server files: what is read, refused, held, merged, and what reaches the gateway."""

from __future__ import annotations

import json
import os
import pathlib
import random
import socket
import threading
import time
from collections.abc import Iterator
from contextlib import contextmanager
from functools import partial
from typing import Any

import pytest
import xxhash
from click.testing import CliRunner
from hypothesis import given, settings
from hypothesis import strategies as st

from saffronstack import config as configs
from saffronstack.cli.main import main
from saffronstack.config.schema import Worker
from saffronstack.engine.worker_registry import WorkerRegistry, WorkerSpec
from saffronstack.gateway import Gateway
from saffronstack.roster.guards import Flaps, GuardSettings, judge
from saffronstack.roster.keeping import Kept
from saffronstack.roster.membership import Change, Sizes, Source, change, merge
from saffronstack.roster.parsing import RosterError, Version, version
from saffronstack.roster.places import lines
from saffronstack.roster.reading import MANIFEST, NotReadyError, read
from saffronstack.roster.service import RosterService
from saffronstack.routing.events import EndpointUpdateKind, WorkerState
from saffronstack.standin.fleet import StandInFleet
from saffronstack.standin.model import Profile
from tests.support.stack import Stack, configuration, eventually

KINDS = ("standin",)


def worker(name: str, port: int = 0, **more: Any) -> Worker:
    return Worker(id=name, address=f"127.0.0.1:{port or 1000 + int(name[1:])}", kind="standin", **more)


def entry(name: str, port: int = 0, **more: Any) -> dict[str, Any]:
    return {"id": name, "address": f"127.0.0.1:{port or 1000 + int(name[1:])}", "kind": "standin", **more}


def listing(*entries: dict[str, Any], generation: int = 0) -> str:
    return json.dumps({"generation": generation, "workers": list(entries)}, indent=1)


def checked(text: str, name: str = "roster.json5") -> Version:
    return version([(name, text)], xxhash.xxh3_128_hexdigest(text.encode()), KINDS)


def test_lines_of_places() -> None:
    text = '{ // a comment: {"x"}\n  workers: [\n    { id: "a", /* ] */ size: 1 },\n    {\n      "id": "b",\n'
    text += "      size: 99 } ] }"
    found = lines(text)
    assert found["workers"] == 2
    assert found["workers[0].size"] == 3
    assert (found["workers[1]"], found["workers[1].id"], found["workers[1].size"]) == (4, 5, 6)


@pytest.mark.parametrize(
    ("text", "words"),
    [
        ('{"workers": [', "roster.json5:1: not JSON5"),
        ('{"workers": []}\n}', "not JSON5"),
        ("[]", "roster.json5:1: top level: Expected `object`"),
        ('{"workrs": []}', "roster.json5:1: workrs: unknown key; did you mean 'workers'"),
        (
            '{"workers": [\n{"id": "w1", "address": "h:1", "kind": "standin"},\n{"id": "w2"}]}',
            "roster.json5:3: workers[1]: Object missing required field `address`",
        ),
        (listing(entry("w1"), entry("w1", 7)), "worker 'w1' stands at roster.json5:"),
        (listing(entry("w1", 7), entry("w2", 7)), "address 127.0.0.1:7 stands at roster.json5:"),
        (listing(entry("w1", size=1000)), "workers[0] (w1).size: 1000 is not between 0.01 and 100"),
        (listing({**entry("w1"), "address": "127.0.0.1:99999"}), "address: no port 99999"),
        (listing({**entry("w1"), "address": "999.0.0.1:80"}), "address: 999.0.0.1 is no IP address"),
        (listing({**entry("w1"), "address": "0.0.0.0:80"}), "address: no worker can be at 0.0.0.0"),
        (listing({**entry("w1"), "kind": "new"}), "kind: no kind is named 'new'; a new one needs a restart"),
        ('{"generation": -1, "workers": []}', "roster.json5:1: generation: Expected `int` >= 0"),
        ("{workers: " + "[" * 5000 + "]" * 5000 + "}", "roster.json5"),
    ],
)
def test_what_cannot_be_used_is_refused_with_its_line(text: str, words: str) -> None:
    with pytest.raises(RosterError) as caught:
        checked(text)
    assert words in str(caught.value)


def test_a_list_cut_at_any_byte_is_never_taken_for_a_list() -> None:
    text = listing(entry("w1"), entry("w2", size=2.5, zone="z"), generation=3)
    for cut in range(len(text)):
        with pytest.raises(RosterError):
            checked(text[:cut])
    assert len(checked(text).workers) == 2


# ---- reading


def directory_of(path: pathlib.Path, generation: int, **files: str) -> None:
    path.mkdir(exist_ok=True)
    sums = {}
    for name, text in files.items():
        (path / f"{name}.json5").write_text(text)
        sums[f"{name}.json5"] = xxhash.xxh3_128_hexdigest(text.encode())
    (path / MANIFEST).write_text(json.dumps({"generation": generation, "files": sums}))


def test_a_directory_is_one_version_or_none(tmp_path: pathlib.Path) -> None:
    place = tmp_path / "roster"
    directory_of(place, 4, a=listing(entry("w1")), b=listing(entry("w2"), generation=4))
    text = read(place)
    found = version(text.parts, text.digest, KINDS, text.generation)
    assert (found.generation, [w.id for w in found.workers]) == (4, ["w1", "w2"])
    (place / "a.json5").write_text(listing(entry("w3")))
    with pytest.raises(NotReadyError, match=r"a\.json5: not the file of the manifest's generation 4"):
        read(place)
    (place / "a.json5").unlink()
    with pytest.raises(NotReadyError, match="not there"):
        read(place)
    directory_of(place, 5, a=listing(entry("w1"), generation=3))
    text = read(place)
    with pytest.raises(RosterError, match=r"a\.json5:2: generation 3, the manifest's is 5"):
        version(text.parts, text.digest, KINDS, text.generation)
    (place / MANIFEST).write_text('{"generation": 5, "files": {"../x": "' + "0" * 32 + '"}}')
    with pytest.raises(RosterError, match="no plain file name"):
        read(place)


def test_what_is_no_file_or_too_large_or_no_text(tmp_path: pathlib.Path) -> None:
    path = tmp_path / "roster.json5"
    with pytest.raises(NotReadyError, match="not there"):
        read(path)
    os.mkfifo(path)
    with pytest.raises(RosterError, match="no regular file"):
        read(path)
    path.unlink()
    path.write_bytes(b'{"workers": []} //' + b"x" * 200)
    with pytest.raises(RosterError, match="218 bytes, 100 at most"):
        read(path, 100)
    path.write_bytes(b'{"workers": [] /* \xff */}')
    with pytest.raises(RosterError, match=r"roster\.json5: byte 18: not UTF-8"):
        read(path)
    path.unlink()
    path.mkdir()
    with pytest.raises(NotReadyError, match="not there"):  # a directory without its manifest
        read(path)


# ---- guards


def listed(*names: str, generation: int = 1) -> Version:
    return Version(generation, f"d{generation}{names}", tuple(worker(name) for name in names))


@pytest.mark.parametrize(
    ("found", "words"),
    [
        (listed(generation=2), "it lists no workers"),
        (listed("w1", "w2", "w3", generation=0), "3 of 6 ready workers are gone from it"),
        (listed("w1", "w2", "w3", "w4", "w5", "w6", generation=4), "generation 4 is older than 5"),
        (listed("w1", "w2", "w3", "w4", "w5", "w7", generation=5), "two writers?"),
    ],
)
def test_what_is_held(found: Version, words: str) -> None:
    guards = GuardSettings(removed_share=0.4)
    current = listed("w1", "w2", "w3", "w4", "w5", "w6", generation=5)
    held = judge(guards, current, found, accepted=False)
    assert held is not None and words in held.reason
    assert judge(guards, current, found, accepted=True) is None
    assert judge(guards, None, listed("w1", generation=1), accepted=False) is None
    assert judge(guards, current, listed("w1", "w2", "w3", "w4", generation=6), accepted=False) is None


def test_a_worker_that_flaps_is_held_until_it_is_quiet() -> None:
    flaps = Flaps(GuardSettings(flaps=3, flap_span_s=10.0, flap_quiet_s=20.0))
    for at in (0.0, 6.0, 12.0):
        flaps.changed("w1", at)
    assert flaps.held(12.0) == set()  # three, but not within ten seconds
    flaps.changed("w1", 14.0)
    assert flaps.held(14.0) == {"w1"}
    flaps.changed("w1", 30.0)
    assert flaps.held(49.9) == {"w1"}
    assert flaps.held(50.0) == set()


# ---- one list out of all sources


def test_priority_hiding_drains_and_conflicts() -> None:
    static = Source("configuration", 0, (worker("w1"), worker("w8"), worker("w9", 5)))
    file = Source("file", 20, (worker("w1", 99), worker("w2"), worker("w3", 5)), complete=True)
    operator = Source("operator", 30, drains=frozenset({"w2", "w77"}))
    merged = merge([static, file, operator])
    assert list(merged.workers) == ["w1", "w2", "w3"]
    assert merged.workers["w1"].address == "127.0.0.1:99"
    assert merged.workers["w2"].state == "draining"
    assert merged.conflicts == ()
    beside = merge([static, Source("etcd", 20, file.workers)])
    assert list(beside.workers) == ["w1", "w2", "w3", "w8"]
    assert len(beside.conflicts) == 2  # w1's address, and who is at port 5
    drained = merge([Source("configuration", 0, (worker("w1", state="draining"),)), file])
    assert drained.workers["w1"].state == "draining"  # also from a source that is hidden
    nothing = merge([static, Source("file", 20, complete=True, known=False)], held=["w8"])
    assert nothing.workers["w8"].state == "draining"
    assert len(nothing.workers) == 3


names = st.lists(st.integers(1, 12).map(lambda n: f"w{n}"), unique=True, max_size=12)


@given(names, names, st.sets(st.integers(1, 12).map(lambda n: f"w{n}")))
@settings(derandomize=True, max_examples=200)
def test_changes_add_up_to_the_list(before: list[str], after: list[str], drains: set[str]) -> None:
    old = {name: worker(name) for name in before}
    new = merge([Source("s", 1, tuple(worker(name) for name in after), frozenset(drains))]).workers
    found = change(old, new)
    state = dict(old)
    for name in found.gone:
        del state[name]
    for one in found.entries:
        state[one.id] = one
    assert state == new
    states = [one.state for one in found.entries]
    assert states == sorted(states, key=lambda s: s != "draining")  # drains first
    assert not change(new, new)
    assert all(new[name].state == "draining" for name in drains & set(new))


def test_sizes_move_in_steps() -> None:
    sizes = Sizes()
    assert sizes.step({"w1": worker("w1", size=1.0)}, 0.0)["w1"].size == 1.0
    seen = []
    now = 1.0
    while True:
        seen.append(sizes.step({"w1": worker("w1", size=4.0)}, now)["w1"].size)
        if not sizes.moving:
            break
        now += 0.5
    assert seen == [1.5, 1.5, 2.25, 2.25, 3.375, 3.375, 4.0]
    assert sizes.step({"w1": worker("w1", size=1.0)}, now + 1.0)["w1"].size == pytest.approx(4.0 / 1.5)
    assert (
        sizes.step({"w2": worker("w2", size=4.0)}, now + 2.0)["w2"].size == 4.0
    )  # new ones start with theirs


def test_the_core_takes_changes_as_it_takes_lists() -> None:
    roster, whole = WorkerRegistry(), WorkerRegistry()
    specs = [WorkerSpec(n, f"w{n}", "h", n) for n in range(6)]
    roster.apply_snapshot(0.0, 100.0, specs[:4])
    update = roster.apply_changes(
        1.0, 101.0, [specs[4], WorkerSpec(1, "w1", "h", 1, is_draining=True)], [0, 77]
    )
    assert update.kind is EndpointUpdateKind.INCREMENTAL
    assert [(e.worker_id, e.state) for e in update.endpoints] == [
        (0, WorkerState.REMOVED),
        (4, WorkerState.READY),
        (1, WorkerState.DRAINING),
    ]
    whole.apply_snapshot(
        1.0, 101.0, [WorkerSpec(1, "w1", "h", 1, is_draining=True), specs[2], specs[3], specs[4]]
    )
    assert roster.endpoints == whole.endpoints
    assert roster.specs == whole.specs


# ---- in service, with the clock in the test's hand


class Desk:
    """A service that is looked at step by step."""

    def __init__(self, tmp_path: pathlib.Path, **guards: Any) -> None:
        self.path = tmp_path / "roster.json5"
        self.state = tmp_path / "state"
        self.now = 1000.0
        self.guards = GuardSettings(**guards)
        self.workers: dict[str, Worker] = {}
        self.changes: list[Change] = []
        self.service = self.made()

    def made(self) -> RosterService:
        def apply(changed: Change, workers: dict[str, Worker]) -> None:
            self.changes.append(changed)
            self.workers = dict(workers)

        static = (worker("w50"),)
        kept = Kept(self.state)
        return RosterService(
            self.path, kept, KINDS, static, self.guards, apply, lambda: self.now, lambda: self.now, 60.0
        )

    def begin(self) -> dict[str, Worker]:
        self.service.look(self.now, hand_on=False)
        if self.service.state.applied is None and (last := Kept(self.state).last()) is not None:
            self.service.state.applied, self.service.state.from_copy = last, True
        self.service._merge(self.now, hand_on=False)
        self.workers = dict(self.service._told)
        return self.workers

    def look(self, after_s: float = 0.1) -> dict[str, Worker]:
        self.now += after_s
        self.service.look(self.now)
        return self.workers

    def put(self, text: str) -> None:
        other = self.path.with_suffix(".new")
        other.write_text(text)
        os.replace(other, self.path)


def test_the_last_good_list_stays_and_outlives_a_restart(tmp_path: pathlib.Path) -> None:
    desk = Desk(tmp_path)
    assert set(desk.begin()) == {"w50"}  # the configuration's, until the file tells
    desk.put(listing(entry("w1"), entry("w2")))
    assert set(desk.look()) == {"w1", "w2"}
    desk.put('{"workers": [')
    desk.look()
    assert desk.service.state.refused == ""  # it may be half-written
    desk.look(0.3)
    assert "roster.json5:1: not JSON5" in desk.service.status()["refused"]
    desk.look(5.0)
    assert desk.service.state.counts["refused"] == 1
    desk.path.unlink()
    desk.look()
    desk.look(6.0)
    assert "not there; so for 5 s" in desk.service.state.refused
    assert set(desk.workers) == {"w1", "w2"}
    desk.service = desk.made()  # killed between reading and applying, or at any other moment
    assert set(desk.begin()) == {"w1", "w2"}
    assert desk.service.status()["from_copy"]
    desk.put(listing(entry("w1"), entry("w2"), entry("w3")))
    assert set(desk.look()) == {"w1", "w2", "w3"}
    assert not desk.service.status()["from_copy"]
    newest = max((tmp_path / "state" / "versions").iterdir())
    newest.write_bytes(newest.read_bytes()[:-4])
    desk.path.unlink()
    desk.service = desk.made()
    assert set(desk.begin()) == {"w1", "w2"}  # the copy before the damaged one


def test_a_held_version_waits_for_its_operator_and_its_drains_count(tmp_path: pathlib.Path) -> None:
    desk = Desk(tmp_path)
    desk.put(listing(*(entry(f"w{n}") for n in range(1, 9)), generation=1))
    desk.begin()
    desk.put(listing(entry("w1"), entry("w2", state="draining"), generation=2))
    desk.look()
    status = desk.service.status()
    assert "6 of 8 ready workers are gone" in status["held"]
    assert len(desk.workers) == 8
    assert desk.workers["w2"].state == "draining"
    Kept(desk.state).tell("accept", "0" * 32)
    assert len(desk.look()) == 8
    Kept(desk.state).tell("accept", status["held_digest"])
    assert set(desk.look()) == {"w1", "w2"}
    assert desk.service.status()["held"] == ""
    assert Kept(desk.state).accepted() == ""
    desk.put(listing(*(entry(f"w{n}") for n in range(1, 9)), generation=1))
    desk.look()
    assert "generation 1 is older than 2" in desk.service.status()["held"]


def test_operators_drain_and_go_back(tmp_path: pathlib.Path) -> None:
    desk = Desk(tmp_path)
    desk.put(listing(entry("w1"), entry("w2"), generation=1))
    desk.begin()
    kept = Kept(desk.state)
    kept.tell("drains", "w2")
    assert str(desk.look()["w2"].state) == "draining"
    kept.tell("drains", "")
    assert str(desk.look()["w2"].state) == "ready"
    desk.put(listing(entry("w1"), entry("w2"), entry("w3"), generation=2))
    assert len(desk.look()) == 3
    history = kept.history()
    assert [found.generation for _, _, found in history] == [1, 2]
    kept.tell("pinned", history[0][2].digest)
    assert set(desk.look()) == {"w1", "w2"}
    desk.put(listing(entry("w9"), generation=3))
    assert set(desk.look()) == {"w1", "w2"}
    kept.tell("pinned", "nonsense")
    desk.look()
    desk.look(1.0)
    assert "no kept version" in desk.service.status()["refused"]
    kept.tell("pinned", "")
    desk.put(listing(entry("w1"), entry("w4"), generation=4))
    assert set(desk.look()) == {"w1", "w4"}


def test_drain_and_restart_of_a_worker_in_one_version(tmp_path: pathlib.Path) -> None:
    desk = Desk(tmp_path)
    desk.put(listing(entry("w1"), entry("w2")))
    desk.begin()
    desk.put(listing(entry("w1", started_at=900.0), entry("w2")))
    desk.look()
    assert [one.id for one in desk.changes[-1].entries] == ["w1"]
    assert desk.workers["w1"].started_at == 900.0
    for n in range(6):  # it flaps: from the fourth change within a minute it is held
        desk.put(listing(*([entry("w1")] if n % 2 else []), entry("w2")))
        desk.look(1.0)
    assert str(desk.workers["w1"].state) == "draining"
    desk.look(31.0)
    assert str(desk.workers["w1"].state) == "ready"


def test_a_version_is_swapped_by_a_link_and_truncated_in_place(tmp_path: pathlib.Path) -> None:
    """As mounted configuration does it: ``roster -> ..data -> ..one``."""
    desk = Desk(tmp_path)
    desk.path = tmp_path / "roster"
    directory_of(tmp_path / "..one", 1, a=listing(entry("w1")))
    directory_of(tmp_path / "..two", 2, a=listing(entry("w1"), entry("w2")))
    os.symlink("..one", tmp_path / "..data")
    os.symlink("..data", desk.path)
    desk.service = desk.made()
    assert set(desk.begin()) == {"w1"}
    os.symlink("..two", tmp_path / "..data_tmp")
    os.replace(tmp_path / "..data_tmp", tmp_path / "..data")
    assert set(desk.look()) == {"w1", "w2"}
    (tmp_path / "..two" / "a.json5").write_text("")
    desk.look()
    desk.look(6.0)
    assert "not the file of the manifest's generation" in desk.service.state.refused
    assert set(desk.workers) == {"w1", "w2"}


# ---- the whole path


@contextmanager
def listed_gateway(tmp_path: pathlib.Path, fleet: StandInFleet, text: str, **more: Any) -> Iterator[Stack]:
    path = tmp_path / "roster.json5"
    path.write_text(text)
    roster = {"path": str(path), "state_directory": str(tmp_path / "state"), "poll_s": 0.2, **more}
    content = configuration(fleet, workers=[], roster=roster)
    gateway = Gateway(configs.parse(json.dumps(content)))
    host, port = gateway.start()
    try:
        yield Stack(gateway, fleet, content, f"{host}:{port}")
    finally:
        gateway.stop()


class Phantom:
    """An address at which no worker ever was; whoever connects is counted."""

    def __init__(self) -> None:
        self._listener = socket.create_server(("127.0.0.1", 0), backlog=64)
        self._listener.settimeout(0.2)
        self.address = f"127.0.0.1:{self._listener.getsockname()[1]}"
        self.met = 0
        self._ended = threading.Event()
        threading.Thread(target=self._run, daemon=True).start()

    def _run(self) -> None:
        while not self._ended.is_set():
            try:
                sock, _ = self._listener.accept()
            except TimeoutError:
                continue
            except OSError:
                return
            self.met += 1
            sock.close()

    def close(self) -> None:
        self._ended.set()
        self._listener.close()


def test_five_thousand_rewrites_with_faults_never_route_to_a_phantom(tmp_path: pathlib.Path) -> None:
    chance = random.Random(12)
    fleet = StandInFleet(6, lambda n: Profile(work_s=0.001, load_s=0.005))
    entries = {one["id"]: one for one in fleet.entries()}
    phantoms = [Phantom() for _ in range(2)]
    ghosts = [{**entry(f"g{n}"), "id": f"ghost-{n}", "address": p.address} for n, p in enumerate(phantoms)]
    good: list[dict[str, Any]] = list(entries.values())
    generation = 1
    stopping = threading.Event()
    statuses: list[int] = []
    drained: dict[str, float] = {}
    late: list[str] = []

    def watch_drains() -> None:
        """A call that arrives at a worker long after it was told as draining is a lost drain."""
        seen = dict.fromkeys(entries, 0)
        while not stopping.is_set():
            for one in fleet.workers:
                for line in one.log[seen[one.name] :]:
                    seen[one.name] += 1
                    told = drained.get(one.name)
                    if line["what"] == "arrive" and told is not None and float(str(line["t"])) > told + 2.0:
                        late.append(one.name)
            time.sleep(0.01)

    with listed_gateway(tmp_path, fleet, listing(*good, generation=1), flaps=1000) as stack:
        path = tmp_path / "roster.json5"

        def calls() -> None:
            client = stack.client()
            while not stopping.is_set():
                statuses.append(client.invoke("identify-copy", b"{}").status)
            client.close()

        threads = [threading.Thread(target=calls) for _ in range(3)] + [threading.Thread(target=watch_drains)]
        for thread in threads:
            thread.start()
        roster = stack.gateway.roster
        assert roster is not None
        for n in range(5000):
            kind = chance.choice(["good", "good", "cut", "empty", "shape", "ghosts", "twice", "old", "bytes"])
            other = tmp_path / "new"
            if kind == "good":
                generation += 1
                good = [
                    {**one, "state": "draining" if chance.random() < 0.15 else "ready"}
                    for one in entries.values()
                ]
                for one in good:  # told at once when written; ready again ends it
                    if one["state"] == "draining":
                        drained.setdefault(one["id"], time.monotonic())
                    else:
                        drained.pop(one["id"], None)
                other.write_text(listing(*good, generation=generation))
                os.replace(other, path)
            elif kind == "cut":
                text = listing(*good, *ghosts, generation=generation + 1)
                path.write_text(text[: chance.randrange(1, len(text) - 2)])
            elif kind == "empty":
                path.write_text(listing(generation=generation + 1))
            elif kind == "shape":
                path.write_text(json.dumps({"workers": {"ghost": ghosts[0]}}))
            elif kind == "ghosts":  # valid, but for a kind that nobody knows
                path.write_text(listing(*good, {**ghosts[0], "kind": "phantom"}, generation=generation + 1))
            elif kind == "twice":
                path.write_text(
                    listing(*good, ghosts[0], {**ghosts[1], "id": "ghost-0"}, generation=generation + 1)
                )
            elif kind == "old":
                path.write_text(listing(*good, *ghosts, generation=1))
            else:
                path.write_bytes(b'{"workers": [\xff')
            if n % 7 == 0:
                time.sleep(0.004)
        generation += 1
        other = tmp_path / "new"
        other.write_text(listing(*entries.values(), generation=generation))
        os.replace(other, path)
        eventually(lambda: roster.status()["generation"] == generation)
        assert roster.status()["refused"] == ""
        drained.clear()
        assert stack.call("identify-copy").status == 200
        stopping.set()
        for thread in threads:
            thread.join(10)
        counts = roster.state.counts
    assert [phantom.met for phantom in phantoms] == [0, 0]
    assert late == []
    assert len(statuses) > 500
    assert statuses.count(200) / len(statuses) > 0.9
    assert counts["looks"] > 200
    assert counts["applied"] > 20
    for phantom in phantoms:
        phantom.close()
    fleet.stop()


def test_every_refusal_has_its_reason_while_calls_go_on(tmp_path: pathlib.Path) -> None:
    fleet = StandInFleet(2)
    entries = fleet.entries()
    with listed_gateway(tmp_path, fleet, listing(*entries, generation=3), poll_s=0.05) as stack:
        path = tmp_path / "roster.json5"

        def says(what: str, words: str) -> bool:
            return words in json.loads(stack.get("/status").body)["roster"][what]

        for what, text, words in (
            ("refused", '{"workers": [{]}', "not JSON5"),
            ("refused", listing(entries[0], entries[0]), "stands at roster.json5:"),
            ("refused", '{"workers": 5}', "Expected `array`"),
            (
                "refused",
                listing(*entries, {**entries[0], "id": "x", "kind": "odd"}),
                "no kind is named 'odd'",
            ),
            ("held", listing(), "no workers"),
            ("held", listing(*entries, generation=2), "older than 3"),
        ):
            path.write_text(text)
            eventually(partial(says, what, words))
            assert stack.call("identify-copy").status == 200
        assert "saffronstack_roster_held 1.0" in stack.get("/metrics").body.decode()
        path.unlink()
        path.mkdir()
        time.sleep(0.2)
        assert stack.call("identify-copy").status == 200
        path.rmdir()
        path.write_text(listing(entries[1], generation=4))
        eventually(lambda: json.loads(stack.get("/status").body)["roster"]["workers"] == 1)
        before = len(fleet.workers[0].runs())
        for _ in range(5):
            assert stack.call("identify-copy").status == 200
        assert len(fleet.workers[0].runs()) == before
    fleet.stop()


def test_all_workers_replaced_at_once_under_load(tmp_path: pathlib.Path) -> None:
    """Allowed by the operator; running calls end, new ones go to the new workers, none is lost."""
    fleet = StandInFleet(6, lambda n: Profile(work_s=0.05, load_s=0.02))
    old, new = fleet.entries()[:3], fleet.entries()[3:]
    stopping = threading.Event()
    statuses: list[int] = []
    with listed_gateway(
        tmp_path, fleet, listing(*old, generation=1), removed_share=1.0, poll_s=0.05
    ) as stack:

        def calls() -> None:
            client = stack.client()
            while not stopping.is_set():
                statuses.append(client.invoke("identify-copy", b"{}").status)
            client.close()

        threads = [threading.Thread(target=calls) for _ in range(4)]
        for thread in threads:
            thread.start()
        eventually(lambda: len(statuses) > 20)
        (tmp_path / "roster.json5").write_text(listing(*new, generation=2))
        eventually(lambda: sum(len(one.runs()) for one in fleet.workers[3:]) > 20)
        at = [len(one.runs()) for one in fleet.workers[:3]]
        eventually(lambda: len(statuses) > 100)
        stopping.set()
        for thread in threads:
            thread.join(10)
        assert [len(one.runs()) for one in fleet.workers[:3]] == at
    assert set(statuses) <= {200, 429}
    assert statuses.count(429) <= len(statuses) // 20
    fleet.stop()


def test_the_roster_on_the_command_line(tmp_path: pathlib.Path) -> None:
    def run(*arguments: str) -> tuple[int, str]:
        done = CliRunner().invoke(main, ["roster", *arguments])
        return done.exit_code, done.output

    fleet = StandInFleet(1)
    entries = [{**fleet.entries()[0], "id": f"w{n}", "address": f"127.0.0.1:{2000 + n}"} for n in range(6)]
    path, other, config = tmp_path / "roster.json5", tmp_path / "other.json5", tmp_path / "gateway.json5"
    state = tmp_path / "state"
    content = configuration(fleet, workers=[], roster={"path": str(path), "state_directory": str(state)})
    config.write_text(json.dumps(content))
    fleet.stop()
    path.write_text(listing(*entries, generation=2))
    code, said = run("check", str(path))
    assert (code, "6 workers" in said) == (0, True)
    assert run("show", "--config", str(config)) == (1, "no list was applied yet\n")
    Kept(state).keep(checked(path.read_text()), 0.0)
    other.write_text(listing({**entries[0], "size": 2}, {**entries[1], "state": "draining"}, generation=3))
    code, said = run("diff", str(path), str(other))
    assert code == 1
    assert "~ w0: size 1.0 -> 2.0" in said and "~ w1: state ready -> draining" in said and "- w5 at" in said
    assert run("diff", str(path), str(path)) == (0, "")
    code, said = run("check", str(other), "--config", str(config))
    assert (code, "would be held: 4 of 6 ready workers" in said) == (1, True)
    other.write_text('{"workers": [\n{"id": 5}]}')
    code, said = run("check", str(other))
    assert (code, "other.json5:2: workers[0]" in said) == (1, True)
    code, said = run("drain", "w3", "w99", "--config", str(config))
    assert code == 0 and "w99: in no list" in said
    assert "draining (operator)" in run("show", "--config", str(config))[1]
    assert "drained by operators: w99" in run("drain", "w3", "--undo", "--config", str(config))[1]
    assert run("accept", "abc", "--config", str(config))[0] == 0
    assert Kept(state).accepted() == "abc"
    code, said = run("history", "--config", str(config))
    assert "generation 2" in said
    assert run("history", "--back", "7", "--config", str(config))[0] == 1
    assert run("history", "--back", "1", "--config", str(config))[0] == 0
    assert Kept(state).pinned() == checked(path.read_text()).digest
    assert run("history", "--follow", "--config", str(config))[0] == 0
    assert Kept(state).pinned() == ""
    content.pop("roster")
    config.write_text(json.dumps(content))
    assert "names no roster" in run("show", "--config", str(config))[1]


def test_ten_thousand_workers_are_checked_in_a_moment() -> None:
    entries = [
        {**entry("w1"), "id": f"w-{n}", "address": f"127.{n // 40000}.{n // 200 % 200}.{n % 200 + 1}:80"}
        for n in range(10_000)
    ]
    start = time.perf_counter()
    assert len(checked(listing(*entries)).workers) == 10_000
    assert time.perf_counter() - start < 10.0  # it took 44 s for a thousand
