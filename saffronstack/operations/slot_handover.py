"""Taking a slot's operations over from its earlier holders' notes and ledgers, and leaving them to the
next."""

from __future__ import annotations

import pathlib
from collections.abc import Callable

from saffronstack.durable.journal import JournalError, read_back
from saffronstack.operations import operation_log as records
from saffronstack.operations.operation_log import Notes
from saffronstack.operations.operation_service import Operations
from saffronstack.operations.operation_table import unpack
from saffronstack.operations.slot_assignment import slot_of
from saffronstack.operations.slot_manager import Home, SlotKeeper

COMMIT_S = 10.0
TRIES = 5


class Keeper(SlotKeeper):
    """Between the slots' thread and the operations in service."""

    def __init__(
        self,
        operations: Operations,
        own_notes: str,
        ledger_names: Callable[[pathlib.Path], list[tuple[bytes, bytes]]],
    ) -> None:
        """``own_notes``: this member's directory, which is its own to read. ``ledger_names`` reads what
        deferred calls in a ledger are named, with what repeats are answered."""
        self._operations = operations
        self._own_notes = own_notes
        self._ledger_names = ledger_names

    def take_over(self, slots: frozenset[int], homes: list[Home], memory: list[tuple[bytes, bytes]]) -> None:
        """JournalError or OSError where an earlier holder's notes can't be read, or this one's not
        written."""
        operations = self._operations
        known: dict[bytes, bytes] = {}
        for home in homes:
            if home.notes == self._own_notes and operations.notes is not None:
                known.update(operations.notes.state.known())
            elif home.notes:
                known.update(_steadily(pathlib.Path(home.notes)))
            if home.ledger:
                known.update(self._ledger_names(pathlib.Path(home.ledger)))
        known.update(memory)
        now = operations.now()
        mine = [(d, p) for d, p in known.items() if slot_of(d) in slots and unpack(p).until > now]
        if operations.notes is not None and mine:
            ticket = operations.notes.append(*(records.Ended(d, p, unpack(p).until) for d, p in mine))
            if not ticket.done.wait(COMMIT_S) or not ticket.durable:
                raise JournalError("notes taken over can't be written")
        operations.restore(mine)

    def give_up(self, slots: frozenset[int]) -> dict[int, list[tuple[bytes, bytes]]]:
        """Those of which nothing is under way."""
        operations = self._operations
        idle = frozenset(slot for slot in slots if not operations.open_in(slot))
        if idle and operations.notes is not None:
            ticket = operations.notes.append(records.Expired(0.0))  # behind all that was noted
            if not ticket.done.wait(COMMIT_S) or not ticket.durable:
                return {}
        left: dict[int, list[tuple[bytes, bytes]]] = {slot: [] for slot in idle}
        for digest, packed in operations.forget(idle):
            left[slot_of(digest)].append((digest, packed))
        return left


def _steadily(directory: pathlib.Path) -> list[tuple[bytes, bytes]]:
    """What a member noted. One that lives may compact its log meanwhile: then it is read anew."""
    for left in reversed(range(TRIES)):
        notes = Notes()
        try:
            if directory.is_dir():
                read_back(directory, notes, records.CODEC)
            return list(notes.known())
        except JournalError as error:
            if not left or not isinstance(error.__cause__, FileNotFoundError):
                raise
    return []
