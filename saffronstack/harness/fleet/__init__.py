"""Runs many platform gateways with stub hosts under fault injection, and checks the run."""
