"""Tests of the service, which each test polls step by step with a manual clock."""

from __future__ import annotations

import os
import pathlib

import msgspec

from tests.discovery.files.support import SteppedDiscovery, entry, file_text, write_directory


def test_the_last_good_list_is_kept_across_errors_and_a_restart(
    discovery: SteppedDiscovery, tmp_path: pathlib.Path
) -> None:
    assert set(discovery.start()) == {"w50"}  # from the configuration, until a version of the file is applied
    discovery.replace_file(file_text(entry("w1"), entry("w2")))
    assert set(discovery.poll()) == {"w1", "w2"}
    discovery.replace_file('{"workers": [')
    discovery.poll()
    assert discovery.status.rejection == ""  # the writer may not have finished
    discovery.poll(0.3)
    assert "roster.json5:1: not JSON5" in discovery.status.rejection
    discovery.poll(5.0)
    assert discovery.status.counts.rejected == 1
    discovery.path.unlink()
    discovery.poll()
    discovery.poll(6.0)
    assert "no such file; not ready for 5 s" in discovery.status.rejection
    assert set(discovery.workers) == {"w1", "w2"}
    assert set(discovery.restart()) == {
        "w1",
        "w2",
    }  # as after a kill at any time
    assert discovery.status.is_from_stored_copy
    discovery.replace_file(file_text(entry("w1"), entry("w2"), entry("w3")))
    assert set(discovery.poll()) == {"w1", "w2", "w3"}
    assert not discovery.status.is_from_stored_copy
    newest = max((tmp_path / "state" / "versions").iterdir())
    newest.write_bytes(newest.read_bytes()[:-4])
    discovery.path.unlink()
    assert set(discovery.restart()) == {"w1", "w2"}  # the copy before the damaged copy


def test_drains_of_a_version_that_waits_for_approval_are_applied(discovery: SteppedDiscovery) -> None:
    eight = [entry(f"w{number}") for number in range(1, 9)]
    discovery.replace_file(file_text(*eight, generation=1))
    discovery.start()
    discovery.replace_file(file_text(entry("w1"), entry("w2", state="draining"), generation=2))
    discovery.poll()
    status = discovery.status
    assert "6 of 8 ready workers would be removed" in status.pending_reason
    assert len(discovery.workers) == 8
    assert discovery.workers["w2"].state == "draining"
    discovery.state.set_override("accept", "0" * 32)
    assert len(discovery.poll()) == 8
    discovery.state.set_override("accept", status.pending_digest)
    assert set(discovery.poll()) == {"w1", "w2"}
    assert discovery.status.pending_reason == ""
    assert discovery.state.approved_digest() == ""
    discovery.replace_file(file_text(*eight, generation=1))
    discovery.poll()
    assert "generation 1 is older than 2" in discovery.status.pending_reason


def test_operators_drain_workers(discovery: SteppedDiscovery) -> None:
    discovery.replace_file(file_text(entry("w1"), entry("w2"), generation=1))
    discovery.start()
    discovery.state.set_override("drains", "w2")
    assert str(discovery.poll()["w2"].state) == "draining"
    discovery.state.set_override("drains", "")
    assert str(discovery.poll()["w2"].state) == "ready"


def test_operators_pin_a_stored_version(discovery: SteppedDiscovery) -> None:
    discovery.replace_file(file_text(entry("w1"), entry("w2"), generation=1))
    discovery.start()
    discovery.replace_file(file_text(entry("w1"), entry("w2"), entry("w3"), generation=2))
    assert len(discovery.poll()) == 3
    history = discovery.state.stored_versions()
    assert [stored.version.generation for stored in history] == [1, 2]
    discovery.state.set_override("pinned", history[0].version.digest)
    assert set(discovery.poll()) == {"w1", "w2"}
    discovery.replace_file(file_text(entry("w9"), generation=3))
    assert set(discovery.poll()) == {"w1", "w2"}
    discovery.state.set_override("pinned", "nonsense")
    discovery.poll()
    discovery.poll(1.0)
    assert "no stored version" in discovery.status.rejection
    discovery.state.set_override("pinned", "")
    discovery.replace_file(file_text(entry("w1"), entry("w4"), generation=4))
    assert set(discovery.poll()) == {"w1", "w4"}


def test_a_restarted_worker_is_one_change(discovery: SteppedDiscovery) -> None:
    discovery.replace_file(file_text(entry("w1"), entry("w2")))
    discovery.start()
    discovery.replace_file(file_text(entry("w1", started_at=900.0), entry("w2")))
    discovery.poll()
    assert [updated.id for updated in discovery.changes[-1].updated] == ["w1"]
    assert discovery.workers["w1"].started_at == 900.0


def test_a_flapping_worker_drains_until_it_is_stable(discovery: SteppedDiscovery) -> None:
    discovery.replace_file(file_text(entry("w1"), entry("w2")))
    discovery.start()
    for number in range(6):  # w1 is flapping from the fourth change within a minute
        discovery.replace_file(file_text(*([entry("w1")] if number % 2 else []), entry("w2")))
        discovery.poll(1.0)
    assert str(discovery.workers["w1"].state) == "draining"
    discovery.poll(31.0)
    assert str(discovery.workers["w1"].state) == "ready"


def test_a_version_is_replaced_by_a_symbolic_link_and_truncated_in_place(
    discovery: SteppedDiscovery, tmp_path: pathlib.Path
) -> None:
    """The links are as in a Kubernetes ConfigMap volume: ``roster -> ..data -> ..one``."""
    discovery.path = tmp_path / "roster"
    write_directory(tmp_path / "..one", 1, a=file_text(entry("w1")))
    write_directory(tmp_path / "..two", 2, a=file_text(entry("w1"), entry("w2")))
    os.symlink("..one", tmp_path / "..data")
    os.symlink("..data", discovery.path)
    assert set(discovery.restart()) == {"w1"}
    os.symlink("..two", tmp_path / "..data_tmp")
    os.replace(tmp_path / "..data_tmp", tmp_path / "..data")
    assert set(discovery.poll()) == {"w1", "w2"}
    (tmp_path / "..two" / "a.json5").write_text("")
    discovery.poll()
    discovery.poll(6.0)
    assert "digest differs from the manifest of generation" in discovery.status.rejection
    assert set(discovery.workers) == {"w1", "w2"}


def test_the_status_in_json_has_the_same_keys_as_at_0684301(discovery: SteppedDiscovery) -> None:
    discovery.start()
    assert msgspec.json.encode(discovery.status) == (
        b'{"generation":null,"digest":"","workers":1,"draining":0,"from_copy":false,"refused":"","held":"",'
        b'"held_digest":"","conflicts":[],'
        b'"counts":{"applied":0,"refused":0,"held":0,"unready":1,"looks":1}}'
    )


def test_stopping_ends_the_thread(discovery: SteppedDiscovery) -> None:
    discovery.replace_file(file_text(entry("w1")))
    assert set(discovery.service.start(discovery.now)) == {"w1"}
    assert discovery.service.stop()
