"""Routing decisions: which worker gets a request, when to retry, load, hold back or reject.

The package performs no I/O, reads no clock and starts no thread. `Router.handle` takes one event
(`saffronstack.routing.events`) with the present time and returns the actions to carry out
(`saffronstack.routing.actions`).
"""
