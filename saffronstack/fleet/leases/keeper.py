"""A keeper's decisions: promises, grants, and when its word counts. Free of I/O; time comes with each event.

A keeper promises each number of a lease to one candidate at most, only greater ones than before, and none
while another's grant runs. It grants to the one that it promised last. Two majorities share a keeper, so
two holders at once would have needed a grant beside another's, and a later holder's number is greater."""

from __future__ import annotations

import math
from collections.abc import Iterable
from dataclasses import dataclass, field

from msgspec.structs import replace

from saffronstack.fleet.leases.messages import (
    Ask,
    Bounds,
    Found,
    Freed,
    KeeperAction,
    Learn,
    Lives,
    Message,
    Promise,
    Record,
    Release,
    Save,
    Saved,
    Say,
    Take,
    Taken,
    Told,
    WakeAt,
    Written,
)

AGAIN_S = 0.5  # a question to another keeper is asked again after this
HEAR_S = 2.0  # others that have not answered by then are not waited for, where enough have


@dataclass(slots=True)
class _Held:
    record: Record
    until_s: float = 0.0  # by the own clock; the grant runs before
    write: int = 0  # of the save that has its record as it is
    line: dict[str, float] = field(default_factory=dict)  # who waits, in order, and when each asked last


class Keeper:
    """One of 3, 5 or 7. ``handle`` and ``tick`` are the only entries."""

    def __init__(self, name: str, bounds: Bounds, found: Found, saved: Saved, now: float, nonce: int) -> None:
        """``nonce`` tells this life from others."""
        if name not in bounds.keepers:
            raise ValueError(f"keeper {name!r} is none of {', '.join(bounds.keepers)}")
        self.name = name
        self.bounds = bounds
        self.found = found
        self.nonce = nonce
        self.write = saved.write
        self.witnessed = dict(saved.witnessed)
        self.life = saved.life
        self.lives = dict(saved.lives)
        # Grants of an earlier life run on, for as long as they may have been renewed just before it ended.
        self.waits_until_s = 0.0 if found is Found.NEW else now + bounds.waited_s(bounds.longest_s)
        self._leases = {record.lease: _Held(record, self.waits_until_s) for record in saved.records}
        self._heard: dict[str, Told] = {}
        self._asked_s = -AGAIN_S
        self.sure = found is Found.NEW  # whether it knows what it had promised
        self._named = False  # whether this start took a life of its own

    # ---- whether its word counts

    def _settle(self, now: float) -> list[KeeperAction]:
        """Look whether it knows by now what it had promised.

        Others are asked once grants of an earlier life are over: what was on its way then has come, or serves
        nobody. A sound disk is believed when no other knows of anything later that it saved: one that
        silently went back in time learns of it from whoever shared its last majority. All others are heard,
        or those that answer within a bound, as many as make a majority with it.
        A lost one is made good by what a majority of all, itself not among them, tell: each majority that it
        was in shares a member with those."""
        if self.sure or now < self.waits_until_s or self.found is Found.REPLACED:
            return []
        told = sum(word.life == self.life for word in self._sound_words())
        bounds = self.bounds
        if self.found is Found.LOST:
            self.sure = told >= bounds.majority
        elif told >= len(bounds.keepers) - 1:
            self.sure = True
        elif self.write:
            self.sure = now >= self.waits_until_s + HEAR_S and told >= bounds.majority - 1
        # One that never saved anything was established just now: with all others, or by mistake in place of
        # one that had promised, which some of them may know. It is believed when all have told.
        if not self.sure:
            return []
        if self.found is Found.LOST:
            self._adopt()
            self._wait_out_ghosts(now)
        return [self._save()]

    def _wait_out_ghosts(self, now: float) -> None:
        """The one that it may have replaced can have granted with one of the others until just now, when the
        last of a majority of them saved this life: such a grant runs on, and is not known here."""
        self.waits_until_s = now + self.bounds.waited_s(self.bounds.longest_s)

    def _begin_life(self) -> list[KeeperAction]:
        """One whose promises are lost may be a machine in place of another that is not dead: as soon as a
        majority of others has told, it takes the next life, and votes once a majority of others has saved
        that. One with an older life finds it among any that it has to hear, and votes no more."""
        sound = len(self._sound_words())
        if self._named or self.found is not Found.LOST or sound < self.bounds.majority:
            return []
        self._named = True
        self.life = 1 + max(self.life, *(word.life for word in self._heard.values()))
        self._asked_s = -math.inf  # others are asked again, under the new life
        return [self._save()]

    def _sound_words(self) -> list[Told]:
        """What was told by those that know what they promised and that nobody has replaced."""
        replaced = outdated((word.keeper, word.own, word.lives) for word in self._heard.values())
        return [word for word in self._heard.values() if word.sound and word.keeper not in replaced]

    def votes(self, now: float) -> bool:
        """Whether it promises and grants now."""
        return self.sure and now >= self.waits_until_s

    def _hear_of_itself(self, lives: Lives) -> None:
        """A candidate tells what it heard from others: another one may have come in this one's place."""
        # One that is not sure of itself asks the other keepers: its disk may be lost, or have gone back.
        if self.sure and dict(lives).get(self.name, 0) > self.life:
            self.found, self.sure = Found.REPLACED, False

    # ---- events

    def tick(self, now: float) -> list[KeeperAction]:
        """Time has passed."""
        settled = self._settle(now)
        if self.sure:
            return settled
        if now < self.waits_until_s:
            return [WakeAt(self.waits_until_s)]
        if now < self._asked_s + AGAIN_S:
            return []
        self._asked_s = now
        others = [keeper for keeper in self.bounds.keepers if keeper != self.name]
        # One that was learning itself, or was replaced since, is asked again: its word does not count.
        heard = {word.keeper for word in self._sound_words() if word.life == self.life}
        learn = Learn(self.name, self.nonce, self.life)
        asked = [Say(keeper, learn) for keeper in others if keeper not in heard]
        return [*asked, WakeAt(now + AGAIN_S)]

    def handle(self, now: float, sender: str, message: Message) -> list[KeeperAction]:
        """A message came; what nobody may send changes nothing."""
        if isinstance(message, Ask):
            return self._ask(now, message) if message.candidate == sender else []
        if isinstance(message, Take):
            return self._take(now, message) if message.candidate == sender else []
        if isinstance(message, Release):
            return self._release(now, message) if message.candidate == sender else []
        if isinstance(message, Learn):
            return self._teach(message) if message.keeper == sender else []
        if isinstance(message, Told):
            return self._learn(now, message) if message.keeper == sender else []
        return []

    def records(self) -> list[Record]:
        """What it holds of each lease."""
        return [held.record for held in self._leases.values()]

    def left_s(self, now: float, lease: str) -> float:
        """For how long a grant of it runs here; 0 without one."""
        held = self._leases.get(lease)
        return max(0.0, held.until_s - now) if held is not None and held.record.holder else 0.0

    # ---- candidates

    def _ask(self, now: float, ask: Ask) -> list[KeeperAction]:
        self._hear_of_itself(ask.lives)
        if not self.votes(now) or not self._known(ask.lease):
            return []
        held = self._leases.setdefault(ask.lease, _Held(Record(ask.lease)))
        record = held.record
        left_s = self.left_s(now, ask.lease)
        free = left_s <= 0 or record.holder == ask.candidate
        if not free:
            self._line_up(held, ask.candidate, now)
        again = (ask.number, ask.candidate) == (record.promised, record.candidate)
        promised = free and (ask.number > record.promised or again)
        actions: list[KeeperAction] = []
        if promised and not again:
            held.record = record = replace(record, promised=ask.number, candidate=ask.candidate)
            actions.append(self._save(held))
        told = Promise(
            ask.lease, self.name, ask.candidate, ask.number, promised, record.promised, left_s,
            record.holder if left_s > 0 else "", record.value, self.write, self.life, self._known_lives(),
        )  # fmt: skip
        return [*actions, Say(ask.candidate, told)]

    def _take(self, now: float, take: Take) -> list[KeeperAction]:
        bounds = self.bounds
        self._hear_of_itself(take.lives)
        if not self.votes(now) or not self._known(take.lease):
            return []
        if not 0 < take.length_s <= bounds.longest_s or len(take.value.content) > bounds.value_most:
            return []
        held = self._leases.setdefault(take.lease, _Held(Record(take.lease)))
        record = held.record
        left_s = self.left_s(now, take.lease)
        mine = (take.number, take.candidate) == (record.promised, record.candidate)
        free = left_s <= 0 or record.holder == take.candidate
        granted = mine and free and take.number > record.closed
        actions: list[KeeperAction] = []
        if granted:
            held.until_s = max(held.until_s, now + bounds.waited_s(take.length_s))
            held.line.pop(take.candidate, None)
            value = max(record.value, take.value, key=_age)
            length_s = max(take.length_s, record.length_s if record.token == take.number else 0.0)
            fresh = replace(record, token=take.number, holder=take.candidate, length_s=length_s, value=value)
            seen = {**self.witnessed}
            for keeper, write in take.witness:
                if keeper in bounds.keepers and keeper != self.name:
                    seen[keeper] = max(write, seen.get(keeper, 0))
            if fresh != record or seen != self.witnessed:  # a plain renewal needs no disk
                held.record, self.witnessed = fresh, seen
                actions.append(self._save(held))
        told = Taken(
            take.lease, self.name, take.candidate, take.number, take.round, granted, held.record.promised,
            0.0 if granted else left_s, self.life, self._known_lives(),
        )  # fmt: skip
        return [*actions, Say(take.candidate, told)]

    def _line_up(self, held: _Held, candidate: str, now: float) -> None:
        """Who waits asks again at least each longest lease's time; who does not has left the line."""
        line = held.line
        for who in [who for who, asked_s in line.items() if now - asked_s > self.bounds.longest_s]:
            del line[who]
        if candidate in line or len(line) < self.bounds.line_most:
            line[candidate] = now

    def _release(self, now: float, release: Release) -> list[KeeperAction]:
        held = self._leases.get(release.lease)
        if held is None or release.number <= held.record.closed:
            return []
        record = held.record
        if (record.promised, record.candidate) != (release.number, release.candidate):
            return []
        held.until_s = 0.0  # what was sent before and comes later finds the number closed
        held.record = replace(record, holder="", closed=release.number)
        line = [who for who, asked_s in held.line.items() if now - asked_s <= self.bounds.longest_s]
        if not line:
            return [self._save(held)]
        del held.line[line[0]]
        return [self._save(held), Say(line[0], Freed(release.lease, self.name, line[0]))]

    def _known_lives(self) -> Lives:
        return tuple(sorted(self.lives.items()))

    def _known(self, lease: str) -> bool:
        return lease in self._leases or len(self._leases) < self.bounds.leases_most

    # ---- other keepers

    def _teach(self, learn: Learn) -> list[KeeperAction]:
        """What it holds, as far as its disk is believed; the one that asks may know better of itself."""
        sound = self.sure or self.found in (Found.NEW, Found.SOUND)
        records = tuple(held.record for held in self._leases.values())
        seen = self.witnessed.get(learn.keeper, 0)
        actions: list[KeeperAction] = []
        if learn.keeper in self.bounds.keepers and learn.life > self.lives.get(learn.keeper, 0):
            self.lives[learn.keeper] = learn.life
            actions.append(self._save())
        life = self.lives.get(learn.keeper, 0)
        told = Told(self.name, learn.nonce, sound, seen, records, life, self.life, self._known_lives())
        return [*actions, Say(learn.keeper, told)]

    def _learn(self, now: float, told: Told) -> list[KeeperAction]:
        if told.nonce != self.nonce or told.keeper == self.name or told.keeper not in self.bounds.keepers:
            return []
        if self.sure or now < self.waits_until_s:
            return []
        self._heard[told.keeper] = told
        if told.seen > self.write and self.found is Found.SOUND:
            self.found = Found.LOST  # its disk went back in time
        if told.life > self.life and self.found is Found.SOUND:
            self.found = Found.REPLACED
            return []
        return [*self._begin_life(), *self._settle(now)]

    def _adopt(self) -> None:
        """Take over the greatest numbers and the newest values that any of them told.

        Where all that know of the greatest number promised it to one candidate, it is promised to that one
        here too, so that its holder goes on being renewed: another that had a majority for it with this
        keeper's lost promise would have shared a keeper with those that told."""
        told: dict[str, list[Record]] = {}
        for word in self._heard.values():
            # Who was replaced must be known to as many as before: else its successors count from 1 again.
            for keeper, life in ((word.keeper, word.own), *word.lives):
                if keeper in self.bounds.keepers and keeper != self.name and life > self.lives.get(keeper, 0):
                    self.lives[keeper] = life
            for record in word.records if word.sound else ():
                told.setdefault(record.lease, []).append(record)
            self.write = max(self.write, word.seen)
        for lease, records in told.items():
            held = self._leases.setdefault(lease, _Held(Record(lease)))
            if held.record.promised:
                records.append(held.record)
            promised = max(record.promised for record in records)
            candidates = {record.candidate for record in records if record.promised == promised}
            held.record = Record(
                lease, promised, candidates.pop() if len(candidates) == 1 else "",
                max(record.token for record in records), "", max(record.length_s for record in records),
                max(record.closed for record in records), max((record.value for record in records), key=_age),
            )  # fmt: skip
            held.until_s = 0.0

    def written(self, lease: str) -> int:
        """The save that what it says of a lease rests on."""
        held = self._leases.get(lease)
        return held.write if held is not None else 0

    def _save(self, changed: _Held | None = None) -> Save:
        self.write += 1
        for held in [changed] if changed is not None else self._leases.values():
            held.write = self.write
        records = tuple(held.record for held in self._leases.values())
        known = tuple(sorted(self.witnessed.items()))
        return Save(Saved(records, self.write, known, self.life, self._known_lives()))


def outdated(words: Iterable[tuple[str, int, Lives]]) -> set[str]:
    """Which of those that spoke were replaced, as any of them knows; a word is a keeper, its life, and what
    it knows of the others'. A majority's words tell it of each: one votes under a new life only once a
    majority of the others has saved that."""
    spoke = list(words)
    newest: dict[str, int] = {}
    for _, _, lives in spoke:
        for keeper, life in lives:
            newest[keeper] = max(life, newest.get(keeper, 0))
    return {keeper for keeper, life, _ in spoke if life < newest.get(keeper, 0)}


def _age(value: Written) -> tuple[int, int]:
    return value.token, value.count
