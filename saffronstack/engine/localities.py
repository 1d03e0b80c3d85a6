"""Numbers of zones and cells. The router compares numbers; configurations and stored data contain names."""

from __future__ import annotations

import threading
from collections.abc import Iterable


class NameNumbers:
    """Assigns a number to each name; it never changes while the process runs. Thread-safe."""

    def __init__(self, names: Iterable[str] = ()) -> None:
        """Number ``names`` from 0 on."""
        self._lock = threading.Lock()  # held while a new name is added
        self._names: list[str] = []
        self._number_by_name: dict[str, int] = {}
        for name in names:
            self.number_of(name)

    def number_of(self, name: str) -> int:
        """Return the number of a name, assigning the next one to a new name."""
        with self._lock:
            number = self._number_by_name.setdefault(name, len(self._names))
            if number == len(self._names):
                self._names.append(name)
            return number

    def name_of(self, number: int) -> str:
        """Return the name with this number; empty if there is none."""
        return self._names[number] if 0 <= number < len(self._names) else ""


class LocalityNumbers:
    """Numbers of the zones and cells of a gateway's workers.

    Attributes:
        zones: Numbers of zones.
        cells: Numbers of cells.
    """

    def __init__(self, zones: Iterable[str] = (), cells: Iterable[str] = ()) -> None:
        """Number these names first, in their order."""
        self.zones = NameNumbers(zones)
        self.cells = NameNumbers(cells)
