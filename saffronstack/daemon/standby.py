"""The wait of a prepared gateway process until it may serve.

A daemon writes lines to the process's standard input: ``go`` lets it serve; ``after PID`` lets it serve once
that process has ended. From ``after`` on the process needs no daemon: one that is stopped, slow or gone does
not keep callers waiting in the listening socket's queue.
"""

from __future__ import annotations

import os
import select

POLL_TIMEOUT_MS = 1000
_READ_BYTES = 1024
_GO, _AFTER = b"go", b"after"


def wait_until_allowed(commands: int) -> bool:
    """Wait until this process may serve.

    Args:
        commands: Descriptor of the pipe on which the daemon writes.

    Returns:
        False if the daemon has gone before it said so; this process should end then.
    """
    return _Standby(commands).wait()


class _Standby:
    """What was read of the commands, and the predecessor that they named."""

    def __init__(self, commands: int) -> None:
        self._commands = commands
        self._unread = b""  # of a line that has not come whole
        self._predecessor: int | None = None  # its pidfd
        self._poll = select.poll()
        self._poll.register(commands, select.POLLIN)

    def wait(self) -> bool:
        """Wait; whether this process may serve."""
        try:
            while True:
                ready = {descriptor for descriptor, _ in self._poll.poll(POLL_TIMEOUT_MS)}
                if self._predecessor in ready:
                    return True
                if self._commands in ready:
                    may_serve = self._read_commands()
                    if may_serve is not None:
                        return may_serve
        finally:
            if self._predecessor is not None:
                os.close(self._predecessor)

    def _read_commands(self) -> bool | None:
        """Read what has come; whether this process may serve, None where it is to wait on."""
        received = os.read(self._commands, _READ_BYTES)
        if not received:
            return self._handle_end_of_commands()
        *lines, self._unread = (self._unread + received).split(b"\n")
        for line in lines:
            words = line.split()
            if words == [_GO]:
                return True
            if (
                len(words) == 2
                and words[0] == _AFTER
                and words[1].isdigit()
                and not self._watch(int(words[1]))
            ):
                return True
        return None

    def _handle_end_of_commands(self) -> bool | None:
        """The daemon is gone: go on to wait for the predecessor, if there is one."""
        if self._predecessor is None:
            return False
        self._poll.unregister(self._commands)
        return None

    def _watch(self, pid: int) -> bool:
        """Wait for the end of that process too; False if it has ended."""
        try:
            self._predecessor = os.pidfd_open(pid)
        except ProcessLookupError:
            return False
        self._poll.register(self._predecessor, select.POLLIN)
        return True
