"""What a lying disk does to a keeper's state between two lives."""

from __future__ import annotations

import os
import pathlib
import random
import shutil
from collections.abc import Sequence

from saffronstack.fleet.leases.disk import COPIES


def damage(state: pathlib.Path, how: str, chance: random.Random, snapshots: Sequence[pathlib.Path]) -> None:
    """Leave in the directory ``state`` what such a disk shows; ``snapshots`` are earlier states of it."""
    copies = [path for name in COPIES if (path := state / name).exists()]
    if how == "old" and snapshots:
        shutil.rmtree(state)
        shutil.copytree(chance.choice(snapshots), state)
    elif how == "gone":
        shutil.rmtree(state)
    elif how == "flip one copy":
        _flip(chance.choice(copies), chance)
    elif how == "flip both copies":
        for path in copies:
            _flip(path, chance)
    elif how == "cut one copy":
        path = chance.choice(copies)
        os.truncate(path, chance.randrange(path.stat().st_size))
    elif how == "swap copies" and len(copies) == len(COPIES):
        first, second = (path.read_bytes() for path in copies)
        copies[0].write_bytes(second)
        copies[1].write_bytes(first)


def _flip(path: pathlib.Path, chance: random.Random) -> None:
    data = bytearray(path.read_bytes())
    data[chance.randrange(len(data))] ^= 1 << chance.randrange(8)
    path.write_bytes(data)
