"""Fixtures of the tests of discovery by watched files."""

from __future__ import annotations

import pathlib

import pytest

from tests.discovery.files.support import SteppedDiscovery


@pytest.fixture
def discovery(tmp_path: pathlib.Path) -> SteppedDiscovery:
    """A service that watches ``roster.json5`` in the test's directory."""
    return SteppedDiscovery(tmp_path)
