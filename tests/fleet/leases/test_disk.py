"""The state files of a lease server, and lease servers with a stalled or full disk."""

from __future__ import annotations

import errno
import pathlib
import threading
import time

import pytest
from structlog.testing import capture_logs

from saffronstack.durable.file_operations import FileOperations
from saffronstack.fleet.leases.acceptor_service import AcceptorService
from saffronstack.fleet.leases.disk import COPIES, AcceptorDisk
from saffronstack.fleet.leases.errors import ForeignStateError
from saffronstack.fleet.leases.limits import LeaseLimits
from saffronstack.fleet.leases.messages import (
    AcceptorRecord,
    AcceptorState,
    AcceptRequest,
    CatchUpResponse,
    DiskState,
    LeaseValue,
    PrepareRequest,
    PrepareResponse,
)
from tests.support.lease_servers import NAMES, acceptor_disk
from tests.support.stack import eventually

LIMITS = LeaseLimits(NAMES, max_lease_s=0.6)
STATE = AcceptorState(
    (AcceptorRecord("l", 7, "a", 7, "a", 5.0, 6, LeaseValue(7, 2, b"x")),), 41, (("k1", 9),)
)


def test_a_saved_state_is_loaded_and_an_empty_directory_is_lost_not_new(tmp_path: pathlib.Path) -> None:
    assert acceptor_disk(tmp_path / "none").load().disk_state is DiskState.LOST
    disk = acceptor_disk(tmp_path / "k")
    disk.establish()
    assert disk.load().disk_state is DiskState.INTACT
    assert disk.load().state == AcceptorState()
    with pytest.raises(FileExistsError, match="there is a keeper's state here"):
        disk.establish()
    disk.save(STATE)
    assert acceptor_disk(tmp_path / "k").load().state == STATE


def test_the_other_copy_survives_each_flipped_bit_and_each_truncation(tmp_path: pathlib.Path) -> None:
    disk = acceptor_disk(tmp_path)
    disk.save(AcceptorState(last_write=40))
    disk.save(STATE)
    for name in COPIES:
        good = (tmp_path / name).read_bytes()
        for index in range(len(good)):
            bad = bytearray(good)
            bad[index] ^= 1 << index % 8
            (tmp_path / name).write_bytes(bad)
            assert disk.load().state == STATE
            assert len(disk.load().warnings) == 1
            (tmp_path / name).write_bytes(good[:index])
            assert disk.load().state == STATE
        (tmp_path / name).write_bytes(good)


def test_a_state_is_lost_with_both_copies_damaged_or_swapped(tmp_path: pathlib.Path) -> None:
    disk = acceptor_disk(tmp_path)
    disk.save(STATE)
    first, second = ((tmp_path / name).read_bytes() for name in COPIES)
    (tmp_path / COPIES[0]).write_bytes(second)
    (tmp_path / COPIES[1]).write_bytes(first)
    loaded = disk.load()
    assert loaded.disk_state is DiskState.LOST
    assert any("in the place of" in line for line in loaded.warnings)
    for name in COPIES:
        (tmp_path / name).write_bytes(b"")
    assert disk.load().disk_state is DiskState.LOST


