"""Which connection makes room for a newcomer, and how long one waits: the rule alone, times passed in."""

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
    """A connection as it is seen."""

    numbers = count()

    def __init__(
        self, accepted_s: float = LONG_AGO_S, has_sent_data: bool = True, is_over_limit: bool = False
    ) -> None:
        self.accepted_s = self.active_s = accepted_s
        self.has_sent_data = has_sent_data
        self.is_over_limit = is_over_limit
        self.idle = True
        self.unread = self.ended = False
        self.socket_checks = 0  # at its socket
        self._number = next(self.numbers)

    def fileno(self) -> int:
        return self._number

    def idle_since(self, now: float) -> float:
        return self.active_s if self.idle else now

    def is_evictable(self) -> bool:
        self.socket_checks += 1
        return self.idle and not self.unread

    def is_closed_by_client(self) -> bool:
        return self.ended


class AdmissionHarness:
    """Connections held by the rule; newcomers come when a test says so."""

    def __init__(self) -> None:
        self.admission = ClientAdmission(RESERVE, MAX_OVER_LIMIT)
        self.connections: list[FakeConnection] = []

    def add(self, *views: FakeConnection) -> list[FakeConnection]:
        for view in views:
            self.admission.add(view)
            self.admission.touch(view)
            self.connections.append(view)
        return list(views)

    def fill(self, view_count: int = CONNECTIONS, **attributes: object) -> list[FakeConnection]:
        """Connections that all look alike, one idle a little longer than the next."""
        views = [FakeConnection(LONG_AGO_S + index / 1000) for index in range(view_count)]
        for view in views:
            for name, value in attributes.items():
                setattr(view, name, value)
        return self.add(*views)

    def decide(self, now: float = NOW_S) -> AdmissionDecision:
        decision = self.admission.decide(now, CONNECTIONS, MAX_OVER_LIMIT)
        if decision.victim is not None:
            self.admission.remove(decision.victim)
            self.connections.remove(decision.victim)  # type: ignore[arg-type]
        return decision

    def newcomer(self, now: float = NOW_S) -> FakeConnection | None:
        """One that says nothing yet; None where it has to wait."""
        outcome = self.decide(now).outcome
        if outcome is AdmissionOutcome.WAIT:
            return None
        return self.add(
            FakeConnection(
                now, has_sent_data=False, is_over_limit=outcome is AdmissionOutcome.ACCEPT_OVER_LIMIT
            )
        )[0]

    def queue(self, arrivals_s: list[float], speak: bool, busy: list[FakeConnection]) -> list[float]:
        """Newcomers one after another, beside clients that use their connections all the time; how long each
        waited.
        """
        waits_s: list[float] = []
        now = arrivals_s[0]
        while len(waits_s) < len(arrivals_s) and now < NOW_S + 10.0:
            for view in busy:
                view.active_s = now
            while len(waits_s) < len(arrivals_s) and arrivals_s[len(waits_s)] <= now:
                newcomer = self.newcomer(now)
                if newcomer is None:
                    break
                waits_s.append(now - arrivals_s[len(waits_s)])
                self.admission.record_queue_wait(waits_s[-1])
                newcomer.has_sent_data = speak
                self.admission.touch(newcomer)
            else:
                self.admission.note_accept_queue_empty()
            now += STEP_S
        return waits_s


@pytest.fixture
def harness() -> AdmissionHarness:
    return AdmissionHarness()


def test_ended_ones_go_first_then_silent_ones_then_the_longest_idle(harness: AdmissionHarness) -> None:
    active = harness.fill(CONNECTIONS - 2)
    silent, ended = harness.add(FakeConnection(LONG_AGO_S, has_sent_data=False), FakeConnection(JUST_NOW_S))
    ended.ended = True
    assert harness.decide().victim is ended
    harness.add(FakeConnection(NOW_S))
    assert harness.decide().victim is silent
    harness.add(FakeConnection(NOW_S))
    assert harness.decide().victim is active[0]


def test_one_with_a_call_open_or_a_request_unread_is_passed_over(harness: AdmissionHarness) -> None:
    views = harness.fill()
    views[0].idle = False
    views[1].unread = True
    assert harness.decide().victim is views[2]


def test_one_that_was_used_since_it_was_ranked_is_not_the_longest_idle(harness: AdmissionHarness) -> None:
    views = harness.fill()
    assert harness.decide().victim is views[0]
    harness.add(FakeConnection(NOW_S))
    views[1].active_s = NOW_S
    assert harness.decide().victim is views[2]


