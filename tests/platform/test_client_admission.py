"""Which connection makes room for a newcomer, and how long one waits: the rule alone, times passed in."""

from __future__ import annotations

from itertools import count

import pytest

from saffronstack.platform.budget import divide
from saffronstack.platform.client_admission import (
    NEWCOMER_WAIT_MAX_S,
    QUEUE_WAIT_MAX_S,
    RETRY_MAX_S,
    ClientAdmission,
    Decision,
    Verdict,
)
from saffronstack.platform.eviction import IDLE_MIN_S
from saffronstack.platform.idle_order import COMPACT_AT, IdleOrder

CONNECTIONS, OVERFLOW, RESERVE = 8, 2, 3
NOW_S = 100.0
LONG_AGO_S = NOW_S - 1.0
JUST_NOW_S = NOW_S - IDLE_MIN_S / 2
WAITED_S = NEWCOMER_WAIT_MAX_S + 0.001
STEP_S = 0.001


class View:
    """A connection as it is seen."""

    numbers = count()

    def __init__(self, accepted_s: float = LONG_AGO_S, spoken: bool = True, overflow: bool = False) -> None:
        self.accepted_s = self.active_s = accepted_s
        self.spoken = spoken
        self.overflow = overflow
        self.idle = True
        self.unread = self.ended = False
        self.looks = 0  # at its socket
        self._number = next(self.numbers)

    def fileno(self) -> int:
        return self._number

    def idle_since(self, now: float) -> float:
        return self.active_s if self.idle else now

    def evictable(self) -> bool:
        self.looks += 1
        return self.idle and not self.unread

    def has_ended(self) -> bool:
        return self.ended


class Played:
    """Connections held by the rule; newcomers come when a test says so."""

    def __init__(self) -> None:
        self.rule = ClientAdmission(RESERVE, OVERFLOW)
        self.held: list[View] = []

    def hold(self, *views: View) -> list[View]:
        for view in views:
            self.rule.add(view)
            self.rule.touch(view)
            self.held.append(view)
        return list(views)

    def fill(self, view_count: int = CONNECTIONS, **attributes: object) -> list[View]:
        """Connections that all look alike, one idle a little longer than the next."""
        views = [View(LONG_AGO_S + place / 1000) for place in range(view_count)]
        for view in views:
            for name, value in attributes.items():
                setattr(view, name, value)
        return self.hold(*views)

    def decide(self, now: float = NOW_S) -> Decision:
        decision = self.rule.decide(now, CONNECTIONS, OVERFLOW)
        if decision.victim is not None:
            self.rule.remove(decision.victim)
            self.held.remove(decision.victim)  # type: ignore[arg-type]
        return decision

    def newcomer(self, now: float = NOW_S) -> View | None:
        """One that says nothing yet; None where it has to wait."""
        verdict = self.decide(now).verdict
        if verdict is Verdict.WAIT:
            return None
        return self.hold(View(now, spoken=False, overflow=verdict is Verdict.OVERFLOW))[0]

    def queue(self, arrivals_s: list[float], speak: bool, busy: list[View]) -> list[float]:
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
                self.rule.accepted_after(waits_s[-1])
                newcomer.spoken = speak
                self.rule.touch(newcomer)
            else:
                self.rule.nobody_waits()
            now += STEP_S
        return waits_s


@pytest.fixture
def played() -> Played:
    return Played()


def test_ended_ones_go_first_then_silent_ones_then_the_longest_idle(played: Played) -> None:
    spoken = played.fill(CONNECTIONS - 2)
    silent, ended = played.hold(View(LONG_AGO_S, spoken=False), View(JUST_NOW_S))
    ended.ended = True
    assert played.decide().victim is ended
    played.hold(View(NOW_S))
    assert played.decide().victim is silent
    played.hold(View(NOW_S))
    assert played.decide().victim is spoken[0]


def test_one_with_a_call_open_or_a_request_unread_is_passed_over(played: Played) -> None:
    views = played.fill()
    views[0].idle = False
    views[1].unread = True
    assert played.decide().victim is views[2]


