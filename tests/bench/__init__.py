"""Tests of saffronstack/bench/."""
