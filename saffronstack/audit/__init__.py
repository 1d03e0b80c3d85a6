"""Checks a run against five rules, from the traffic that clients and workers saw, not the gateway's own logs."""