def test_one_that_was_used_since_it_was_ranked_is_not_the_longest_idle(played: Played) -> None:
    views = played.fill()
    assert played.decide().victim is views[0]
    played.hold(View(NOW_S))
    views[1].active_s = NOW_S
    assert played.decide().victim is views[2]


def test_idle_time_counts_from_the_answer_not_from_the_request(played: Played) -> None:
    """A client that has just been answered after a long call used to be the longest idle one."""
    views = played.fill(idle=False)
    assert played.decide().verdict is Verdict.OVERFLOW
    for view in views:
        view.idle, view.active_s = True, NOW_S  # answered now
    decision = played.decide(NOW_S + 0.01)
    assert decision.verdict is Verdict.WAIT
    assert decision.retry_s == pytest.approx(NOW_S + IDLE_MIN_S)


def test_silent_newcomers_are_left_a_moment_up_to_the_reserve(played: Played) -> None:
    spoken = played.fill()
    newcomers = [played.newcomer() for _ in range(RESERVE)]
    assert [view in played.held for view in spoken] == [place >= RESERVE for place in range(CONNECTIONS)]
    assert all(view in played.held for view in newcomers)


def test_a_silent_flood_holds_the_reserve_and_is_let_in_within_the_bound(played: Played) -> None:
    """A client that speaks waits behind it."""
    spoken = played.fill()
    waits_s = played.queue([NOW_S + place * STEP_S for place in range(1000)], speak=False, busy=[])
    assert len(waits_s) == 1000
    assert max(waits_s) <= NEWCOMER_WAIT_MAX_S + 2 * STEP_S
    assert sum(view in played.held for view in spoken) == CONNECTIONS - RESERVE


@pytest.mark.parametrize("sockets", [64, 160, 256, 384, 4096])
def test_a_flood_finds_the_reserve_beside_all_that_clients_may_use(sockets: int) -> None:
    budget = divide(sockets, 128.0, 1000)
    assert budget.client_reserve >= 1
    assert budget.client_reserve == 1 or budget.clients - budget.client_reserve == sockets // 3


def test_a_newcomer_waits_until_the_next_one_has_been_idle_for_long_enough(played: Played) -> None:
    """It took the place of a busy client's connection."""
    views = played.fill(active_s=NOW_S)
    views[3].active_s = JUST_NOW_S
    decision = played.decide()
    assert decision.verdict is Verdict.WAIT
    assert decision.retry_s == pytest.approx(JUST_NOW_S + IDLE_MIN_S)
    assert played.decide(decision.retry_s + 1e-6).victim is views[3]


@pytest.mark.parametrize("speak", [False, True])
def test_beside_busy_clients_a_newcomer_waits_for_the_bound_at_most(played: Played, speak: bool) -> None:
    """Those that were refused come again after the time that they were told; no busy one is closed."""
    busy = played.fill()
    waits_s = played.queue([NOW_S + place / 10 for place in range(50)], speak, busy)
    assert len(waits_s) == 50
    assert max(waits_s) <= NEWCOMER_WAIT_MAX_S + 2 * STEP_S
    assert played.held[:CONNECTIONS] == busy


