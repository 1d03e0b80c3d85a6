"""Names the directory in which each process of a gateway keeps its state, such as its ledger.

``process-N`` is a stored name. The first process uses the gateway's own directory, so that a gateway of one
process can be restarted with several.
"""

from __future__ import annotations

import contextlib
import pathlib

_PREFIX = "process-"


def process_directory(directory: str, index: int) -> str:
    """Return the state directory of the process with this index, inside the gateway's directory."""
    return directory if index == 0 else str(pathlib.Path(directory) / f"{_PREFIX}{index}")


def find_stranded_ledgers(directory: str, count: int) -> list[str]:
    """Find ledgers that none of ``count`` processes would open. They may hold open deferred calls.

    Args:
        directory: Ledger directory of the gateway; it need not exist.
        count: Number of processes to start.

    Returns:
        The directories of these ledgers, sorted.
    """
    stranded: list[str] = []
    with contextlib.suppress(OSError):  # without a directory, no gateway has run here yet
        for path in sorted(pathlib.Path(directory).glob(f"{_PREFIX}*")):
            index = path.name.removeprefix(_PREFIX)
            if index.isdigit() and int(index) >= count and any(path.glob("*.seg")):
                stranded.append(str(path))
    return stranded
