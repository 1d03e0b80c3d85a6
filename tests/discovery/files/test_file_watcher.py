"""The watch of a worker file whose path can't be resolved for a while."""

from __future__ import annotations

import os
import pathlib
import threading

import pytest

from saffronstack.discovery.files.file_watcher import FileWatcher

TEST_TIMEOUT_S = 10.0  # maximum wait; a passing test does not reach it


@pytest.mark.parametrize("starts_with_loop", [True, False])
def test_a_loop_of_symbolic_links_does_not_end_the_watch(
    tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch, starts_with_loop: bool
) -> None:
    path, other = tmp_path / "workers.json5", tmp_path / "other.json5"
    target = tmp_path / "target.json5"
    target.write_text("{}")
    loops_seen, has_event = threading.Semaphore(0), threading.Event()
    resolve = pathlib.Path.resolve

    def resolve_and_tell(self: pathlib.Path, strict: bool = False) -> pathlib.Path:
        try:
            return resolve(self, strict)
        except RuntimeError:
            loops_seen.release()
            raise

    def link(to: pathlib.Path) -> None:
        temporary_path = tmp_path / "new"
        temporary_path.symlink_to(to)
        os.replace(temporary_path, path)

    monkeypatch.setattr(pathlib.Path, "resolve", resolve_and_tell)
    other.symlink_to(path)
    link(other if starts_with_loop else target)
    watcher = FileWatcher(path, has_event.set)
    watcher.start()
    if not starts_with_loop:
        assert has_event.wait(TEST_TIMEOUT_S)
        link(other)
    for _ in range(2):  # the second time after the first one's delay
        assert loops_seen.acquire(timeout=TEST_TIMEOUT_S)
    has_event.clear()
    link(target)
    assert has_event.wait(TEST_TIMEOUT_S)
    watcher.stop()
