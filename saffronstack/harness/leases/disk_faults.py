"""Damage to the stored state of a lease server between two of its incarnations."""

from __future__ import annotations

import os
import pathlib
import random
import shutil
from collections.abc import Sequence

from saffronstack.fleet.leases.disk import COPIES


def damage_disk(
    state_directory: pathlib.Path, fault_kind: str, rng: random.Random, snapshots: Sequence[pathlib.Path]
) -> None:
    """Damage ``state_directory`` by one of `schedule.DISK_FAULTS`; "old" restores one of ``snapshots``."""
    copies = [path for name in COPIES if (path := state_directory / name).exists()]
    if fault_kind == "old" and snapshots:
        shutil.rmtree(state_directory)
        shutil.copytree(rng.choice(snapshots), state_directory)
    elif fault_kind == "gone":
        shutil.rmtree(state_directory)
    elif fault_kind == "flip one copy":
        _flip_bit(rng.choice(copies), rng)
    elif fault_kind == "flip both copies":
        for path in copies:
            _flip_bit(path, rng)
    elif fault_kind == "cut one copy":
        path = rng.choice(copies)
        os.truncate(path, rng.randrange(path.stat().st_size))
    elif fault_kind == "swap copies" and len(copies) == len(COPIES):
        first, second = (path.read_bytes() for path in copies)
        copies[0].write_bytes(second)
        copies[1].write_bytes(first)


def _flip_bit(path: pathlib.Path, rng: random.Random) -> None:
    data = bytearray(path.read_bytes())
    data[rng.randrange(len(data))] ^= 1 << rng.randrange(8)
    path.write_bytes(data)
