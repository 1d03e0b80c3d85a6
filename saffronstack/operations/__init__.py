"""One operation, one effect: what clients and SDKs send again is recognised, joined or answered as before."""
