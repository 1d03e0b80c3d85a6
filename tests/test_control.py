"""The daemon of a machine: releases and wanted state on disks, orders over its address, the fleet's file."""

from __future__ import annotations

import json
import pathlib
from collections.abc import Iterator
from contextlib import contextmanager
from itertools import count
from typing import Any

import msgspec
import pytest

from saffronstack.client import Client
from saffronstack.config.fleet import load_fleet
from saffronstack.config.load import ConfigError
from saffronstack.fleet.control.daemon import Daemon
from saffronstack.fleet.control.daemon_options import DaemonOptions, GatewaySpec
from saffronstack.fleet.control.desired_state import DesiredState, DesiredStateFile
from saffronstack.fleet.control.errors import UnusableReleaseError
from saffronstack.fleet.control.messages import (
    CONTROL_PATH,
    LEADER_LEASE,
    ControlRequest,
    DaemonStatus,
    GatewayCommand,
)
from saffronstack.fleet.control.releases import find_release, read_release
from saffronstack.fleet.leases.messages import LeaseValue
from saffronstack.fleet.leases.quorum_read import LeaseStatus, QuorumRead, merge_lease_reports
from saffronstack.fleet.leases.reports import LeaseReport
from saffronstack.harness.rollout import releases as made
from saffronstack.standin.worker import hold_port
from tests.support.stack import eventually

# ---- releases


def test_a_release_s_digest_covers_names_contents_and_what_may_run(tmp_path: pathlib.Path) -> None:
    path = pathlib.Path(made.make(tmp_path, "1"))
    first = read_release(str(path))
    assert first.command[0] != "{python}" and first.release.version == "1"
    (path / "more").write_text("x")
    second = read_release(str(path)).release.digest
    (path / "more").rename(path / "other")
    third = read_release(str(path)).release.digest
    (path / "other").chmod(0o755)
    fourth = read_release(str(path)).release.digest
    assert len({first.release.digest, second, third, fourth}) == 4
    (path / "__pycache__").mkdir()
    (path / "__pycache__" / "a.pyc").write_text("written by a run")
    assert read_release(str(path)).release.digest == fourth
    assert find_release(str(tmp_path), fourth).path == str(path)
    with pytest.raises(UnusableReleaseError, match="no release has the digest"):
        find_release(str(tmp_path), first.release.digest)  # its files were changed since


@pytest.mark.parametrize(
    ("manifest", "wanted"),
    [("{", "release.json"), ('{"version": "", "command": []}', "a version and"), (None, "No such file")],
)  # fmt: skip
def test_what_is_no_release_is_refused_with_its_path(
    tmp_path: pathlib.Path, manifest: str | None, wanted: str
) -> None:
    if manifest is not None:
        (tmp_path / "release.json").write_text(manifest)
    with pytest.raises(UnusableReleaseError, match=wanted):
        read_release(str(tmp_path))


# ---- what was wanted


def test_wanted_state_is_read_back_whole_or_lost_and_another_s_is_refused(tmp_path: pathlib.Path) -> None:
    kept = DesiredStateFile(str(tmp_path), "f", "d1")
    assert kept.read() is None
    wanted = DesiredState("f", "d1", 7, {"g1": "abc", "g2": ""})
    kept.write(wanted)
    assert DesiredStateFile(str(tmp_path), "f", "d1").read() == wanted
    good = kept.path.read_bytes()
    for at in range(len(good)):
        bad = bytearray(good)
        bad[at] ^= 1 << at % 8
        kept.path.write_bytes(bad)
        assert kept.read() is None
        kept.path.write_bytes(good[:at])
        assert kept.read() is None
    kept.path.write_bytes(good)
    with pytest.raises(ValueError, match="is that of daemon 'd1'"):
        DesiredStateFile(str(tmp_path), "f", "d2").read()


# ---- a daemon on its address


NOTHING = QuorumRead(True, {})