def test_beside_busy_clients_many_newcomers_are_refused_a_few_at_a_time(played: Played) -> None:
    """Refused at the speed of the loop they closed each other's connections before they could speak."""
    busy = played.fill()
    waits_s = played.queue([NOW_S] * 20, speak=True, busy=busy)
    turns = range(20 // OVERFLOW)
    longest_s = [NEWCOMER_WAIT_MAX_S + turn * (IDLE_MIN_S + 2 * STEP_S) + STEP_S for turn in turns]
    assert all(wait_s <= longest_s[place // OVERFLOW] for place, wait_s in enumerate(waits_s))
    assert len(waits_s) == 20
    assert played.held[:CONNECTIONS] == busy


@pytest.mark.parametrize("hangs", [True, False])
def test_many_newcomers_at_once_are_let_in_while_their_requests_have_time(
    played: Played, hangs: bool
) -> None:
    """The hundredth waited for over a second behind the others, longer than its deadline."""
    clients = played.fill(idle=not hangs)
    waits_s = played.queue([NOW_S] * 500, speak=True, busy=clients)
    assert len(waits_s) == 500
    assert max(waits_s) <= QUEUE_WAIT_MAX_S + IDLE_MIN_S
    assert played.held[:CONNECTIONS] == clients


def test_the_queue_once_empty_newcomers_that_were_refused_are_left_their_time_again(played: Played) -> None:
    busy = played.fill()
    played.queue([NOW_S] * 100, speak=True, busy=busy)
    played.rule.nobody_waits()
    refused = played.held[CONNECTIONS:]
    now = NOW_S + 1.0
    for view in played.held:
        view.accepted_s = view.active_s = now
    assert played.decide(now).verdict is Verdict.WAIT
    assert played.decide(now + WAITED_S / 4).verdict is Verdict.WAIT
    assert played.held[CONNECTIONS:] == refused


def test_a_newcomer_that_left_takes_its_waiting_time_along(played: Played) -> None:
    """The next one that came much later would have been taken for overdue."""
    played.fill(active_s=NOW_S)
    assert played.decide().verdict is Verdict.WAIT
    played.rule.nobody_waits()
    for view in played.held:
        view.active_s = NOW_S + 10.0
    assert played.decide(NOW_S + 10.0).verdict is Verdict.WAIT


def test_where_every_one_has_a_call_open_a_few_are_refused_at_once_and_the_rest_in_turn(
    played: Played,
) -> None:
    played.fill(idle=False)
    refused = [played.newcomer() for _ in range(OVERFLOW)]
    assert [view is not None and view.overflow for view in refused] == [True] * OVERFLOW
    assert played.newcomer() is None
    for view in played.held[CONNECTIONS:]:
        view.spoken = True
        view.active_s = NOW_S + WAITED_S  # they were answered just now
        played.rule.touch(view)
    assert played.decide(NOW_S + IDLE_MIN_S / 2).verdict is Verdict.WAIT
    assert played.decide(NOW_S + WAITED_S) == Decision(Verdict.OVERFLOW, refused[0])
    assert len(played.held) == CONNECTIONS + OVERFLOW - 1, "one in place of the other"


def test_the_longest_idle_busy_one_goes_only_where_no_other_can(played: Played) -> None:
    busy = played.fill()
    overflow = played.hold(*(View(NOW_S, overflow=True) for _ in range(OVERFLOW)))
    for place, view in enumerate(busy):
        view.active_s = NOW_S + place / 10_000
    for view in overflow:
        view.idle = False  # half a request of it came
    assert played.decide(NOW_S + 0.001).verdict is Verdict.WAIT
    now = NOW_S + 0.001 + WAITED_S
    for place, view in enumerate(busy):
        view.active_s = now - place / 10_000
    assert played.decide(now) == Decision(Verdict.ACCEPT, busy[-1])


def test_for_want_of_a_descriptor_one_goes_within_the_bound(played: Played) -> None:
    view = played.fill(1, active_s=NOW_S)[0]
    assert played.rule.next_for_descriptor(NOW_S) is None
    view.active_s = NOW_S + WAITED_S
    assert played.rule.next_for_descriptor(NOW_S + WAITED_S) is view


def test_beside_hanging_calls_newcomers_cost_no_look_at_a_socket(played: Played) -> None:
    """A look at each connection for each newcomer took the whole processor."""
    views = played.fill(idle=False)
    for place in range(1000):
        decision = played.decide(NOW_S + place / 10_000)
        assert (
            decision.verdict is not Verdict.WAIT or decision.retry_s <= NOW_S + place / 10_000 + RETRY_MAX_S
        )
    assert sum(view.looks for view in views) == 0


def test_closed_connections_do_not_stay_in_the_order() -> None:
    """It is looked at under pressure alone: without bound it would grow with each connection that ends."""
    order = IdleOrder()
    for _ in range(10 * COMPACT_AT):
        view = View()
        order.add(view)
        order.remove(view)
    assert len(order._heap) <= COMPACT_AT + 1
