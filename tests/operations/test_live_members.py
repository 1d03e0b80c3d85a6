"""Tests that a member is live while its process holds the lock on its file."""

from __future__ import annotations

import pathlib

import pytest

from saffronstack.operations.live_members import LiveMembers, Peer


def members(directory: pathlib.Path, name: str) -> LiveMembers:
    return LiveMembers(directory, name, lambda: f"host:{name}")


def test_a_member_is_live_while_it_holds_its_lock(tmp_path: pathlib.Path) -> None:
    first, second = members(tmp_path, "1"), members(tmp_path, "2")
    first.announce()
    second.announce()
    assert first.poll() == {"1": Peer("1", "host:1"), "2": Peer("2", "host:2")}
    second.close()
    assert first.poll() == {"1": Peer("1", "host:1")}
    first.close()


def test_a_member_that_lives_can_not_be_announced_again(tmp_path: pathlib.Path) -> None:
    first = members(tmp_path, "1")
    first.announce()
    with pytest.raises(BlockingIOError):
        members(tmp_path, "1").announce()
    first.close()
