"""Validates usage records of workers, so that an invalid one is rejected without others. No I/O."""

from __future__ import annotations

from saffronstack.metering.worker_messages import UsageRecord

MAX_SPAN_US = 24 * 3600 * 1_000_000  # workers end their spans at least this often
MAX_CLOCK_LEAD_US = 1_000_000  # how far the end of a record may be ahead of the worker's own clock
MAX_INSTANCES = 100_000
MAX_CALLS = 10_000
MAX_NAME_LENGTH = 256
MEMORY_TOLERANCE = 1.01  # factor; workers round their memory


def find_rejection_reason(
    usage: UsageRecord, worker: str, incarnation: str, now_us: int, memory_kib: int
) -> str:
    """Return why a record is invalid, or an empty string if it is valid.

    Args:
        usage: The record.
        worker: Name of the worker in the endpoint list.
        incarnation: The worker's incarnation in its response.
        now_us: The worker's clock in its response.
        memory_kib: The worker's memory in the endpoint list.
    """
    return (
        _find_identity_fault(usage, worker, incarnation)
        or _find_span_fault(usage, now_us)
        or _find_instance_fault(usage, memory_kib)
        or _find_call_fault(usage)
    )


def _find_identity_fault(usage: UsageRecord, worker: str, incarnation: str) -> str:
    if usage.worker != worker or usage.incarnation != incarnation:
        return f"it names {usage.worker} {usage.incarnation}, not {worker} {incarnation}"
    if usage.sequence_number < 1:
        return f"sequence number {usage.sequence_number} is less than 1"
    return ""


def _find_span_fault(usage: UsageRecord, now_us: int) -> str:
    span_us = usage.end_us - usage.start_us
    if usage.start_us < 0 or span_us <= 0 or span_us > MAX_SPAN_US:
        return f"invalid span from {usage.start_us} to {usage.end_us} microseconds"
    if usage.end_us > now_us + MAX_CLOCK_LEAD_US:
        return f"it ends {(usage.end_us - now_us) / 1e6:.1f} s in the future"
    return ""


def _find_instance_fault(usage: UsageRecord, memory_kib: int) -> str:
    counts = usage.loading_instances, usage.running_instances, usage.idle_instances
    if min(counts) < 0 or max(counts) > MAX_INSTANCES:
        return "{} loading, {} running and {} idle instances".format(*counts)
    if usage.memory_kib <= 0 or usage.memory_kib * sum(counts) > memory_kib * MEMORY_TOLERANCE:
        return f"{sum(counts)} instances of {usage.memory_kib} KiB on a worker of {memory_kib} KiB"
    return ""


def _find_call_fault(usage: UsageRecord) -> str:
    calls = (*usage.waiting_calls, *usage.running_calls)
    if len(calls) > MAX_CALLS:
        return f"{len(calls)} calls at once"
    if not usage.function:
        return "it names no function"
    names = [usage.function]
    for call in calls:
        names += (call.request_id, call.tenant)
    if any(len(name) > MAX_NAME_LENGTH for name in names):
        return "a name is too long"
    return ""
