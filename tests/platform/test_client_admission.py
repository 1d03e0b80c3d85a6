"""Which connection is evicted for a new client, and how long a client waits; times are passed in."""

from __future__ import annotations

from itertools import count

import pytest

from saffronstack.platform.budget import divide_budget
from saffronstack.platform.client_admission import (
    MAX_QUEUE_WAIT_S,
    MAX_RECHECK_S,
    OVERDUE_WAIT_S,
    AdmissionDecision,
    AdmissionOutcome,
    ClientAdmission,
)
from saffronstack.platform.eviction import IDLE_MIN_S
from saffronstack.platform.idle_order import MAX_STALE_ENTRIES, IdleOrder

CONNECTIONS, MAX_OVER_LIMIT, RESERVE = 8, 2, 3
NOW_S = 100.0
LONG_AGO_S = NOW_S - 1.0
JUST_NOW_S = NOW_S - IDLE_MIN_S / 2
OVERDUE_S = OVERDUE_WAIT_S + 0.001
STEP_S = 0.001


class FakeConnection:
    """A client connection with settable state."""

    numbers = count()

    def __init__(
        self, accepted_s: float = LONG_AGO_S, has_sent_data: bool = True, is_over_limit: bool = False
    ) -> None:
        self.accepted_s = self.active_s = accepted_s
        self.has_sent_data = has_sent_data
        self.is_over_limit = is_over_limit
        self.idle = True
        self.unread = self.closed = False
        self.socket_checks = 0  # how often its socket was examined
        self._number = next(self.numbers)

    def fileno(self) -> int:
        return self._number

    def idle_since(self, now: float) -> float:
        return self.active_s if self.idle else now

    def is_evictable(self) -> bool:
        self.socket_checks += 1
        return self.idle and not self.unread

    def is_closed_by_client(self) -> bool:
        return self.closed


class AdmissionHarness:
    """An admission with its connections; a test decides when new clients connect."""

    def __init__(self) -> None:
        self.admission = ClientAdmission(RESERVE, MAX_OVER_LIMIT)
        self.connections: list[FakeConnection] = []

    def add(self, *connections: FakeConnection) -> list[FakeConnection]:
        for connection in connections:
            self.admission.add(connection)
            self.admission.touch(connection)
            self.connections.append(connection)
        return list(connections)

    def fill(self, number: int = CONNECTIONS, **attributes: object) -> list[FakeConnection]:
        """Add connections with the same attributes, each idle a little longer than the next."""
        connections = [FakeConnection(LONG_AGO_S + index / 1000) for index in range(number)]
        for connection in connections:
            for name, value in attributes.items():
                setattr(connection, name, value)
        return self.add(*connections)

    def decide(self, now: float = NOW_S) -> AdmissionDecision:
        decision = self.admission.decide(now, CONNECTIONS, MAX_OVER_LIMIT)
        if decision.victim is not None:
            self.admission.remove(decision.victim)
            self.connections.remove(decision.victim)  # type: ignore[arg-type]
        return decision

    def connect(self, now: float = NOW_S) -> FakeConnection | None:
        """Connect a client that sends nothing yet; return None if it must wait."""
        outcome = self.decide(now).outcome
        if outcome is AdmissionOutcome.WAIT:
            return None
        return self.add(
            FakeConnection(
                now, has_sent_data=False, is_over_limit=outcome is AdmissionOutcome.ACCEPT_OVER_LIMIT
            )
        )[0]

    def connect_all(
        self, arrivals_s: list[float], sends_data: bool, busy: list[FakeConnection]
    ) -> list[float]:
        """Connect clients one after another while other clients use their connections all the time.

        Returns how long each client waited.
        """
        waits_s: list[float] = []
        now = arrivals_s[0]
        while len(waits_s) < len(arrivals_s) and now < NOW_S + 10.0:
            for connection in busy:
                connection.active_s = now
            while len(waits_s) < len(arrivals_s) and arrivals_s[len(waits_s)] <= now:
                accepted = self.connect(now)
                if accepted is None:
                    break
                waits_s.append(now - arrivals_s[len(waits_s)])
                self.admission.record_queue_wait(waits_s[-1])
                accepted.has_sent_data = sends_data
                self.admission.touch(accepted)
            else:
                self.admission.note_accept_queue_empty()
            now += STEP_S
        return waits_s


@pytest.fixture
def harness() -> AdmissionHarness:
    return AdmissionHarness()


def test_closed_connections_are_evicted_first_then_silent_ones_then_the_longest_idle(
    harness: AdmissionHarness,
) -> None:
    active = harness.fill(CONNECTIONS - 2)
    silent, closed = harness.add(FakeConnection(LONG_AGO_S, has_sent_data=False), FakeConnection(JUST_NOW_S))
    closed.closed = True
    assert harness.decide().victim is closed
    harness.add(FakeConnection(NOW_S))
    assert harness.decide().victim is silent
    harness.add(FakeConnection(NOW_S))
    assert harness.decide().victim is active[0]


