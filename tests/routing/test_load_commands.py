"""Tests of load commands to workers that reject requests for functions that they have not loaded."""

from __future__ import annotations

from saffronstack.routing.actions import LoadFunction
from saffronstack.routing.components import Components
from saffronstack.routing.events import CacheStatus, LoadCommandResult, Result
from saffronstack.routing.load_commands import MAX_INSTANCES
from saffronstack.routing.settings import MissMode, PermissionSettings, RuleSettings
from saffronstack.routing.state import Function
from tests.helpers import settings
from tests.support.routing import (
    DRAINING,
    attempts_sent,
    endpoint,
    incremental,
    load_commands,
    rejecting_gateway,
)
from tests.support.routing_state import make_request, make_worker


def test_a_request_waits_for_a_load_command_where_workers_do_not_load() -> None:
    gateway = rejecting_gateway()
    number, actions = gateway.request(100.0, concurrency=2.0)
    command = load_commands(actions)[0]
    assert not attempts_sent(actions)
    assert command.instances == 1
    actions = gateway.record(
        gateway.router.handle(101.0, LoadCommandResult(command.worker_id, 1, 1, Result.OK, 1.0))
    )
    assert [(a.request_id, a.worker_id) for a in attempts_sent(actions)] == [(number, command.worker_id)]


def test_load_commands_stay_within_the_rule() -> None:
    """Allows 2 load commands plus one per ten requests in 5 s: one at the limit is sent, the next is not."""
    gateway = rejecting_gateway(
        rules=RuleSettings(load_command_burst=2.0, load_commands_per_request=0.1, load_command_window_s=5.0)
    )
    command_times: list[float] = []
    request_times: list[float] = []
    for step in range(400):
        now = 100.0 + step * 0.05
        request_times.append(now)
        number, actions = gateway.request(now, function_id=step)
        while attempts_sent(actions):
            actions = gateway.finish(now, number, Result.NOT_LOADED, CacheStatus.UNKNOWN)
        for command in load_commands(actions):
            command_times.append(now)
            commands_in_window = sum(t > now - 5.0 for t in command_times)
            assert commands_in_window <= 2.0 + 0.1 * sum(t > now - 5.0 for t in request_times) + 1e-9
            gateway.router.handle(
                now, LoadCommandResult(command.worker_id, command.function_id, 1, Result.OK, 0.5)
            )
    assert len(command_times) > 2


def test_a_draining_worker_gets_no_load_command() -> None:
    gateway = rejecting_gateway()
    gateway.router.handle(100.0, incremental(endpoint(1, state=DRAINING)))
    for function in range(10):
        _, actions = gateway.request(100.1, function_id=function)
        assert all(a.worker_id == 2 for a in load_commands(actions))


def make_components(permitted: bool = True, miss_mode: MissMode = MissMode.REJECT) -> Components:
    """Return router components with the given load command permission and miss mode."""
    permissions = PermissionSettings(load_commands=permitted)
    return Components(settings(miss_mode=miss_mode, permissions=permissions), 1)


def test_commands_need_the_permission_and_workers_that_do_not_load_by_themselves() -> None:
    assert make_components().load_commands.may_send(100.0)
    assert not make_components(permitted=False).load_commands.may_send(100.0)
    assert not make_components(miss_mode=MissMode.LOAD).load_commands.may_send(100.0)


def test_a_command_asks_for_one_more_instance_where_all_slots_are_in_use() -> None:
    components, worker, request = make_components(), make_worker(), make_request()
    components.memory.begin_attempt(worker, request)
    command = components.load_commands.send(100.0, request, worker, Function())
    assert command == LoadFunction(1, 1, 2)


def test_a_command_asks_for_a_bounded_number_of_instances() -> None:
    components, worker, request = make_components(), make_worker(), make_request()
    for _ in range(40):
        components.memory.begin_attempt(worker, request)
    assert components.load_commands.send(100.0, request, worker, Function()).instances == MAX_INSTANCES


def test_a_result_that_no_command_awaits_is_ignored() -> None:
    gateway = rejecting_gateway()
    assert gateway.router.handle(100.0, LoadCommandResult(1, 5, 1, Result.OK, 0.5)) == []


def test_a_worker_that_rejected_a_load_is_passed_over_for_a_while() -> None:
    gateway = rejecting_gateway()
    _, actions = gateway.request(100.0)
    (command,) = load_commands(actions)
    worker = command.worker_id
    actions = gateway.router.handle(100.1, LoadCommandResult(worker, 1, 0, Result.ERROR, 0.1))
    assert [retried.worker_id for retried in load_commands(actions)] == [3 - worker]
