"""The home of a gateway's ledger in a shared directory: who may write it, by token, and where.

Each holder of the gateway's lease works in a place of its own. It first puts up a *fence* with its token,
durably, and then copies what the one before had written. A holder looks for a greater fence after each sync
and before it lets anyone know of what it wrote: so whatever it did let know of, the copy has, and what it
writes later nobody reads. That holds while a file made on one machine is seen at once on the others."""

from __future__ import annotations

import errno
import os
import pathlib
import re
import shutil

from saffronstack.durable.segments import Files

FENCE = re.compile(r"fence-(\d{20})")
COPIED = "*.seg"


class LedgerDirectory:
    """The directory of one gateway."""

    def __init__(self, directory: str) -> None:
        self.directory = pathlib.Path(directory)

    def enter(self, token: int) -> pathlib.Path:
        """Become the one that writes: the place to write in. OSError, so under a greater fence."""
        self.directory.mkdir(parents=True, exist_ok=True)
        if self.above(token):
            raise PermissionError(errno.ESTALE, f"{self.directory}: a later holder has entered already")
        before = self._place_before(token)
        place = self._place(token)
        fence = self.directory / f"fence-{token:020d}"
        descriptor = os.open(fence, os.O_WRONLY | os.O_CREAT, 0o600)
        os.close(descriptor)
        self._sync()
        if place.is_dir():
            return place
        partial = place.with_suffix(".new")
        shutil.rmtree(partial, ignore_errors=True)
        partial.mkdir()
        if before is not None:
            for path in sorted(before.glob(COPIED)):
                with open(shutil.copy2(path, partial / path.name), "rb") as copied:
                    os.fsync(copied.fileno())
        os.replace(partial, place)
        self._sync()
        return place

    def leave(self, token: int) -> None:
        """All is written and nothing of it under way: nobody needs to take this over."""
        (self.directory / f"left-{token:020d}").touch()
        self._sync()

    def above(self, token: int) -> bool:
        """Whether a later holder has entered."""
        return any(other > token for other in self._fences())

    def abandoned(self) -> bool:
        """Whether its last holder has not left in order, so that calls may be open with nobody at them."""
        last = max(self._fences(), default=None)
        return last is not None and not (self.directory / f"left-{last:020d}").exists()

    def sweep(self) -> int:
        """Remove places and fences of holders before the last one that has its place; how many."""
        removed = 0
        fences = sorted(self._fences())
        last = next((token for token in reversed(fences) if self._place(token).is_dir()), None)
        for token in fences:
            if last is not None and token < last:
                shutil.rmtree(self._place(token), ignore_errors=True)
                (self.directory / f"left-{token:020d}").unlink(missing_ok=True)
                removed += 1
        return removed

    def place(self) -> pathlib.Path | None:
        """Where the last holder wrote; None before the first."""
        fences = sorted(self._fences(), reverse=True)
        return next((place for token in fences if (place := self._place(token)).is_dir()), None)

    def _place(self, token: int) -> pathlib.Path:
        return self.directory / f"place-{token:020d}"

    def _place_before(self, token: int) -> pathlib.Path | None:
        """Where the newest state is: a holder that died between fence and copy has none of its own."""
        earlier = sorted((other for other in self._fences() if other < token), reverse=True)
        for other in earlier:
            if self._place(other).is_dir():
                return self._place(other)
        return self.directory if any(self.directory.glob(COPIED)) else None

    def _fences(self) -> list[int]:
        matches = [FENCE.fullmatch(entry.name) for entry in os.scandir(self.directory)]
        return [int(match[1]) for match in matches if match]

    def _sync(self) -> None:
        descriptor = os.open(self.directory, os.O_RDONLY)
        try:
            os.fsync(descriptor)
        finally:
            os.close(descriptor)


class FencedFiles(Files):
    """File operations of one holder: under a greater fence a sync fails, and what was written is nobody's."""

    def __init__(self, home: LedgerDirectory, token: int) -> None:
        self._home, self._token = home, token

    def sync(self, descriptor: int) -> None:
        """On the disk, and still this holder's to write. OSError (ESTALE) where it is not."""
        super().sync(descriptor)
        if self._home.above(self._token):
            raise OSError(errno.ESTALE, f"{self._home.directory}: taken over by a later holder")
