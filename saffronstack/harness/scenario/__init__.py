"""Scenario runs of gateway processes under fault injection: plan, fault injector, clients and report."""