def test_a_connection_with_an_open_call_or_an_unread_request_is_not_evicted(
    harness: AdmissionHarness,
) -> None:
    connections = harness.fill()
    connections[0].idle = False
    connections[1].unread = True
    assert harness.decide().victim is connections[2]


def test_a_connection_used_since_it_was_ranked_is_not_the_longest_idle(harness: AdmissionHarness) -> None:
    connections = harness.fill()
    assert harness.decide().victim is connections[0]
    harness.add(FakeConnection(NOW_S))
    connections[1].active_s = NOW_S
    assert harness.decide().victim is connections[2]


def test_idle_time_starts_at_the_response_not_at_the_request(harness: AdmissionHarness) -> None:
    """Guards against the eviction of a client that has just received the response to a long call."""
    connections = harness.fill(idle=False)
    assert harness.decide().outcome is AdmissionOutcome.ACCEPT_OVER_LIMIT
    for connection in connections:
        connection.idle, connection.active_s = True, NOW_S  # the response is sent now
    decision = harness.decide(NOW_S + 0.01)
    assert decision.outcome is AdmissionOutcome.WAIT
    assert decision.recheck_s == pytest.approx(NOW_S + IDLE_MIN_S)


def test_recent_silent_connections_are_kept_up_to_the_reserve(harness: AdmissionHarness) -> None:
    active = harness.fill()
    new_connections = [harness.connect() for _ in range(RESERVE)]
    assert [connection in harness.connections for connection in active] == [
        index >= RESERVE for index in range(CONNECTIONS)
    ]
    assert all(connection in harness.connections for connection in new_connections)


def test_a_flood_of_silent_clients_uses_only_the_reserve_and_is_accepted_in_time(
    harness: AdmissionHarness,
) -> None:
    """A client that sends data waits in the accept queue behind the silent clients."""
    active = harness.fill()
    waits_s = harness.connect_all(
        [NOW_S + index * STEP_S for index in range(1000)], sends_data=False, busy=[]
    )
    assert len(waits_s) == 1000
    assert max(waits_s) <= OVERDUE_WAIT_S + 2 * STEP_S
    assert sum(connection in harness.connections for connection in active) == CONNECTIONS - RESERVE


@pytest.mark.parametrize("sockets", [64, 160, 256, 384, 4096])
def test_the_silent_reserve_is_beyond_the_connections_that_clients_may_use(sockets: int) -> None:
    budget = divide_budget(sockets, 128.0, 1000)
    assert budget.client_reserve >= 1
    assert budget.client_reserve == 1 or budget.clients - budget.client_reserve == sockets // 3


def test_a_new_client_waits_until_a_connection_has_been_idle_long_enough(harness: AdmissionHarness) -> None:
    """Guards against the eviction of a busy client's connection."""
    connections = harness.fill(active_s=NOW_S)
    connections[3].active_s = JUST_NOW_S
    decision = harness.decide()
    assert decision.outcome is AdmissionOutcome.WAIT
    assert decision.recheck_s == pytest.approx(JUST_NOW_S + IDLE_MIN_S)
    assert harness.decide(decision.recheck_s + 1e-6).victim is connections[3]


@pytest.mark.parametrize("sends_data", [False, True])
def test_beside_busy_clients_a_new_client_waits_no_longer_than_the_bound(
    harness: AdmissionHarness, sends_data: bool
) -> None:
    """Clients that were rejected retry after the advised time; no busy connection is closed."""
    busy = harness.fill()
    waits_s = harness.connect_all([NOW_S + index / 10 for index in range(50)], sends_data, busy)
    assert len(waits_s) == 50
    assert max(waits_s) <= OVERDUE_WAIT_S + 2 * STEP_S
    assert harness.connections[:CONNECTIONS] == busy


