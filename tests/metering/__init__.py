"""Tests of saffronstack/metering/."""