@contextmanager
def daemon(tmp_path: pathlib.Path, reading: QuorumRead = NOTHING, **more: Any) -> Iterator[Daemon]:
    with hold_port("127.0.0.1") as held:
        listen = f"127.0.0.1:{held.getsockname()[1]}"
        options = DaemonOptions(
            fleet="f",
            name="d1",
            address="127.0.0.1:0",
            gateways=(GatewaySpec("g1", listen, str(tmp_path / "g1.json5"), 5.0),),
            releases_directory=str(tmp_path / "releases"),
            state_directory=str(tmp_path / "state"),
        )
        one = Daemon(options, lambda: reading, **more)
        one.start()
        try:
            yield one
        finally:
            assert one.stop(end_gateways=True)


def ask(one: Daemon, control: ControlRequest) -> tuple[int, Any]:
    host, port = one.address
    client = Client(f"{host}:{port}", 10.0)
    try:
        answer = client.request("POST", CONTROL_PATH, msgspec.json.encode(control))
    finally:
        client.close()
    if answer.status != 200:
        return answer.status, json.loads(answer.body)["message"]
    return 200, msgspec.json.decode(answer.body, type=DaemonStatus)


def test_orders_count_by_token_number_and_life_and_outlive_the_daemon(tmp_path: pathlib.Path) -> None:
    root = tmp_path / "releases"
    digest = read_release(made.make(root, "bad", "does not start")).release.digest
    with daemon(tmp_path) as one:
        eventually(lambda: ask(one, ControlRequest("f", 4, 1))[0] != 503)
        status, state = ask(one, ControlRequest("f", 5, 1))
        assert status == 200 and state.token == 5 and not state.is_token_lost
        order = (GatewayCommand("g1", digest),)
        assert ask(one, ControlRequest("other", 5, 2, state.incarnation, order))[0] == 403
        assert ask(one, ControlRequest("f", 4, 9, state.incarnation, order)) == (
            409,
            "token 4 is older than 5",
        )
        assert ask(one, ControlRequest("f", 5, 1, state.incarnation, order))[0] == 409
        assert "another incarnation" in ask(one, ControlRequest("f", 5, 2, 1, order))[1]
        assert (
            "none of this daemon's"
            in ask(one, ControlRequest("f", 5, 2, state.incarnation, (GatewayCommand("g9", digest),)))[1]
        )
        assert (
            "no release has"
            in ask(one, ControlRequest("f", 5, 2, state.incarnation, (GatewayCommand("g1", "ab"),)))[1]
        )
        status, after = ask(one, ControlRequest("f", 5, 3, state.incarnation, order))
        assert status == 200 and after.gateways["g1"].desired_release == digest
        seq = count(1)
        eventually(
            lambda: (
                "did not start" in ask(one, ControlRequest("f", 6, next(seq)))[1].gateways["g1"].last_error
            )
        )
    with daemon(tmp_path) as again:
        seq = count(1)
        state = eventually(
            lambda: (told := ask(again, ControlRequest("f", 6, next(seq))))[0] == 200 and told[1]
        )
        assert ask(again, ControlRequest("f", 5, 99, 0))[0] == 409
        assert state.gateways["g1"].desired_release == digest


def test_one_whose_disk_lost_the_token_learns_it_from_keepers_before_any_order(
    tmp_path: pathlib.Path,
) -> None:
    shown = LeaseStatus(LEADER_LEASE, "p", 9, 3, 5.0, LeaseValue())
    with daemon(tmp_path, QuorumRead(False, {LEADER_LEASE: shown})) as one:
        status, why = ask(one, ControlRequest("f", 99, 1))
        assert status == 409 and "keepers have not told" in why
    with daemon(tmp_path, QuorumRead(True, {LEADER_LEASE: shown})) as one:
        eventually(lambda: ask(one, ControlRequest("f", 9, 1))[0] == 200)
        assert ask(one, ControlRequest("f", 8, 9)) == (409, "token 8 is older than 9")


