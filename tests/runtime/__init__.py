"""Tests of saffronstack/runtime/."""
