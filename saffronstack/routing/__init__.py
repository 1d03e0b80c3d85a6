"""Routing decisions: which worker gets a request, when to retry, load, queue or reject.

The package performs no I/O, reads no clock and starts no thread. `Router.handle` takes one event
(`saffronstack.routing.events`) with the current time and returns the actions to carry out
(`saffronstack.routing.actions`).
"""
