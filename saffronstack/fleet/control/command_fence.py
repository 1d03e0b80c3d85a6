"""Fences off outdated control requests to a daemon. No I/O.

A daemon rejects requests from an older leader and requests that arrive out of order. It writes the fencing
token to disk before it accepts a request. The sequence number is not on disk. Instead, a request with
commands names the incarnation of the daemon that its sender saw last, so that a request that was delayed
while the daemon restarted reaches another incarnation and is rejected.
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
    """Checks the control requests to one incarnation of a daemon.

    Attributes:
        incarnation: Identifies this incarnation of the daemon; a random number greater than 0.
        token: The greatest fencing token that was accepted, 0 for none.
        is_token_lost: Whether no token was read from disk and the lease servers have not reported it yet.
        sequence: The last accepted sequence number under ``token``.
    """

    incarnation: int
    token: int = 0
    is_token_lost: bool = False
    sequence: int = 0

    def check(self, token: int, sequence: int, incarnation: int, has_commands: bool) -> None:
        """Check whether a request can be accepted; call ``accept`` once its token is on disk.

        Args:
            token: The sender's fencing token.
            sequence: The number of the request, which increases with each request under a token.
            incarnation: The incarnation of the daemon that the sender saw last.
            has_commands: Whether the request has commands; one without is a poll.

        Raises:
            RejectedRequestError: The request is rejected.
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
        """Record an accepted request, so that earlier requests are rejected."""
        self.token, self.sequence = token, sequence

    def learn_token(self, token: int) -> None:
        """Adopt the greatest token that the lease servers granted if the daemon has lost its token."""
        if self.is_token_lost:
            self.token, self.is_token_lost = max(self.token, token), False
