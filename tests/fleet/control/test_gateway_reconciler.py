"""Tests of the reconciliation of one gateway's processes with its desired release."""

from __future__ import annotations

import pytest

from saffronstack.fleet.control.gateway_actions import (
    AllowServing,
    Discard,
    Kill,
    ServeAfter,
    StartProcess,
    Terminate,
)
from saffronstack.fleet.control.gateway_reconciler import MAX_CRASHES, GatewayReconciler
from saffronstack.fleet.control.observed_gateway import GatewayPhase


@pytest.fixture
def serving() -> GatewayReconciler:
    """Return a gateway whose incarnation 1 serves the old release."""
    reconciler = GatewayReconciler(drain_timeout_s=5.0, start_timeout_s=10.0)
    assert reconciler.set_desired(0.0, "old") == [StartProcess(1, "old")]
    assert reconciler.on_prepared(0.1, 1) == [AllowServing(1)]
    assert reconciler.on_serving(0.2, 1) == []
    assert reconciler.observe().running_release == "old"
    return reconciler


@pytest.fixture
def draining(serving: GatewayReconciler) -> GatewayReconciler:
    """Return a gateway whose incarnation 1 drains.

    Incarnation 2 is the prepared successor with the new release, and 3 is the prepared fallback.
    """
    serving.set_desired(1.0, "new")
    assert serving.on_prepared(1.4, 2) == [StartProcess(3, "old")]
    assert serving.on_prepared(1.5, 3) == [ServeAfter(2, 1), Terminate(1)]
    return serving


@pytest.fixture
def draining_without_fallback(serving: GatewayReconciler) -> GatewayReconciler:
    """Return a gateway like ``draining`` whose fallback could not be prepared."""
    serving.set_desired(1.0, "new")
    serving.on_prepared(1.4, 2)
    assert serving.on_ended(1.5, 3, "status 1") == [ServeAfter(2, 1), Terminate(1)]
    return serving


def test_a_successor_is_prepared_before_the_current_one_drains_and_serves_after_its_end(
    serving: GatewayReconciler,
) -> None:
    assert serving.set_desired(1.0, "new") == [StartProcess(2, "new")]
    assert serving.observe().running_release == "old"
    assert serving.on_prepared(1.4, 2) == [StartProcess(3, "old")]
    assert serving.reconcile(1.4) == []  # the current one serves until the fallback is prepared too
    assert serving.observe().running_release == "old"
    assert serving.on_prepared(1.5, 3) == [ServeAfter(2, 1), Terminate(1)]
    assert serving.observe().running_release == ""
    assert serving.reconcile(2.0) == []  # the old one drains
    assert serving.on_ended(2.5, 1, "status 0") == [AllowServing(2)]
    assert serving.on_serving(2.6, 2) == [Discard(3)]
    assert serving.observe().running_release == "new"
    assert serving.restarts == 0


def test_an_incarnation_that_drains_for_too_long_is_killed(draining: GatewayReconciler) -> None:
    assert draining.next_deadline_s() == 6.5
    assert draining.reconcile(6.4) == []
    assert draining.reconcile(6.5) == [Kill(1)]
    assert draining.on_ended(6.6, 1, "status -9") == [AllowServing(2)]


def test_a_release_that_cannot_be_prepared_is_given_up_while_the_old_one_serves(
    serving: GatewayReconciler,
) -> None:
    serving.set_desired(1.0, "new")
    assert serving.on_ended(1.1, 2, "status 1") == []
    assert serving.observe().running_release == "old"
    assert serving.reconcile(2.0) == [StartProcess(3, "new")]
    assert serving.on_ended(2.1, 3, "status 1") == []
    observed = serving.observe()
    assert observed.failed_release == "new"
    assert observed.running_release == "old"
    assert "status 1" in observed.last_error
    assert serving.reconcile(100.0) == []  # it is not retried without a new command
    assert serving.set_desired(101.0, "new") == [StartProcess(4, "new")]  # a new command retries it


def test_a_release_that_fails_to_serve_is_replaced_by_the_previous_one(
    draining_without_fallback: GatewayReconciler,
) -> None:
    draining = draining_without_fallback
    draining.on_ended(2.0, 1, "status 0")
    draining.on_ended(2.1, 2, "status 2")
    (retry,) = draining.reconcile(3.0)
    draining.on_prepared(3.1, retry.incarnation)
    (previous,) = draining.on_ended(3.2, retry.incarnation, "status 2")
    assert previous == StartProcess(5, "old")
    assert draining.observe().failed_release == "new"
    draining.on_prepared(3.3, 5)
    draining.on_serving(3.4, 5)
    assert draining.observe().running_release == "old"


def test_the_fallback_serves_at_once_if_the_successor_fails(draining: GatewayReconciler) -> None:
    draining.on_ended(2.0, 1, "status 0")
    assert draining.on_ended(2.1, 2, "status 2") == [AllowServing(3)]
    assert draining.on_serving(2.15, 3) == []
    assert draining.observe().running_release == "old"
    (retry,) = draining.reconcile(3.0)
    assert retry == StartProcess(4, "new")
    assert draining.on_prepared(3.1, 4) == [StartProcess(5, "old")]
    draining.on_prepared(3.2, 5)
    draining.on_ended(3.3, 3, "status 0")
    assert draining.on_ended(3.4, 4, "status 2") == [AllowServing(5)]
    assert draining.observe().failed_release == "new"
    draining.on_serving(3.5, 5)
    assert draining.observe().running_release == "old"
    assert draining.reconcile(100.0) == []  # it is not tried a third time