def test_idle_time_counts_from_the_answer_not_from_the_request(harness: AdmissionHarness) -> None:
    """A client that has just been answered after a long call used to be the longest idle one."""
    views = harness.fill(idle=False)
    assert harness.decide().outcome is AdmissionOutcome.ACCEPT_OVER_LIMIT
    for view in views:
        view.idle, view.active_s = True, NOW_S  # answered now
    decision = harness.decide(NOW_S + 0.01)
    assert decision.outcome is AdmissionOutcome.WAIT
    assert decision.recheck_s == pytest.approx(NOW_S + IDLE_MIN_S)


def test_silent_newcomers_are_left_a_moment_up_to_the_reserve(harness: AdmissionHarness) -> None:
    active = harness.fill()
    newcomers = [harness.newcomer() for _ in range(RESERVE)]
    assert [view in harness.connections for view in active] == [
        index >= RESERVE for index in range(CONNECTIONS)
    ]
    assert all(view in harness.connections for view in newcomers)


def test_a_silent_flood_holds_the_reserve_and_is_let_in_within_the_bound(harness: AdmissionHarness) -> None:
    """A client that speaks waits behind it."""
    active = harness.fill()
    waits_s = harness.queue([NOW_S + index * STEP_S for index in range(1000)], speak=False, busy=[])
    assert len(waits_s) == 1000
    assert max(waits_s) <= OVERDUE_WAIT_S + 2 * STEP_S
    assert sum(view in harness.connections for view in active) == CONNECTIONS - RESERVE


@pytest.mark.parametrize("sockets", [64, 160, 256, 384, 4096])
def test_a_flood_finds_the_reserve_beside_all_that_clients_may_use(sockets: int) -> None:
    budget = divide_budget(sockets, 128.0, 1000)
    assert budget.client_reserve >= 1
    assert budget.client_reserve == 1 or budget.clients - budget.client_reserve == sockets // 3


def test_a_newcomer_waits_until_the_next_one_has_been_idle_for_long_enough(harness: AdmissionHarness) -> None:
    """It took the place of a busy client's connection."""
    views = harness.fill(active_s=NOW_S)
    views[3].active_s = JUST_NOW_S
    decision = harness.decide()
    assert decision.outcome is AdmissionOutcome.WAIT
    assert decision.recheck_s == pytest.approx(JUST_NOW_S + IDLE_MIN_S)
    assert harness.decide(decision.recheck_s + 1e-6).victim is views[3]


@pytest.mark.parametrize("speak", [False, True])
def test_beside_busy_clients_a_newcomer_waits_for_the_bound_at_most(
    harness: AdmissionHarness, speak: bool
) -> None:
    """Those that were refused come again after the time that they were told; no busy one is closed."""
    busy = harness.fill()
    waits_s = harness.queue([NOW_S + index / 10 for index in range(50)], speak, busy)
    assert len(waits_s) == 50
    assert max(waits_s) <= OVERDUE_WAIT_S + 2 * STEP_S
    assert harness.connections[:CONNECTIONS] == busy


