"""Tests of the moving averages of reported CPU utilization."""

from __future__ import annotations

import pytest

from saffronstack.routing.cpu_utilization import FLEET_REPORT_WEIGHT, REPORT_WEIGHT, CpuUtilization
from tests.support.routing_state import make_worker


def test_a_worker_without_reports_counts_as_average() -> None:
    assert CpuUtilization().relative_idle(100.0, make_worker()) == 1.0


def test_the_first_report_counts_in_full_and_later_ones_in_part() -> None:
    cpu, worker = CpuUtilization(), make_worker()
    cpu.observe(100.0, worker, 0.5)
    assert worker.cpu_utilization == 0.5
    cpu.observe(100.1, worker, 1.0)
    assert worker.cpu_utilization == pytest.approx(0.5 + REPORT_WEIGHT * 0.5)


def test_a_report_after_a_long_silence_counts_in_full() -> None:
    cpu, worker = CpuUtilization(), make_worker()
    cpu.observe(100.0, worker, 0.5)
    cpu.observe(200.0, worker, 1.0)
    assert worker.cpu_utilization == 1.0


def test_the_fleet_mean_moves_slowly() -> None:
    cpu = CpuUtilization()
    cpu.observe(100.0, make_worker(), 1.0)
    assert cpu.fleet_mean == FLEET_REPORT_WEIGHT


def test_a_busy_worker_has_less_idle_cpu_than_the_fleet_until_its_report_is_old() -> None:
    cpu, worker = CpuUtilization(), make_worker()
    cpu.fleet_mean = 0.5
    cpu.observe(100.0, worker, 1.0)
    assert cpu.relative_idle(100.0, worker) < 0.2
    assert cpu.relative_idle(300.0, worker) == pytest.approx(1.0, abs=1e-3)


def test_the_ratio_stays_finite_at_full_use() -> None:
    cpu, worker = CpuUtilization(), make_worker()
    cpu.fleet_mean = 1.0
    cpu.observe(100.0, worker, 1.0)
    assert cpu.relative_idle(100.0, worker) == pytest.approx(1.0)
