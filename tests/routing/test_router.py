"""Tests that each request gets exactly one final answer."""

from __future__ import annotations

import pytest

from saffronstack.routing.actions import CancelAttempt, Reject, SendAttempt
from saffronstack.routing.errors import UnknownRequestClassError
from saffronstack.routing.events import AttemptOutcome, CacheStatus, ClientDisconnected, Request, Result
from saffronstack.routing.router import Router
from saffronstack.routing.settings import PermissionSettings
from tests.helpers import UNSAFE, settings
from tests.support.routing import (
    DRAINING,
    Gateway,
    attempts_sent,
    endpoint,
    final_answers,
    incremental,
    make_gateways,
    make_router,
)


def test_the_first_action_is_an_attempt() -> None:
    _, actions = Gateway(make_router(1)).request(100.0)
    assert any(isinstance(action, SendAttempt) for action in actions)


def test_without_workers_a_request_is_rejected() -> None:
    gateway = Gateway(Router(settings(), 1))
    _, actions = gateway.request(100.0)
    assert [type(a) for a in actions] == [Reject]


def test_with_all_workers_draining_a_request_gets_one_final_answer() -> None:
    gateway = Gateway(make_router(1, 2))
    gateway.router.handle(101.0, incremental(endpoint(1, DRAINING), endpoint(2, DRAINING)))
    _, actions = gateway.request(101.0, UNSAFE)
    assert len(final_answers(actions)) == 1
    assert not attempts_sent(actions)


def test_a_timeout_at_the_deadline_is_answered_at_once() -> None:
    gateway = Gateway(make_router(1, 2))
    number, _ = gateway.request(100.0)
    actions = gateway.finish(103.0, number, Result.TIMEOUT)
    assert len(final_answers(actions)) == 1
    assert not attempts_sent(actions)


def test_nothing_is_sent_after_the_client_disconnected() -> None:
    gateway = Gateway(make_router(1, 2))
    number, _ = gateway.request(100.0)
    gateway.router.handle(100.1, ClientDisconnected(number))
    assert not attempts_sent(gateway.finish(100.2, number, Result.AT_CAPACITY))
    assert not final_answers(gateway.router.handle(100.3, ClientDisconnected(number)))


def test_a_disconnect_after_the_final_outcome_is_ignored() -> None:
    gateway = Gateway(make_router(1, 2))
    number, _ = gateway.request(100.0)
    assert not final_answers(gateway.finish(100.1, number))
    assert gateway.router.handle(100.1, ClientDisconnected(number)) == []


def test_an_outcome_of_an_unknown_request_is_ignored() -> None:
    assert make_router(1).handle(100.0, AttemptOutcome(99, 0, 1, Result.ERROR, 0.1)) == []


def test_a_disconnect_cancels_the_attempt_and_keeps_its_instance() -> None:
    """When many clients disconnect, dropping the entries would make loaded instances unknown."""
    gateway = Gateway(make_router(1, 2, permissions=PermissionSettings(max_attempts=6, cancellation=True)))
    first, _ = gateway.request(100.0)
    holder = gateway.worker_by_request[first]
    gateway.finish(100.1, first)
    second, _ = gateway.request(101.0)
    assert gateway.router.handle(101.5, ClientDisconnected(second)) == [CancelAttempt(second, 0)]
    gateway.finish(101.5, second, Result.CANCELLED, CacheStatus.UNKNOWN, is_final=True)
    assert [worker.endpoint.worker_id for worker, _ in gateway.router.functions[1].warm_instances] == [holder]
    assert not gateway.router.components.attempts
    assert not gateway.router.components.requests


def test_a_disconnect_cancels_nothing_where_that_is_not_permitted() -> None:
    gateway = Gateway(make_router(1))
    first, _ = gateway.request(100.0)
    assert gateway.router.handle(100.1, ClientDisconnected(first)) == []


def test_low_traffic_is_served_at_each_of_many_gateways() -> None:
    for gateway in make_gateways(300, 60)[::30]:
        for step in range(4):
            number, actions = gateway.request(100.0 + 20.0 * step, function_id=step)
            assert len(attempts_sent(actions)) == 1
            assert not final_answers(gateway.finish(100.1 + 20.0 * step, number))


def test_equal_events_give_equal_actions() -> None:
    def decide() -> list[str]:
        gateway = Gateway(make_router(1, 2, 3, 4))
        decided = []
        for step in range(200):
            now = 100.0 + step * 0.03
            number, actions = gateway.request(now, function_id=step % 5)
            decided.append(repr(actions))
            cache_status = CacheStatus.STARTED_LOAD if step % 3 else CacheStatus.WARM
            decided.append(repr(gateway.finish(now + 0.01, number, cache_status=cache_status)))
        return decided

    assert decide() == decide()


def test_a_request_of_an_unknown_class_raises_an_error() -> None:
    with pytest.raises(UnknownRequestClassError, match="class_index 9 names no class"):
        make_router(1).handle(100.0, Request(1, 9, 1, 103.0))
