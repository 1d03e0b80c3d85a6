"""The commands as a user runs them: processes, exit statuses and output."""

from __future__ import annotations

import json
import os
import pathlib
import signal
import subprocess
import sys
from collections.abc import Collection, Iterator

import pytest

from saffronstack.cli.cpu_affinity import IDLE_SAMPLE_S, choose_cpus, choose_idle_cpus
from saffronstack.config import ConfigError
from saffronstack.harness.scenario import plan

ROOT = pathlib.Path(__file__).parent.parent


def saffronstack(*arguments: str, timeout: float = 60) -> subprocess.CompletedProcess[str]:
    return subprocess.run(
        [sys.executable, "-m", "saffronstack.cli.main", *arguments],
        capture_output=True,
        text=True,
        timeout=timeout,
        check=False,
    )


@pytest.fixture(scope="module")
def served(tmp_path_factory: pytest.TempPathFactory) -> Iterator[tuple[str, pathlib.Path]]:
    record = tmp_path_factory.mktemp("served") / "decisions.rec"
    process = subprocess.Popen(
        [
            sys.executable,
            "-m",
            "saffronstack.cli.main",
            "serve",
            "--with-standins",
            "--listen",
            "127.0.0.1:0",
            "--record",
            str(record),
        ],
        stdout=subprocess.PIPE,
        stderr=subprocess.DEVNULL,
        text=True,
    )
    assert process.stdout is not None
    line = process.stdout.readline()
    assert line.startswith("saffronstack takes calls on http://127.0.0.1:")
    yield line.strip().rpartition("/")[2], record
    process.send_signal(signal.SIGTERM)
    process.stdout.close()
    assert process.wait(20) == 0


def test_invoke_status_and_replay(served: tuple[str, pathlib.Path]) -> None:
    address, record = served
    completed = saffronstack(
        "invoke", "identify-copy", "--payload", '{"n": 1}', "--to", address, "--tenant", "campus-app"
    )
    assert completed.returncode == 0
    assert json.loads(completed.stdout)["input"] == {"n": 1}
    completed = saffronstack("invoke", "record-sale", "--to", address, "--deferred", "--wait")
    assert completed.returncode == 0
    assert json.loads(completed.stdout)["requestContext"]["condition"] == "Success"
    assert saffronstack("invoke", "nowhere", "--to", address).returncode == 2
    completed = saffronstack("status", address, "127.0.0.1:1", "--json")
    assert completed.returncode == 1
    up, down = map(json.loads, completed.stdout.splitlines())
    assert up["endings"]["served"] == 2
    assert "error" in down
    completed = saffronstack("replay", str(record))
    assert completed.returncode == 0
    assert "all decided alike" in completed.stdout


def test_an_unreachable_gateway_is_reported() -> None:
    completed = saffronstack("invoke", "x", "--to", "127.0.0.1:1")
    assert completed.returncode == 2
    assert "refused" in completed.stderr


@pytest.mark.parametrize(("text", "words"), [("{}", "configuration"), ("{tenants: [", "not JSON5")])
def test_serve_says_why_it_can_not_start(tmp_path: pathlib.Path, text: str, words: str) -> None:
    path = tmp_path / "c.json5"
    path.write_text(text)
    completed = saffronstack("serve", "--config", str(path))
    assert completed.returncode == 2
    assert str(path) in completed.stderr


def test_serve_requires_one_source_of_configuration() -> None:
    assert saffronstack("serve").returncode == 2


@pytest.mark.xdist_group("fleet")  # grouped with scenarios of many gateways, to run one at a time
def test_a_short_scenario_with_faults_keeps_the_rules() -> None:
    completed = saffronstack("day", "run", str(ROOT / "deploy/days/short.json5"), timeout=120)
    assert completed.returncode == 0, completed.stdout + completed.stderr
    assert completed.stdout.count(": kept") == 5


def test_scenarios_are_loaded_and_invalid_ones_are_reported(tmp_path: pathlib.Path) -> None:
    assert {t.kind for t in plan.load(str(ROOT / "deploy/days/bad.json5")).troubles} >= {
        "balancer_crash",
        "mass_restart",
        "answer_lost",
        "burst",
        "deploy",
    }
    path = tmp_path / "day.json5"
    path.write_text('{name: "x", troubles: [{kind: "locusts", at_s: 1}]}')
    with pytest.raises(ConfigError, match=r"troubles\[0\].kind: Invalid enum value 'locusts'"):
        plan.load(str(path))
    assert saffronstack("day", "run", str(path)).returncode == 2


def test_cpus_are_chosen_by_process_number_and_checked() -> None:
    assert choose_cpus("one", {3, 5}, 4) == {3}
    assert choose_cpus("one", {3, 5}, 5) == {5}
    assert choose_cpus("all", {3, 5}, 0) == {3, 5}
    assert choose_cpus("5", {3, 5}, 0) == {5}
    for selection in ("7", "x"):
        with pytest.raises(ValueError, match=r"not allowed|invalid literal"):
            choose_cpus(selection, {3, 5}, 0)


@pytest.mark.skipif(len(os.sched_getaffinity(0)) < 2, reason="needs two CPUs")
def test_a_process_is_pinned_to_an_idle_cpu_at_its_start() -> None:
    busy, *idle = sorted(os.sched_getaffinity(0))
    elapsed_s: list[float] = []

    def read_idle(cpus: Collection[int]) -> dict[int, int]:
        return {cpu: 0 if cpu == busy else int(sum(elapsed_s) * 1e9) for cpu in cpus}

    process_numbers = range(2 * len(idle))
    chosen = [
        choose_idle_cpus("one", {busy}, process_number, read_idle=read_idle, pause=elapsed_s.append)
        for process_number in process_numbers
    ]
    assert chosen == [{idle[process_number % len(idle)]} for process_number in process_numbers]
    assert elapsed_s == [IDLE_SAMPLE_S] * len(process_numbers)


@pytest.mark.parametrize(("selection", "chosen"), [("all", {3, 5}), ("3", {3}), ("one", set())])
def test_cpus_that_an_operator_chose_are_kept(selection: str, chosen: set[int]) -> None:
    assert choose_idle_cpus(selection, chosen, 1) == chosen
