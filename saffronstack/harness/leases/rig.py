"""Faults from a seed among keepers and candidates that are processes, and what the judge says.

A schedule is drawn whole from its seed, can be written down and played again, or in part: that is how one
that fails is shrunk."""

from __future__ import annotations

import json
import os
import shutil
import signal
import time
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from itertools import pairwise
from typing import Any

from saffronstack.fleet.leases.client import holder_clock
from saffronstack.harness.leases.disk_faults import damage
from saffronstack.harness.leases.judge import Judgement
from saffronstack.harness.leases.processes import LeaseProcesses
from saffronstack.harness.leases.schedule import Fault
from saffronstack.harness.links import Mode
from saffronstack.harness.scenario.processes import ScenarioError
from saffronstack.runtime.threads import start_thread


@dataclass
class Report:
    """What a run came to."""

    judgement: Judgement
    faults: dict[str, int] = field(default_factory=dict)
    talk_s: float = 0.0  # in which a majority of keepers could talk
    talk_held_s: float = 0.0  # of that, with a holder
    seconds: float = 0.0


class LeaseRig(LeaseProcesses):
    """Plays schedules of faults on one run's processes."""

    def play(self, faults: Sequence[Fault], seconds: float, until_breach: bool = False) -> Report:
        """Play a schedule; the disk of one keeper at a time lies, the others being well (see the note)."""
        if not self.wait_votes():
            raise ScenarioError("the keepers do not vote")
        start_thread("talk", self._watch_talk)
        began_s, began_real = time.monotonic(), holder_clock()
        for fault in faults:
            self._pause(max(0.0, began_s + fault.at_s - time.monotonic()))
            if time.monotonic() - began_s >= seconds or (until_breach and self._judged(began_real).breaches):
                break
            self._counted[fault.kind] = self._counted.get(fault.kind, 0) + 1
            self._begin(fault)
        while time.monotonic() - began_s < seconds:
            if until_breach and self._judged(began_real).breaches:
                break
            self._pause(0.2)
        for thread in self._healing:
            thread.join(10.0)
        ended_real = holder_clock()
        self._ended = True
        if self._failed:
            raise ScenarioError(self._failed)
        report = Report(self._judged(began_real, ended_real), dict(sorted(self._counted.items())))
        report.seconds = ended_real - began_real
        beliefs = self.judge.held_between()
        for (at, talks), (after, _) in pairwise(self._talk):
            if talks:
                report.talk_s += after - at
                report.talk_held_s += sum(
                    max(0.0, min(after, until) - max(at, since)) for since, until in beliefs
                )
        return report

    def _judged(self, since: float, until: float | None = None) -> Judgement:
        return self.judge.judge(since, holder_clock() if until is None else until)

    @staticmethod
    def _pause(seconds: float) -> None:
        """The day's own pace: faults come at times of the schedule, nothing is synchronised by it."""
        if seconds > 0:
            time.sleep(seconds)

    def _watch_talk(self) -> None:
        while not self._ended:
            with self._lock:
                well = sum(not bad for bad in self._bad.values())
            self._talk.append((holder_clock(), well > len(self._names) // 2))
            time.sleep(0.05)

    def _mark(self, keepers: Sequence[str], by: int) -> None:
        with self._lock:
            for keeper in keepers:
                self._bad[keeper] += by

    def _begin(self, fault: Fault) -> None:
        if fault.kind == "lie":
            self._lie(self._names[fault.keepers[0]], fault.how)
        elif fault.kind in CANDIDATE_FAULTS:
            numbers = [number for number in fault.candidates if number < len(self._candidates)]
            CANDIDATE_FAULTS[fault.kind](self, fault, numbers)
        else:
            self._begin_at_keepers(fault)

    def _begin_at_keepers(self, fault: Fault) -> None:
        keepers = self._keepers_of(fault)
        if fault.kind == "replace paused":
            # Of two with lost disks under one name the later one counts, and the rig ends the one that woke.
            keepers = [keeper for keeper in keepers if self.status(keeper).get("votes")]
        if fault.kind in DOWN_FAULTS:
            # One that is down or stopped already is left to the fault that has it.
            with self._lock:
                keepers = [keeper for keeper in keepers if keeper not in self._down]
                self._down.update(keepers)
        self._mark(keepers, 1)
        KEEPER_FAULTS[fault.kind](self, fault, keepers)

    def _keepers_of(self, fault: Fault) -> list[str]:
        return [self._names[number] for number in fault.keepers if number < len(self._names)]

    def _kill_candidates(self, fault: Fault, numbers: list[int]) -> None:
        for number in numbers:
            self._end(self._candidates[number])
            self._wires.drop(self._candidates[number].name)
            self._candidates[number] = self._start_candidate()

    def _step_clocks(self, fault: Fault, numbers: list[int]) -> None:
        """As of a machine that was suspended for so long."""
        for number in numbers:
            path = self._steps(self._candidates[number].name)
            before = float(path.read_text()) if path.exists() else 0.0
            partial = path.with_suffix(".new")
            partial.write_text(str(before + fault.length_s))
            os.replace(partial, path)

    def _stop_candidates(self, fault: Fault, numbers: list[int]) -> None:
        some = [self._candidates[number] for number in numbers]
        for one in some:
            self._signal(one, signal.SIGSTOP)
        self._later(fault.length_s, lambda: [self._signal(one, signal.SIGCONT) for one in some])

    def _cut_candidates(self, fault: Fault, numbers: list[int]) -> None:
        names = {self._candidates[number].name for number in numbers}
        cut = self._wires.between(names, set(self._names)) + self._wires.between(set(self._names), names)
        self._wires.set(cut, Mode(fault.how))
        self._later(fault.length_s, lambda: self._mend(cut, fault.how == "lose"))

    def _others(self, keepers: Sequence[str]) -> set[str]:
        return (set(self._names) | {one.name for one in self._candidates}) - set(keepers)

    def _forth(self, keepers: Sequence[str]) -> list[Any]:
        return self._wires.between(self._others(keepers), set(keepers))

    def _back(self, keepers: Sequence[str]) -> list[Any]:
        return self._wires.between(set(keepers), self._others(keepers))

    def _kill_keepers(self, fault: Fault, keepers: list[str]) -> None:
        for keeper in keepers:
            self._snapshot(keeper)
            self._end(self._keepers[keeper])
        self._later(fault.length_s, lambda: self._return(keepers))

    def _replace_keepers(self, fault: Fault, keepers: list[str]) -> None:
        for keeper in keepers:
            self._end(self._keepers[keeper])
        self._later(fault.length_s, lambda: self._replace(keepers))

    def _pause_and_replace_keepers(self, fault: Fault, keepers: list[str]) -> None:
        for keeper in keepers:
            self._signal(self._keepers[keeper], signal.SIGSTOP)
        peers = sorted(self._others(self._keepers_of(fault)))
        unaware = set(self._random.sample(peers, len(peers) // 2))
        for keeper in keepers:
            self._later(
                fault.length_s, lambda keeper=keeper: self._replace_paused(keeper, unaware, fault.length_s)
            )

    def _stop_keepers(self, fault: Fault, keepers: list[str]) -> None:
        for keeper in keepers:
            self._signal(self._keepers[keeper], signal.SIGSTOP)
        self._later(fault.length_s, lambda: self._heal(keepers, lambda: self._resume(keepers)))

    def _fault_disk(self, fault: Fault, keepers: list[str]) -> None:
        order = {"full": True} if fault.kind == "disk full" else {"stall_s": 10.0}
        path = self._directory / f"disk-{keepers[0]}.json"
        path.write_text(json.dumps(order))
        self._later(fault.length_s, lambda: self._heal(keepers, lambda: path.write_text("{}")))

    def _cut_keepers(self, fault: Fault, keepers: list[str]) -> None:
        forth, back = self._forth(keepers), self._back(keepers)
        cut = forth + back if fault.kind == "cut" else self._random.choice((forth, back))
        self._wires.set(cut, Mode(fault.how))
        # What was lost leaves streams that make no sense: they end by a reset.
        self._later(fault.length_s, lambda: self._heal(keepers, lambda: self._mend(cut, fault.how == "lose")))

    def _delay_keepers(self, fault: Fault, keepers: list[str]) -> None:
        both = self._forth(keepers) + self._back(keepers)
        self._wires.set(both, late_s=fault.length_s / 5)
        self._later(fault.length_s, lambda: self._heal(keepers, lambda: self._wires.set(both)))

    def _reset_keepers(self, fault: Fault, keepers: list[str]) -> None:
        self._wires.reset(self._forth(keepers) + self._back(keepers))
        self._later(0.1, lambda: self._heal(keepers, lambda: None))

    def _refuse_keepers(self, fault: Fault, keepers: list[str]) -> None:
        both = self._forth(keepers) + self._back(keepers)
        self._wires.refuse(both, True)
        self._wires.reset(both)
        self._later(fault.length_s, lambda: self._heal(keepers, lambda: self._wires.refuse(both, False)))

    def _mend(self, cut: list[Any], reset: bool) -> None:
        self._wires.set(cut)
        if reset:
            self._wires.reset(cut)

    def _heal(self, keepers: Sequence[str], do: Any) -> None:
        do()
        self._mark(keepers, -1)

    def _later(self, after_s: float, do: Any) -> None:
        def run() -> None:
            time.sleep(after_s)
            try:
                do()
            except Exception as error:
                self._failed = self._failed or repr(error)

        self._healing.append(start_thread("heal", run))

    def _resume(self, keepers: Sequence[str]) -> None:
        for keeper in keepers:
            self._signal(self._keepers[keeper], signal.SIGCONT)
        with self._lock:
            self._down.difference_update(keepers)

    def _replace(self, keepers: Sequence[str]) -> None:
        """Another machine in its place: the same name, an empty directory, an address of its own, while other
        faults go on."""
        for keeper in keepers:
            held = self._new_machine(keeper)
            held.close()
            self._wires.move(keeper, self._addresses[keeper])
        self._return(keepers)

    def _replace_paused(self, keeper: str, unaware: set[str], awake_s: float) -> None:
        """Another machine in the place of one that only paused, and wakes: some still have its address."""
        ghost = self._keepers[keeper]
        self._ghosts.append(ghost)
        held = self._new_machine(keeper)
        aware = (set(self._names) | {one.name for one in self._candidates}) - unaware - {keeper}
        self._wires.move(keeper, self._addresses[keeper], but=unaware)
        self._wires.reset(self._wires.between(aware, {keeper}))
        self._start_keeper(keeper)
        self._signal(ghost, signal.SIGCONT)
        with self._lock:
            self._down.discard(keeper)
        self.wait_votes([keeper])
        self._mark([keeper], -1)
        self._pause(awake_s)
        self._end(ghost)
        held.close()
        self._wires.move(keeper, self._addresses[keeper])
        self._wires.reset(self._wires.between(unaware, {keeper}))

    def _return(self, keepers: Sequence[str]) -> None:
        for keeper in keepers:
            self._start_keeper(keeper)
        with self._lock:
            self._down.difference_update(keepers)
        # Until they vote again they are none of those that could talk.
        self.wait_votes(keepers)
        self._mark(keepers, -1)

    def _lie(self, keeper: str, how: str) -> None:
        """A disk lies when its keeper starts again, while all others are well and sure of themselves."""
        for thread in self._healing:
            thread.join(20.0)
        self._healing.clear()
        if not self.wait_votes():
            told = [self.status(name) for name in self._names]
            raise ScenarioError(f"with all faults over, not all keepers vote: {told}")
        self._mark([keeper], 1)
        self._end(self._keepers[keeper])
        state = self._state(keeper)
        damage(state, how, self._random, self._snapshots[keeper])
        if how in ("gone", "flip both copies", "swap copies"):
            self._snapshots[keeper].clear()  # a state from before that is a replaced keeper's
        self._counted[f"lie: {how}"] = self._counted.get(f"lie: {how}", 0) + 1
        self._start_keeper(keeper)
        if not self.wait_votes([keeper]):
            raise ScenarioError(f"{keeper} does not vote after its disk lied ({how}): {self.status(keeper)}")
        if self.status(keeper).get("disk") == "lost":
            self._snapshots[keeper].clear()  # it was found out, and has a life of its own since
        self._mark([keeper], -1)

    def _snapshot(self, keeper: str) -> None:
        """A state as it is now, which a disk may come back with later."""
        self._images += 1
        path = self._directory / f"snapshot-{keeper}-{self._images}"
        if len(self._snapshots[keeper]) < 20:
            self._signal(self._keepers[keeper], signal.SIGSTOP)  # between two writes, as a power cut may fall
            shutil.copytree(self._state(keeper), path)
            self._signal(self._keepers[keeper], signal.SIGCONT)
            self._snapshots[keeper].append(path)


DOWN_FAULTS = {"kill keeper", "stop keeper", "replace keeper", "replace paused"}
CANDIDATE_FAULTS: dict[str, Callable[[LeaseRig, Fault, list[int]], None]] = {
    "kill candidate": LeaseRig._kill_candidates,
    "clock steps": LeaseRig._step_clocks,
    "stop candidate": LeaseRig._stop_candidates,
    "cut candidates": LeaseRig._cut_candidates,
}
KEEPER_FAULTS: dict[str, Callable[[LeaseRig, Fault, list[str]], None]] = {
    "kill keeper": LeaseRig._kill_keepers,
    "replace keeper": LeaseRig._replace_keepers,
    "replace paused": LeaseRig._pause_and_replace_keepers,
    "stop keeper": LeaseRig._stop_keepers,
    "disk full": LeaseRig._fault_disk,
    "disk stalls": LeaseRig._fault_disk,
    "cut": LeaseRig._cut_keepers,
    "cut one way": LeaseRig._cut_keepers,
    "late": LeaseRig._delay_keepers,
    "reset": LeaseRig._reset_keepers,
    "refuse": LeaseRig._refuse_keepers,
}