def test_beside_busy_clients_many_newcomers_are_refused_a_few_at_a_time(harness: AdmissionHarness) -> None:
    """Refused at the speed of the loop they closed each other's connections before they could speak."""
    busy = harness.fill()
    waits_s = harness.queue([NOW_S] * 20, speak=True, busy=busy)
    turns = range(20 // MAX_OVER_LIMIT)
    longest_s = [OVERDUE_WAIT_S + turn * (IDLE_MIN_S + 2 * STEP_S) + STEP_S for turn in turns]
    assert all(wait_s <= longest_s[index // MAX_OVER_LIMIT] for index, wait_s in enumerate(waits_s))
    assert len(waits_s) == 20
    assert harness.connections[:CONNECTIONS] == busy


@pytest.mark.parametrize("hangs", [True, False])
def test_many_newcomers_at_once_are_let_in_while_their_requests_have_time(
    harness: AdmissionHarness, hangs: bool
) -> None:
    """The hundredth waited for over a second behind the others, longer than its deadline."""
    clients = harness.fill(idle=not hangs)
    waits_s = harness.queue([NOW_S] * 500, speak=True, busy=clients)
    assert len(waits_s) == 500
    assert max(waits_s) <= MAX_QUEUE_WAIT_S + IDLE_MIN_S
    assert harness.connections[:CONNECTIONS] == clients


def test_the_queue_once_empty_newcomers_that_were_refused_are_left_their_time_again(
    harness: AdmissionHarness,
) -> None:
    busy = harness.fill()
    harness.queue([NOW_S] * 100, speak=True, busy=busy)
    harness.admission.note_accept_queue_empty()
    refused = harness.connections[CONNECTIONS:]
    now = NOW_S + 1.0
    for view in harness.connections:
        view.accepted_s = view.active_s = now
    assert harness.decide(now).outcome is AdmissionOutcome.WAIT
    assert harness.decide(now + OVERDUE_S / 4).outcome is AdmissionOutcome.WAIT
    assert harness.connections[CONNECTIONS:] == refused


def test_a_newcomer_that_left_takes_its_waiting_time_along(harness: AdmissionHarness) -> None:
    """The next one that came much later would have been taken for overdue."""
    harness.fill(active_s=NOW_S)
    assert harness.decide().outcome is AdmissionOutcome.WAIT
    harness.admission.note_accept_queue_empty()
    for view in harness.connections:
        view.active_s = NOW_S + 10.0
    assert harness.decide(NOW_S + 10.0).outcome is AdmissionOutcome.WAIT


def test_where_every_one_has_a_call_open_a_few_are_refused_at_once_and_the_rest_in_turn(
    harness: AdmissionHarness,
) -> None:
    harness.fill(idle=False)
    refused = [harness.newcomer() for _ in range(MAX_OVER_LIMIT)]
    assert [view is not None and view.is_over_limit for view in refused] == [True] * MAX_OVER_LIMIT
    assert harness.newcomer() is None
    for view in harness.connections[CONNECTIONS:]:
        view.has_sent_data = True
        view.active_s = NOW_S + OVERDUE_S  # they were answered just now
        harness.admission.touch(view)
    assert harness.decide(NOW_S + IDLE_MIN_S / 2).outcome is AdmissionOutcome.WAIT
    assert harness.decide(NOW_S + OVERDUE_S) == AdmissionDecision(
        AdmissionOutcome.ACCEPT_OVER_LIMIT, refused[0]
    )
    assert len(harness.connections) == CONNECTIONS + MAX_OVER_LIMIT - 1, "one in place of the other"


def test_the_longest_idle_busy_one_goes_only_where_no_other_can(harness: AdmissionHarness) -> None:
    busy = harness.fill()
    over_limit = harness.add(*(FakeConnection(NOW_S, is_over_limit=True) for _ in range(MAX_OVER_LIMIT)))
    for index, view in enumerate(busy):
        view.active_s = NOW_S + index / 10_000
    for view in over_limit:
        view.idle = False  # half a request of it came
    assert harness.decide(NOW_S + 0.001).outcome is AdmissionOutcome.WAIT
    now = NOW_S + 0.001 + OVERDUE_S
    for index, view in enumerate(busy):
        view.active_s = now - index / 10_000
    assert harness.decide(now) == AdmissionDecision(AdmissionOutcome.ACCEPT, busy[-1])


def test_for_want_of_a_descriptor_one_goes_within_the_bound(harness: AdmissionHarness) -> None:
    view = harness.fill(1, active_s=NOW_S)[0]
    assert harness.admission.next_victim_for_descriptor(NOW_S) is None
    view.active_s = NOW_S + OVERDUE_S
    assert harness.admission.next_victim_for_descriptor(NOW_S + OVERDUE_S) is view


def test_beside_hanging_calls_newcomers_cost_no_look_at_a_socket(harness: AdmissionHarness) -> None:
    """A look at each connection for each newcomer took the whole processor."""
    views = harness.fill(idle=False)
    for index in range(1000):
        decision = harness.decide(NOW_S + index / 10_000)
        assert (
            decision.outcome is not AdmissionOutcome.WAIT
            or decision.recheck_s <= NOW_S + index / 10_000 + MAX_RECHECK_S
        )
    assert sum(view.socket_checks for view in views) == 0


def test_closed_connections_do_not_stay_in_the_order() -> None:
    """It is looked at under pressure alone: without bound it would grow with each connection that ends."""
    order = IdleOrder()
    for _ in range(10 * MAX_STALE_ENTRIES):
        view = FakeConnection()
        order.add(view)
        order.remove(view)
    assert len(order._heap) <= MAX_STALE_ENTRIES + 1
