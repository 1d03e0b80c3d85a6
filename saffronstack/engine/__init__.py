"""The engine between fronts and workers: one decision thread, one `Router`. It knows no HTTP."""
