"""Fencing of control requests: which ones a daemon accepts. No I/O.

Requests of an older leader and requests that arrive out of order are rejected. The fencing token is on the
disk before a request counts. The sequence number is not; instead, a request with commands names the
incarnation of the daemon that its sender saw last, so one that was delayed while the daemon was replaced
meets another incarnation and is rejected.
"""

from __future__ import annotations

from dataclasses import dataclass

from saffronstack.fleet.control.errors import (
    OutOfOrderError,
    StaleTokenError,
    TokenLostError,
    WrongIncarnationError,
)


@dataclass(slots=True)
class CommandFence:
    """The fence of one incarnation of a daemon.

    Attributes:
        incarnation: Which incarnation of the daemon this is; a random number greater than 0.
        token: The greatest fencing token that was accepted.
        is_token_lost: Whether the disk has no token and the lease servers have not reported it yet.
        sequence: The last accepted sequence number under ``token``.
    """

    incarnation: int
    token: int = 0
    is_token_lost: bool = False
    sequence: int = 0

    def check(self, token: int, sequence: int, incarnation: int, has_commands: bool) -> None:
        """Check whether a request counts; ``accept`` follows once its token is on the disk.

        Args:
            token: The sender's fencing token.
            sequence: The sender's number of this request, which grows with each one under a token.
            incarnation: The daemon's incarnation that the sender saw last.
            has_commands: Whether the request changes anything.

        Raises:
            RejectedRequestError: It does not count.
        """
        if self.is_token_lost:
            raise TokenLostError(
                "the desired state is lost, and lease servers have not reported the token yet"
            )
        if token < self.token:
            raise StaleTokenError(f"token {token} is older than {self.token}")
        if token == self.token and sequence <= self.sequence:
            raise OutOfOrderError(f"request {sequence} arrived out of order, after {self.sequence}")
        if has_commands and incarnation != self.incarnation:
            raise WrongIncarnationError("the commands are for another incarnation of this daemon")

    def accept(self, token: int, sequence: int) -> None:
        """Record an accepted request: no earlier one counts any more."""
        self.token, self.sequence = token, sequence

    def learn_token(self, token: int) -> None:
        """Take the greatest token that lease servers granted, where this daemon has lost its own."""
        if self.is_token_lost:
            self.token, self.is_token_lost = max(self.token, token), False
