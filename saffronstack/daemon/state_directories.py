"""Where each process of a gateway keeps its state, such as its ledger.

``process-N`` is a name on disk. The first process uses the gateway's own directory, so that a gateway of one
process can become one of several.
"""

from __future__ import annotations

import contextlib
import pathlib

_PREFIX = "process-"


def process_directory(directory: str, index: int) -> str:
    """Return the state directory of the process with the given index, within the gateway's."""
    return directory if index == 0 else str(pathlib.Path(directory) / f"{_PREFIX}{index}")


def find_stranded_ledgers(directory: str, count: int) -> list[str]:
    """Find ledgers that none of ``count`` processes would open, and that may hold open deferred calls.

    Args:
        directory: The gateway's ledger directory; it need not exist.
        count: How many processes are to be started.

    Returns:
        Their directories, sorted.
    """
    stranded: list[str] = []
    with contextlib.suppress(OSError):  # no directory: no gateway has run here yet
        for path in sorted(pathlib.Path(directory).glob(f"{_PREFIX}*")):
            index = path.name.removeprefix(_PREFIX)
            if index.isdigit() and int(index) >= count and any(path.glob("*.seg")):
                stranded.append(str(path))
    return stranded
