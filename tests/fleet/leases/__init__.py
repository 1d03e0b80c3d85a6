"""Tests of leases."""
