"""The thread that looks whether another gateway has taken over the ledger of this one."""

from __future__ import annotations

import errno
import json
import pathlib

from saffronstack import config as configs
from saffronstack.cli.ledger_ownership import LedgerOwnership
from saffronstack.fleet.tasks.ledger_directory import LedgerDirectory
from saffronstack.standin.fleet import sample_config


class UnreadableDirectory(LedgerDirectory):
    """A directory whose file system fails some times, and then shows a later owner."""

    failures = 0

    def has_later_owner(self, token: int) -> bool:
        if self.failures:
            self.failures -= 1
            if not self.failures:
                LedgerDirectory(str(self.directory)).take_ownership(token + 1)
            raise OSError(errno.ESTALE, "Stale file handle")
        return super().has_later_owner(token)


def test_a_directory_that_cannot_be_read_for_a_while_is_looked_at_again(tmp_path: pathlib.Path) -> None:
    """Guards against a gateway that never learns of the later owner, as its thread ended with the error."""
    directory = UnreadableDirectory(str(tmp_path / "ledger"))
    config = configs.parse(json.dumps(sample_config([], "127.0.0.1:0", str(tmp_path / "ledger"))))
    ownership = LedgerOwnership(directory, 1, config, None, None)
    directory.failures = 2
    losses: list[bool] = []
    ownership.watch(lambda: losses.append(ownership.is_lost))
    assert losses == [True]
    ownership.close(is_clean=True)
    assert directory.is_orphaned()