def test_beside_busy_clients_many_new_clients_are_rejected_a_few_at_a_time(harness: AdmissionHarness) -> None:
    """Accepted at the speed of the event loop, they evicted each other before they could send a request."""
    busy = harness.fill()
    waits_s = harness.connect_all([NOW_S] * 20, sends_data=True, busy=busy)
    turns = range(20 // MAX_OVER_LIMIT)
    longest_s = [OVERDUE_WAIT_S + turn * (IDLE_MIN_S + 2 * STEP_S) + STEP_S for turn in turns]
    assert all(wait_s <= longest_s[index // MAX_OVER_LIMIT] for index, wait_s in enumerate(waits_s))
    assert len(waits_s) == 20
    assert harness.connections[:CONNECTIONS] == busy


@pytest.mark.parametrize("has_open_calls", [True, False])
def test_many_new_clients_at_once_are_accepted_before_their_deadlines(
    harness: AdmissionHarness, has_open_calls: bool
) -> None:
    """The hundredth client waited for over a second behind the others, past its deadline."""
    clients = harness.fill(idle=not has_open_calls)
    waits_s = harness.connect_all([NOW_S] * 500, sends_data=True, busy=clients)
    assert len(waits_s) == 500
    assert max(waits_s) <= MAX_QUEUE_WAIT_S + IDLE_MIN_S
    assert harness.connections[:CONNECTIONS] == clients


def test_once_the_accept_queue_was_empty_over_limit_connections_linger_again(
    harness: AdmissionHarness,
) -> None:
    busy = harness.fill()
    harness.connect_all([NOW_S] * 100, sends_data=True, busy=busy)
    harness.admission.note_accept_queue_empty()
    rejected = harness.connections[CONNECTIONS:]
    now = NOW_S + 1.0
    for connection in harness.connections:
        connection.accepted_s = connection.active_s = now
    assert harness.decide(now).outcome is AdmissionOutcome.WAIT
    assert harness.decide(now + OVERDUE_S / 4).outcome is AdmissionOutcome.WAIT
    assert harness.connections[CONNECTIONS:] == rejected


def test_the_wait_of_a_client_that_disconnected_does_not_count_for_the_next_one(
    harness: AdmissionHarness,
) -> None:
    """Otherwise a client that connects much later would count as overdue."""
    harness.fill(active_s=NOW_S)
    assert harness.decide().outcome is AdmissionOutcome.WAIT
    harness.admission.note_accept_queue_empty()
    for connection in harness.connections:
        connection.active_s = NOW_S + 10.0
    assert harness.decide(NOW_S + 10.0).outcome is AdmissionOutcome.WAIT


def test_if_all_connections_have_open_calls_a_few_clients_are_rejected_at_once_and_the_rest_in_turn(
    harness: AdmissionHarness,
) -> None:
    harness.fill(idle=False)
    rejected = [harness.connect() for _ in range(MAX_OVER_LIMIT)]
    assert [connection is not None and connection.is_over_limit for connection in rejected] == [
        True
    ] * MAX_OVER_LIMIT
    assert harness.connect() is None
    for connection in harness.connections[CONNECTIONS:]:
        connection.has_sent_data = True
        connection.active_s = NOW_S + OVERDUE_S  # their responses were sent just now
        harness.admission.touch(connection)
    assert harness.decide(NOW_S + IDLE_MIN_S / 2).outcome is AdmissionOutcome.WAIT
    assert harness.decide(NOW_S + OVERDUE_S) == AdmissionDecision(
        AdmissionOutcome.ACCEPT_OVER_LIMIT, rejected[0]
    )
    assert len(harness.connections) == CONNECTIONS + MAX_OVER_LIMIT - 1, "one replaces the other"


def test_the_longest_idle_busy_connection_is_evicted_only_if_no_other_can_be(
    harness: AdmissionHarness,
) -> None:
    busy = harness.fill()
    over_limit = harness.add(*(FakeConnection(NOW_S, is_over_limit=True) for _ in range(MAX_OVER_LIMIT)))
    for index, connection in enumerate(busy):
        connection.active_s = NOW_S + index / 10_000
    for connection in over_limit:
        connection.idle = False  # a request is partly read
    assert harness.decide(NOW_S + 0.001).outcome is AdmissionOutcome.WAIT
    now = NOW_S + 0.001 + OVERDUE_S
    for index, connection in enumerate(busy):
        connection.active_s = now - index / 10_000
    assert harness.decide(now) == AdmissionDecision(AdmissionOutcome.ACCEPT, busy[-1])


def test_without_a_free_descriptor_a_connection_is_evicted_within_the_bound(
    harness: AdmissionHarness,
) -> None:
    connection = harness.fill(1, active_s=NOW_S)[0]
    assert harness.admission.next_victim_for_descriptor(NOW_S) is None
    connection.active_s = NOW_S + OVERDUE_S
    assert harness.admission.next_victim_for_descriptor(NOW_S + OVERDUE_S) is connection


def test_beside_unfinished_calls_a_new_client_causes_no_socket_check(harness: AdmissionHarness) -> None:
    """A check of each connection for each new client used a whole CPU."""
    connections = harness.fill(idle=False)
    for index in range(1000):
        decision = harness.decide(NOW_S + index / 10_000)
        assert (
            decision.outcome is not AdmissionOutcome.WAIT
            or decision.recheck_s <= NOW_S + index / 10_000 + MAX_RECHECK_S
        )
    assert sum(connection.socket_checks for connection in connections) == 0


def test_removed_connections_do_not_accumulate_in_the_heap() -> None:
    """Without compaction the heap, which is searched only at the limit, would grow with each closed one."""
    order = IdleOrder()
    for _ in range(10 * MAX_STALE_ENTRIES):
        connection = FakeConnection()
        order.add(connection)
        order.remove(connection)
    assert len(order._heap) <= MAX_STALE_ENTRIES + 1
