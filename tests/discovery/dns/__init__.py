"""Tests of discovery over DNS."""
