"""Keeps a standby process, a prepared gateway, waiting until it may serve.

The daemon writes lines to the process's standard input: ``go`` lets it serve; ``after PID`` lets it serve
once the process with that id has exited. From ``after`` on, the standby process does not need the daemon: one
that is stopped, slow or gone does not keep clients waiting in the accept queue.
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
        commands: File descriptor of the pipe to which the daemon writes.

    Returns:
        True if this process may serve. False if the daemon exited before it allowed that; this process should
        then exit too.
    """
    return _Standby(commands).wait()


class _Standby:
    """Reads the daemon's commands and watches the predecessor that they name."""

    def __init__(self, commands: int) -> None:
        self._commands = commands
        self._unread = b""  # beginning of an incomplete line
        self._predecessor: int | None = None  # pidfd of the process to wait for
        self._poll = select.poll()
        self._poll.register(commands, select.POLLIN)

    def wait(self) -> bool:
        """Wait for a decision; return whether this process may serve."""
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
        """Read the received commands; return whether this process may serve, or None to keep waiting."""
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
        """Handle the exit of the daemon: keep waiting (None) for a predecessor, else give up (False)."""
        if self._predecessor is None:
            return False
        self._poll.unregister(self._commands)
        return None

    def _watch(self, pid: int) -> bool:
        """Wait for the exit of the process ``pid`` too; return False if it has already exited."""
        try:
            self._predecessor = os.pidfd_open(pid)
        except ProcessLookupError:
            return False
        self._poll.register(self._predecessor, select.POLLIN)
        return True
