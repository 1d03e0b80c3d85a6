"""Fixtures for the tests of file discovery."""

from __future__ import annotations

import pathlib

import pytest

from tests.discovery.files.support import SteppedDiscovery


@pytest.fixture
def discovery(tmp_path: pathlib.Path) -> SteppedDiscovery:
    """Return a service that watches ``roster.json5`` in the temporary directory."""
    return SteppedDiscovery(tmp_path)
