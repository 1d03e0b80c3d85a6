"""The engine between front ends and workers: one decision thread with one router, without protocols."""