class FilesFailingAfter(FileOperations):
    """Fails after a number of operations; the write at that point is partial."""

    def __init__(self, steps: int) -> None:
        self.remaining = steps

    def _step(self) -> None:
        self.remaining -= 1
        if self.remaining < 0:
            raise OSError(errno.EIO, "simulated power loss")

    def write(self, descriptor: int, data: bytes) -> None:
        if self.remaining == 0:
            super().write(descriptor, data[: len(data) // 2])
        self._step()
        super().write(descriptor, data)

    def sync(self, descriptor: int) -> None:
        self._step()
        super().sync(descriptor)

    def sync_directory(self, directory: pathlib.Path) -> None:
        self._step()
        super().sync_directory(directory)


def test_a_save_interrupted_at_any_step_leaves_the_new_or_the_old_state(tmp_path: pathlib.Path) -> None:
    before = AcceptorState(last_write=40)
    outcomes = set()
    for steps in range(12):
        directory = tmp_path / str(steps)
        acceptor_disk(directory).establish()
        acceptor_disk(directory).save(before)
        try:
            acceptor_disk(directory, FilesFailingAfter(steps)).save(STATE)
            is_saved = True
        except OSError:
            is_saved = False
        loaded = acceptor_disk(directory).load()
        assert loaded.disk_state is DiskState.INTACT
        assert loaded.state == STATE if is_saved else loaded.state in (STATE, before)
        outcomes.add((is_saved, loaded.state.last_write))
    assert outcomes == {(False, 40), (False, 41), (True, 41)}


def test_the_state_of_another_server_or_fleet_or_set_of_servers_is_rejected(tmp_path: pathlib.Path) -> None:
    acceptor_disk(tmp_path).save(STATE)
    with pytest.raises(ForeignStateError, match="keeper 'k0', not of 'k1'"):
        acceptor_disk(tmp_path, server="k1").load()
    with pytest.raises(ForeignStateError, match="fleet 'f', not of 'g'"):
        acceptor_disk(tmp_path, fleet="g").load()
    with pytest.raises(ForeignStateError, match="replaced under its own name"):
        AcceptorDisk(str(tmp_path), "f", "k0", ("k0", "k1", "k2", "k3", "k4")).load()


class StallingFiles(FileOperations):
    """A disk whose syncs block while `is_open` is clear, and whose opens fail while `is_full` is set."""

    def __init__(self) -> None:
        self.is_open = threading.Event()
        self.is_open.set()
        self.is_full = False
        self.stall_began = threading.Event()

    def open(self, path: pathlib.Path) -> int:
        if self.is_full:
            raise OSError(errno.ENOSPC, "no space")
        return super().open(path)

    def sync(self, descriptor: int) -> None:
        if not self.is_open.is_set():
            self.stall_began.set()
        self.is_open.wait(20.0)
        super().sync(descriptor)


def voting_service(tmp_path: pathlib.Path, files: StallingFiles) -> AcceptorService:
    disk = acceptor_disk(tmp_path, files)
    disk.save(AcceptorState(last_write=3))
    service = AcceptorService("k0", LIMITS, disk, 5, time.monotonic, lambda to, message: None)
    service.start()

    def can_vote() -> bool:
        for server in NAMES[1:]:
            service.handle_responses(server, (CatchUpResponse(server, 5, True, 0),))
        return service.status().can_vote

    eventually(can_vote)
    eventually(lambda: service.status().persisted_write == service.status().last_write)
    return service


def test_a_server_with_a_stalled_disk_is_silent_and_answers_only_what_is_persisted(
    tmp_path: pathlib.Path,
) -> None:
    files = StallingFiles()
    service = voting_service(tmp_path, files)
    files.is_open.clear()
    assert service.handle_request("a", (PrepareRequest("l", "a", 1),), 0.05) == []
    # A response to a request that changes nothing must wait too, because it depends on the unsaved state of
    # the same lease. Responses about other leases need not wait.
    assert service.handle_request("b", (PrepareRequest("l", "b", 1),), 0.05) == []
    assert service.handle_request("b", (AcceptRequest("other", "b", 1, 1, 0.5),), 0.05)
    before = acceptor_disk(tmp_path).load().state
    files.is_open.set()
    eventually(lambda: service.status().persisted_write == service.status().last_write)
    assert acceptor_disk(tmp_path).load().state.last_write > before.last_write
    responses = service.handle_request("a", (PrepareRequest("l", "a", 1),), 5.0)
    assert isinstance(responses[0], PrepareResponse)
    assert responses[0].is_promised
    service.stop()


def test_a_server_with_a_full_disk_is_silent_until_there_is_space(tmp_path: pathlib.Path) -> None:
    files = StallingFiles()
    service = voting_service(tmp_path, files)
    files.is_full = True
    assert service.handle_request("a", (PrepareRequest("l", "a", 1),), 0.05) == []
    eventually(lambda: "no space" in service.status().disk_error)
    files.is_full = False
    eventually(lambda: service.status().disk_error == "")
    assert service.handle_request("a", (PrepareRequest("l", "a", 1),), 5.0)
    service.stop()


class SlowSyncFiles(StallingFiles):
    """A disk whose sync lasts until the stop has returned, half a second at most."""

    def __init__(self) -> None:
        super().__init__()
        self.is_slow = False
        self.sync_began, self.has_stopped = threading.Event(), threading.Event()

    def sync(self, descriptor: int) -> None:
        if self.is_slow:
            self.sync_began.set()
            self.has_stopped.wait(0.5)
        super().sync(descriptor)


def test_stop_waits_for_the_write_in_progress(tmp_path: pathlib.Path) -> None:
    """Guards against a write that changes the state files after the directory's next server has started."""
    files = SlowSyncFiles()
    service = voting_service(tmp_path, files)
    files.is_slow = True
    assert service.handle_request("a", (PrepareRequest("l", "a", 1),), 0.01) == []
    assert files.sync_began.wait(20.0)
    service.stop()
    first, second = ((tmp_path / name).stat().st_mtime_ns for name in COPIES)
    files.has_stopped.set()
    newest = acceptor_disk(tmp_path).load().state
    assert newest.records
    assert newest.last_write == service.status().persisted_write
    assert first <= second, "the second copy was not written when the stop returned"


def test_stop_leaves_a_stalled_disk_alone_after_its_timeout(tmp_path: pathlib.Path) -> None:
    files = StallingFiles()
    service = voting_service(tmp_path, files)
    files.is_open.clear()
    assert service.handle_request("a", (PrepareRequest("l", "a", 1),), 0.01) == []
    assert files.stall_began.wait(20.0)
    with capture_logs() as logs:
        service.stop(timeout_s=0.05)
    files.is_open.set()
    assert any(entry["event"] == "lease server stopped during a state write" for entry in logs)