def test_one_that_returns_to_a_rollout_that_goes_back_begins_with_the_old_release(
    tmp_path: pathlib.Path,
) -> None:
    root = tmp_path / "releases"
    old = read_release(made.make(root, "old", "does not start")).release.digest
    new = read_release(made.make(root, "new", "does not start")).release.digest
    DesiredStateFile(str(tmp_path / "state"), "f", "d1").write(DesiredState("f", "d1", 3, {"g1": new}))
    with daemon(tmp_path, replacements=lambda reading: {new: old}) as one:
        eventually(lambda: ask(one, ControlRequest("f", 4, 1))[0] == 200)
        state = eventually(lambda: ask(one, ControlRequest("f", 5, 1))[1])
        assert state.gateways["g1"].desired_release == old
    kept = DesiredStateFile(str(tmp_path / "state"), "f", "d1").read()
    assert kept is not None and kept.releases == {"g1": old}


# ---- what keepers show


def test_a_reading_believes_no_minority_and_takes_the_newest_value() -> None:
    def line(token: int, left_s: float, count: int) -> LeaseReport:
        return LeaseReport(LEADER_LEASE, f"p{token}", token, left_s, LeaseValue(token, count, b"%d" % count))

    told = {"k0": [line(4, 3.0, 1)], "k1": [line(4, 2.0, 2)]}
    reading = merge_lease_reports(told, 3, {"k2": "silent"})
    shown = reading.leases[LEADER_LEASE]
    assert (
        reading.has_majority
        and shown.holder == "p4"
        and shown.remaining_s == 2.0
        and shown.value.content == b"2"
    )
    reading = merge_lease_reports({"k0": [line(5, 3.0, 1)], "k1": [line(4, 2.0, 2)]}, 3, {})
    assert reading.leases[LEADER_LEASE].holder == "" and reading.leases[LEADER_LEASE].token == 5
    assert not merge_lease_reports({"k0": [line(5, 3.0, 1)]}, 3, {}).has_majority


# ---- the fleet's file


def fleet(tmp_path: pathlib.Path, *daemons: dict[str, Any]) -> str:
    path = tmp_path / "fleet.json5"
    keepers = [{"name": f"k{n}", "address": f"127.0.0.1:{9101 + n}"} for n in range(3)]
    path.write_text(json.dumps({"fleet": "f", "keepers": keepers, "daemons": daemons}))
    return str(path)


def entry(
    name: str = "d1", address: str = "127.0.0.1:9201", gateway: str = "g1", listen: str = "127.0.0.1:9000"
) -> dict[str, Any]:
    gateways = [{"name": gateway, "listen": listen, "config": "x.json5"}]
    return {"name": name, "address": address, "releases": "r", "state_directory": "s", "gateways": gateways}


@pytest.mark.parametrize(
    ("daemons", "wanted"),
    [
        ([entry(address="8.8.8.8:9201")], "8.8.8.8 is no private address"),
        ([entry(address="example.com:9201")], "no private address"),
        ([entry(address="127.0.0.1:9101")], "is that of a keeper too"),
        ([entry(), entry(name="d2", address="127.0.0.1:9202")], "gateway 'g1' stands twice"),
        ([entry(), entry(gateway="g2", address="127.0.0.1:9202")], "the name stands twice"),
        ([entry(), entry(name="d2", address="127.0.0.1:9202", gateway="g2")], "is that of d1.g1 too"),
    ],
)  # fmt: skip
def test_a_fleet_s_file_with_daemons_that_can_not_be_is_refused(
    tmp_path: pathlib.Path, daemons: list[dict[str, Any]], wanted: str
) -> None:
    with pytest.raises(ConfigError, match=wanted):
        load_fleet(fleet(tmp_path, *daemons))


def test_a_sound_one_tells_each_gateway_s_daemon(tmp_path: pathlib.Path) -> None:
    two = entry("d2", "10.0.0.2:9201", "g2", "10.0.0.2:9000")
    assert load_fleet(fleet(tmp_path, entry(), two)).daemon_of() == {"g1": "d1", "g2": "d2"}
