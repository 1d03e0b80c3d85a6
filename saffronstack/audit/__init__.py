"""Checks a run against five rules, from the traffic of clients and workers and not from gateway logs."""
