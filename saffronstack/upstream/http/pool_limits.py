"""Limits of the connections to one worker."""

from __future__ import annotations

from dataclasses import dataclass, field

from saffronstack.http1.messages import MessageLimits


@dataclass(frozen=True, slots=True)
class HttpPoolLimits:
    """Limits of the connections to one worker; times in seconds.

    Attributes:
        connections: Maximum number of connections, and so of threads.
        connect_timeout_s: Timeout for opening a connection.
        idle_timeout_s: Idle time after which a connection is closed and a thread ends.
        command_timeout_s: Timeout of a health check or a load command.
        messages: Size limits of a response.
        reuse_delay_s: Time after a response during which its connection carries no request, so that a second
            copy of the response is not taken for the response of the next request.
    """

    connections: int = 256
    connect_timeout_s: float = 1.0
    idle_timeout_s: float = 20.0
    command_timeout_s: float = 10.0
    messages: MessageLimits = field(default_factory=MessageLimits)
    reuse_delay_s: float = 0.05
