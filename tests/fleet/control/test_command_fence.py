"""Tests which control requests the command fence of a daemon accepts."""

from __future__ import annotations

import pytest

from saffronstack.fleet.control.command_fence import CommandFence
from saffronstack.fleet.control.errors import (
    OutOfOrderError,
    StaleTokenError,
    TokenLostError,
    WrongIncarnationError,
)


def test_older_unordered_and_misaddressed_requests_are_rejected() -> None:
    fence = CommandFence(incarnation=7, token=3)
    with pytest.raises(StaleTokenError, match=r"^token 2 is older than 3$"):
        fence.check(2, 9, 7, has_commands=True)
    fence.check(4, 1, 0, has_commands=False)  # a poll by a later leader
    fence.accept(4, 1)
    with pytest.raises(WrongIncarnationError, match="for another incarnation"):
        fence.check(4, 2, 6, has_commands=True)
    fence.check(4, 2, 7, has_commands=True)
    fence.accept(4, 2)
    with pytest.raises(OutOfOrderError, match="out of order"):
        fence.check(4, 2, 7, has_commands=True)
    with pytest.raises(StaleTokenError, match="older"):
        fence.check(3, 9, 7, has_commands=True)
    assert (fence.token, fence.sequence) == (4, 2)


def test_a_lost_token_is_learned_before_anything_is_accepted() -> None:
    fence = CommandFence(incarnation=7, is_token_lost=True)
    with pytest.raises(TokenLostError, match="lost"):
        fence.check(9, 1, 7, has_commands=True)
    fence.learn_token(5)
    assert not fence.is_token_lost
    with pytest.raises(StaleTokenError, match="older"):
        fence.check(4, 1, 7, has_commands=True)
    fence.check(5, 1, 7, has_commands=True)
