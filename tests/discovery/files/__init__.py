"""Tests of discovery by watched files."""
