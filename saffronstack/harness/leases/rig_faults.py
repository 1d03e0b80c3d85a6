"""Injection of faults into the harness's lease servers, candidates, links and disks."""

from __future__ import annotations

import os
import shutil
import signal
import time
from collections.abc import Callable, Sequence
from functools import partial

import msgspec

from saffronstack.harness.leases.disk_faults import damage_disk
from saffronstack.harness.leases.faulty_environment import DiskFault
from saffronstack.harness.leases.processes import LeaseProcesses
from saffronstack.harness.leases.schedule import Fault
from saffronstack.harness.links import Link, LinkMode
from saffronstack.harness.scenario.processes import ScenarioError
from saffronstack.runtime.threads import start_thread

RESET_FAULT_S = 0.1  # time for which the servers count as faulty after a reset of connections
MAX_SNAPSHOTS = 20  # per server
Directions = list[tuple[Link, bool]]  # of links, as the methods of `LinkRelay` expect them


class FaultInjector(LeaseProcesses):
    """Injects faults; a thread ends each one after its duration."""

    @staticmethod
    def _sleep(seconds: float) -> None:
        """Wait for the time of a scheduled fault; it synchronizes nothing."""
        if seconds > 0:
            time.sleep(seconds)

    def _adjust_fault_count(self, servers: Sequence[str], by: int) -> None:
        with self._lock:
            for server in servers:
                self._active_faults[server] += by

    def inject(self, fault: Fault) -> None:
        """Inject a fault."""
        if fault.kind == "lie":
            self._restart_with_damaged_disk(self._server_names[fault.keepers[0]], fault.how)
        elif fault.kind in CANDIDATE_FAULTS:
            numbers = [number for number in fault.candidates if number < len(self._candidates)]
            CANDIDATE_FAULTS[fault.kind](self, fault, numbers)
        else:
            self._inject_at_servers(fault)

    def _inject_at_servers(self, fault: Fault) -> None:
        servers = self._servers_of(fault)
        if fault.kind == "replace paused":
            # A server that does not vote may itself be a replacement. Of two machines of one name with lost
            # disks only the later one counts, and the harness kills the resumed one.
            servers = [server for server in servers if self.status(server).get("votes")]
        if fault.kind in STOPPING_FAULTS:
            # The fault that stopped a server also restarts it, so a stopped server is skipped.
            with self._lock:
                servers = [server for server in servers if server not in self._stopped_servers]
                self._stopped_servers.update(servers)
        self._adjust_fault_count(servers, 1)
        SERVER_FAULTS[fault.kind](self, fault, servers)

    def _servers_of(self, fault: Fault) -> list[str]:
        return [self._server_names[number] for number in fault.keepers if number < len(self._server_names)]

    def _kill_candidates(self, fault: Fault, numbers: list[int]) -> None:
        for number in numbers:
            self._kill(self._candidates[number])
            self._link_relay.remove_links_from(self._candidates[number].name)
            self._candidates[number] = self._start_candidate()

    def _step_clocks(self, fault: Fault, numbers: list[int]) -> None:
        """Advance clocks by the length of the fault, as after a suspension of the machines."""
        for number in numbers:
            path = self._clock_steps_file(self._candidates[number].name)
            before = float(path.read_text()) if path.exists() else 0.0
            new_path = path.with_suffix(".new")
            new_path.write_text(str(before + fault.length_s))
            os.replace(new_path, path)

    def _stop_candidates(self, fault: Fault, numbers: list[int]) -> None:
        processes = [self._candidates[number] for number in numbers]
        for one in processes:
            self._signal(one, signal.SIGSTOP)
        self._schedule(fault.length_s, lambda: [self._signal(one, signal.SIGCONT) for one in processes])

    def _cut_candidates(self, fault: Fault, numbers: list[int]) -> None:
        names = {self._candidates[number].name for number in numbers}
        servers = set(self._server_names)
        cut = self._link_relay.directions_between(names, servers) + self._link_relay.directions_between(
            servers, names
        )
        self._link_relay.set_mode(cut, LinkMode(fault.how))
        self._schedule(fault.length_s, lambda: self._repair_links(cut, fault.how == "lose"))

    def _others(self, servers: Sequence[str]) -> set[str]:
        return (set(self._server_names) | {one.name for one in self._candidates}) - set(servers)

    def _links_to(self, servers: Sequence[str]) -> Directions:
        return self._link_relay.directions_between(self._others(servers), set(servers))

    def _links_from(self, servers: Sequence[str]) -> Directions:
        return self._link_relay.directions_between(set(servers), self._others(servers))

    def _kill_servers(self, fault: Fault, servers: list[str]) -> None:
        for server in servers:
            self._snapshot(server)
            self._kill(self._servers[server])
        self._schedule(fault.length_s, lambda: self._restart(servers))

    def _replace_servers(self, fault: Fault, servers: list[str]) -> None:
        for server in servers:
            self._kill(self._servers[server])
        self._schedule(fault.length_s, lambda: self._replace(servers))

    def _pause_and_replace_servers(self, fault: Fault, servers: list[str]) -> None:
        for server in servers:
            self._signal(self._servers[server], signal.SIGSTOP)
        peers = sorted(self._others(self._servers_of(fault)))
        stale_peers = set(self._random.sample(peers, len(peers) // 2))
        for server in servers:
            replace = partial(self._replace_paused, server, stale_peers, awake_s=fault.length_s)
            self._schedule(fault.length_s, replace)

    def _stop_servers(self, fault: Fault, servers: list[str]) -> None:
        for server in servers:
            self._signal(self._servers[server], signal.SIGSTOP)
        self._end_after(fault.length_s, servers, lambda: self._resume(servers))

    def _make_disk_faulty(self, fault: Fault, servers: list[str]) -> None:
        disk_fault = DiskFault(is_full=True) if fault.kind == "disk full" else DiskFault(stall_s=10.0)
        path = self._directory / f"disk-{servers[0]}.json"
        path.write_bytes(msgspec.json.encode(disk_fault))
        self._end_after(fault.length_s, servers, lambda: path.write_text("{}"))

    def _cut_off_servers(self, fault: Fault, servers: list[str]) -> None:
        links_to, links_from = self._links_to(servers), self._links_from(servers)
        cut = links_to + links_from if fault.kind == "cut" else self._random.choice((links_to, links_from))
        self._link_relay.set_mode(cut, LinkMode(fault.how))
        # A TCP stream that lost bytes is corrupt, so its connection is reset.
        self._end_after(fault.length_s, servers, lambda: self._repair_links(cut, fault.how == "lose"))

    def _delay_servers(self, fault: Fault, servers: list[str]) -> None:
        links = self._links_to(servers) + self._links_from(servers)
        self._link_relay.set_mode(links, delay_s=fault.length_s / 5)
        self._end_after(fault.length_s, servers, lambda: self._link_relay.set_mode(links))

    def _reset_servers(self, fault: Fault, servers: list[str]) -> None:
        self._link_relay.reset_connections(self._links_to(servers) + self._links_from(servers))
        self._end_after(RESET_FAULT_S, servers, lambda: None)

    def _refuse_servers(self, fault: Fault, servers: list[str]) -> None:
        links = self._links_to(servers) + self._links_from(servers)
        self._link_relay.set_refusing(links, True)
        self._link_relay.reset_connections(links)
        self._end_after(fault.length_s, servers, lambda: self._link_relay.set_refusing(links, False))

    def _repair_links(self, cut: Directions, reset: bool) -> None:
        self._link_relay.set_mode(cut)
        if reset:
            self._link_relay.reset_connections(cut)

    def _end_after(self, after_s: float, servers: Sequence[str], end: Callable[[], object]) -> None:
        """End a fault of servers after ``after_s`` seconds; they count as faulty until then."""

        def end_fault() -> None:
            end()
            self._adjust_fault_count(servers, -1)

        self._schedule(after_s, end_fault)

    def _schedule(self, after_s: float, action: Callable[[], object]) -> None:
        def run() -> None:
            time.sleep(after_s)
            try:
                action()
            except Exception as error:  # noqa: BLE001 - the run reports it at its end
                self._failure = self._failure or repr(error)

        self._fault_end_threads.append(start_thread("heal", run))

    def _resume(self, servers: Sequence[str]) -> None:
        for server in servers:
            self._signal(self._servers[server], signal.SIGCONT)
        with self._lock:
            self._stopped_servers.difference_update(servers)

    def _replace(self, servers: Sequence[str]) -> None:
        """Start new machines under the same names, each with an empty state directory and a new address."""
        for server in servers:
            old_port = self._reserve_replacement(server)
            old_port.close()
            self._link_relay.redirect(server, self._addresses[server])
        self._restart(servers)

    def _replace_paused(self, server: str, stale_peers: set[str], awake_s: float) -> None:
        """Replace a paused server by a new machine, then resume it: ``stale_peers`` still reach it.

        The resumed server is killed after ``awake_s`` seconds.
        """
        replaced = self._servers[server]
        self._replaced.append(replaced)
        old_port = self._reserve_replacement(server)
        updated_peers = (
            (set(self._server_names) | {one.name for one in self._candidates}) - stale_peers - {server}
        )
        self._link_relay.redirect(server, self._addresses[server], excluded_sources=stale_peers)
        self._link_relay.reset_connections(self._link_relay.directions_between(updated_peers, {server}))
        self._start_server(server)
        self._signal(replaced, signal.SIGCONT)
        with self._lock:
            self._stopped_servers.discard(server)
        self.wait_until_voting([server])
        self._adjust_fault_count([server], -1)
        self._sleep(awake_s)
        self._kill(replaced)
        old_port.close()
        self._link_relay.redirect(server, self._addresses[server])
        self._link_relay.reset_connections(self._link_relay.directions_between(stale_peers, {server}))

    def _restart(self, servers: Sequence[str]) -> None:
        for server in servers:
            self._start_server(server)
        with self._lock:
            self._stopped_servers.difference_update(servers)
        # Servers count towards the majority only once they vote again.
        self.wait_until_voting(servers)
        self._adjust_fault_count(servers, -1)

    def _restart_with_damaged_disk(self, server: str, how: str) -> None:
        """Restart a server with a damaged disk once all other servers are healthy and have recovered."""
        for thread in self._fault_end_threads:
            thread.join(20.0)
        self._fault_end_threads.clear()
        if not self.wait_until_voting():
            statuses = [self.status(name) for name in self._server_names]
            raise ScenarioError(f"with all faults over, not all servers vote: {statuses}")
        self._adjust_fault_count([server], 1)
        self._kill(self._servers[server])
        state = self._state_directory(server)
        damage_disk(state, how, self._random, self._snapshots[server])
        if how in ("gone", "flip both copies", "swap copies"):
            self._snapshots[server].clear()  # they belong to the server's former incarnation
        self._fault_counts[f"lie: {how}"] = self._fault_counts.get(f"lie: {how}", 0) + 1
        self._start_server(server)
        if not self.wait_until_voting([server]):
            raise ScenarioError(f"{server} does not vote after a disk fault ({how}): {self.status(server)}")
        if self.status(server).get("disk") == "lost":
            self._snapshots[server].clear()  # the server has a new incarnation
        self._adjust_fault_count([server], -1)

    def _snapshot(self, server: str) -> None:
        """Copy a server's state directory, so that its disk can be rolled back to it later."""
        self._total_snapshots += 1
        path = self._directory / f"snapshot-{server}-{self._total_snapshots}"
        if len(self._snapshots[server]) < MAX_SNAPSHOTS:
            # Like a power failure, the snapshot may fall between two writes of the server.
            self._signal(self._servers[server], signal.SIGSTOP)
            shutil.copytree(self._state_directory(server), path)
            self._signal(self._servers[server], signal.SIGCONT)
            self._snapshots[server].append(path)


STOPPING_FAULTS = {"kill keeper", "stop keeper", "replace keeper", "replace paused"}
CANDIDATE_FAULTS: dict[str, Callable[[FaultInjector, Fault, list[int]], None]] = {
    "kill candidate": FaultInjector._kill_candidates,
    "clock steps": FaultInjector._step_clocks,
    "stop candidate": FaultInjector._stop_candidates,
    "cut candidates": FaultInjector._cut_candidates,
}
SERVER_FAULTS: dict[str, Callable[[FaultInjector, Fault, list[str]], None]] = {
    "kill keeper": FaultInjector._kill_servers,
    "replace keeper": FaultInjector._replace_servers,
    "replace paused": FaultInjector._pause_and_replace_servers,
    "stop keeper": FaultInjector._stop_servers,
    "disk full": FaultInjector._make_disk_faulty,
    "disk stalls": FaultInjector._make_disk_faulty,
    "cut": FaultInjector._cut_off_servers,
    "cut one way": FaultInjector._cut_off_servers,
    "late": FaultInjector._delay_servers,
    "reset": FaultInjector._reset_servers,
    "refuse": FaultInjector._refuse_servers,
}