def test_the_fallback_follows_a_predecessor_whose_end_is_not_known_yet(draining: GatewayReconciler) -> None:
    assert draining.on_ended(2.0, 2, "status 2") == [ServeAfter(3, 1)]
    assert draining.on_ended(2.1, 1, "status 0") == [AllowServing(3)]


def test_a_fallback_that_hangs_during_preparation_is_killed_and_the_update_continues(
    serving: GatewayReconciler,
) -> None:
    serving.set_desired(1.0, "new")
    serving.on_prepared(1.4, 2)
    assert serving.next_deadline_s() == 11.4
    assert serving.reconcile(11.4) == [Kill(3)]
    assert serving.on_ended(11.5, 3, "status -9") == [ServeAfter(2, 1), Terminate(1)]


def test_a_fallback_is_dropped_with_its_successor(serving: GatewayReconciler) -> None:
    serving.set_desired(1.0, "new")
    serving.on_prepared(1.4, 2)
    assert serving.set_desired(1.5, "old") == [Kill(2), Discard(3)]
    assert serving.on_prepared(1.6, 3) == []


def test_a_fallback_is_discarded_if_the_gateway_is_to_stop(draining: GatewayReconciler) -> None:
    draining.set_desired(2.0, "")
    draining.on_ended(2.1, 1, "status 0")
    assert draining.on_ended(2.2, 2, "status 2") == [Discard(3)]


def test_a_release_that_keeps_crashing_is_restarted_with_backoff_and_then_given_up(
    draining: GatewayReconciler,
) -> None:
    draining.on_ended(1.2, 1, "status 0")
    draining.on_serving(1.3, 2)
    now_s, pauses_s = 1.4, []
    incarnation = 2
    for _ in range(MAX_CRASHES - 1):
        assert draining.on_ended(now_s, incarnation, "status 9") == []
        pauses_s.append(draining.next_deadline_s() - now_s)
        now_s = draining.next_deadline_s()
        (restart,) = draining.reconcile(now_s)
        incarnation = restart.incarnation
        draining.on_prepared(now_s, incarnation)
        draining.on_serving(now_s, incarnation)
    assert pauses_s == sorted(pauses_s)
    assert pauses_s[-1] > 4 * pauses_s[0]
    assert draining.on_ended(now_s, incarnation, "status 9") == [StartProcess(incarnation + 1, "old")]
    assert draining.observe().failed_release == "new"
    assert draining.restarts == MAX_CRASHES


def test_an_adopted_incarnation_goes_on_until_a_command_stops_it() -> None:
    reconciler = GatewayReconciler(drain_timeout_s=5.0)
    reconciler.adopt(0.0, "old")
    assert reconciler.reconcile(1.0) == []
    assert reconciler.observe().running_release == "old"
    assert reconciler.observe().desired_release == "old"
    assert reconciler.set_desired(2.0, "") == [Terminate(1)]


def test_a_command_during_a_change_replaces_it(serving: GatewayReconciler) -> None:
    serving.set_desired(1.0, "new")
    assert serving.set_desired(1.2, "old") == [Kill(2)]
    assert serving.observe().running_release == "old"
    assert serving.observe().phase is GatewayPhase.SERVING
    assert serving.on_ended(1.3, 2, "status -9") == []


def test_a_successor_that_may_already_serve_is_not_dropped_by_a_command(draining: GatewayReconciler) -> None:
    """Guards against killing a successor with requests in flight.

    It watches for the end of its predecessor itself, so it may serve before the daemon knows of that end.
    """
    assert draining.set_desired(2.0, "old") == []
    assert draining.on_serving(2.1, 2) == [Discard(3), StartProcess(4, "old")]
    assert draining.observe().running_release == "new"
    assert draining.on_ended(2.2, 1, "status 0") == []  # reported late, as after a stop of the daemon process
    assert draining.on_prepared(2.5, 4) == [StartProcess(5, "new")]
    assert draining.on_prepared(2.6, 5) == [ServeAfter(4, 2), Terminate(2)]


def test_a_successor_that_never_serves_after_its_predecessors_end_is_killed(
    draining: GatewayReconciler,
) -> None:
    assert draining.on_ended(2.0, 1, "status 0") == [AllowServing(2)]
    assert draining.next_deadline_s() == 12.0
    assert draining.reconcile(12.0) == [Kill(2)]


def test_a_crash_while_an_incarnation_drains_is_reported_and_its_successor_follows(
    draining: GatewayReconciler,
) -> None:
    assert draining.on_ended(2.0, 1, "status 9", has_crashed=True) == [AllowServing(2)]
    observed = draining.observe()
    assert observed.restarts == 1
    assert observed.last_error == "old ended while it drained: status 9"


def test_an_incarnation_killed_at_its_drain_timeout_has_not_crashed(draining: GatewayReconciler) -> None:
    assert draining.reconcile(6.5) == [Kill(1)]
    assert draining.on_ended(6.6, 1, "status -9", has_crashed=True) == [AllowServing(2)]
    assert draining.observe().restarts == 0
    assert "killed" in draining.observe().last_error
