"""Simulation of leases in virtual time under random faults, with a check after each event.

The seed determines the whole run. The check uses no state of acceptors: it uses which candidates consider
themselves the holder in virtual time, and which acts the resource accepted under which token.
"""

from __future__ import annotations

from saffronstack.fleet.leases.acceptor import Acceptor
from saffronstack.fleet.leases.messages import AcceptorState, DiskState
from saffronstack.harness.leases.simulated_fleet import ACT_INTERVAL_S, SimulatedFleet, SimulationResult

# Upper limits of a random number in [0, 1) for each kind of fault; above the last, a server is partitioned.
SERVER_STOP_BELOW, CANDIDATE_PAUSE_BELOW, CANDIDATE_EXIT_BELOW = 0.4, 0.6, 0.7
DIRECTION_CUT_PROBABILITY = 0.7  # that a partition drops the messages to, or from, the server


class Simulation(SimulatedFleet):
    """A fleet under random faults."""

    def run(self, seconds: float) -> SimulationResult:
        """Run for some seconds of virtual time; return the result."""
        self._schedule_fault()
        self.events.schedule(ACT_INTERVAL_S, self.act)
        while self.events.run_next(seconds):
            self._check_holders()
        return self.result

    def _check_holders(self) -> None:
        """Record a breach if two candidates hold the lease at once, or one holds it under an older token.

        A paused candidate counts as a holder, since it would still act when it resumes.
        """
        holders = [
            name for name, candidate in self.candidates.items() if candidate.is_holder(self.clock(name))
        ]
        if len(holders) > 1:
            self.result.add_breach(self.now, f"{' and '.join(holders)} hold at once")
        newest = max(self.acquired_by, default=0)
        for name in holders:
            token = self.candidates[name].token
            if token < newest:
                self.result.add_breach(self.now, f"{name} holds under token {token}, after {newest}")

    # ---- faults

    def _schedule_fault(self) -> None:
        interval_s = self.random.expovariate(1 / self.faults.process_fault_interval_s)
        self.events.schedule(interval_s, self._inject_fault)

    def _inject_fault(self) -> None:
        self._schedule_fault()
        kind = self.random.random()
        if kind < SERVER_STOP_BELOW:
            self._stop_server()
        elif kind < CANDIDATE_PAUSE_BELOW:
            self._pause_candidate()
        elif kind < CANDIDATE_EXIT_BELOW:
            self.replace_candidate(self.random.choice(list(self.candidates)))
        else:
            self._partition_server()

    def _stop_server(self) -> None:
        name = self.random.choice(list(self.acceptors))
        acceptor = self.acceptors[name]
        if acceptor is None:
            return
        self.acceptors[name] = None
        is_paused = self._may_lose_disk(name) and self.random.random() < self.faults.replacement
        paused = acceptor if is_paused else None
        down_s = self.random.random() * self.faults.down_s
        self.events.schedule(down_s, lambda: self._restart_server(name, paused))

    def _pause_candidate(self) -> None:
        name = self.random.choice(list(self.candidates))
        if name not in self.paused_until_s:
            until_s = self.now + self.random.random() * self.faults.pause_s
            self.paused_until_s[name] = until_s
            self.events.schedule(until_s - self.now, lambda: self._resume_candidate(name))

    def _resume_candidate(self, name: str) -> None:
        """Resume a candidate; it is random whether it handles its messages or its timer first."""
        self.paused_until_s.pop(name, None)
        if name in self.candidates:
            self.events.schedule(0.001 * self.random.choice((0.0, 1.0)), lambda: self.tick(name))

    def _partition_server(self) -> None:
        rng = self.random
        name = rng.choice(list(self.acceptors))
        peers = [*self.acceptors, *self.candidates]
        cut = {(name, peer) for peer in peers} if rng.random() < DIRECTION_CUT_PROBABILITY else set()
        cut |= {(peer, name) for peer in peers} if rng.random() < DIRECTION_CUT_PROBABILITY else set()
        self.partitioned |= cut
        self.events.schedule(
            rng.random() * self.faults.partition_s, lambda: self.partitioned.difference_update(cut)
        )

    def _may_lose_disk(self, name: str) -> bool:
        """Return whether a server's disk may fail; the protocol tolerates one failed disk at a time."""
        others = (acceptor for other, acceptor in self.acceptors.items() if other != name)
        return not self.faults.one_disk_at_a_time or all(
            acceptor is not None and acceptor.recovery.has_recovered for acceptor in others
        )

    def _resume_replaced(self, name: str, replaced: Acceptor) -> None:
        """Resume a paused machine that was replaced; half of its peers, at random, still reach it."""
        self.replaced[name] = replaced
        self.stale_routes = {pair for pair in self.stale_routes if pair[1] != name}
        for peer in [*self.acceptors, *self.candidates]:
            if self.random.random() < 0.5:
                self.stale_routes.add((peer, name))

        def end() -> None:
            if self.replaced.get(name) is replaced:
                del self.replaced[name]

        self.events.schedule(self.random.random() * self.faults.replaced_awake_s, end)

    def _restart_server(self, name: str, paused: Acceptor | None) -> None:
        """Start a server from its disk, or the replacement of a paused one with an empty disk."""
        self._change_disk(name, paused)
        disk = self.disks[name]
        disk_state, state = (DiskState.INTACT, disk[-1]) if disk else (DiskState.LOST, AcceptorState())
        nonce = self.random.randrange(1, 2**31)
        acceptor = self.make_acceptor(name, self.limits, disk_state, state, self.clock(name), nonce)
        self.acceptors[name] = acceptor
        self.apply(name, acceptor.tick(self.clock(name)))

    def _change_disk(self, name: str, paused: Acceptor | None) -> None:
        disk, kind = self.disks[name], self.random.random()
        if not self._may_lose_disk(name):
            return
        if paused is not None:
            disk.clear()
            self._resume_replaced(name, paused)
        elif kind < self.faults.rolled_back_disk and disk:
            kept = max(1, len(disk) - self.random.randrange(1, 6))
            if disk[kept - 1].incarnation == disk[-1].incarnation:  # not a replaced server's state
                del disk[kept:]
        elif kind < self.faults.rolled_back_disk + self.faults.lost_disk:
            disk.clear()
