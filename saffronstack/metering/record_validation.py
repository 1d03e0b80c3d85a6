"""Which records of a worker are believed. A lie is refused and said; nothing else is lost by it. No I/O."""

from __future__ import annotations

from saffronstack.metering.records import UsageRecord

SPAN_MOST_US = 24 * 3600 * 1_000_000  # a worker closes its spans at least this often
AHEAD_US = 1_000_000  # how far a record may end past the worker's own clock
COPIES_MOST = 100_000
CALLS_MOST = 10_000
TEXT_MOST = 256


def find_rejection_reason(
    usage: UsageRecord, worker: str, incarnation: str, now_us: int, memory_kib: int
) -> str:
    """Why a record can't be believed; empty where it can.

    ``worker`` and ``memory_kib`` are the list's word, ``incarnation`` and ``now_us`` the answer's."""
    span = usage.end_us - usage.start_us
    if usage.worker != worker or usage.incarnation != incarnation:
        return f"it names {usage.worker} {usage.incarnation}, not {worker} {incarnation}"
    if usage.seq < 1:
        return f"number {usage.seq}"
    if usage.start_us < 0 or span <= 0 or span > SPAN_MOST_US:
        return f"a span from {usage.start_us} to {usage.end_us} microseconds"
    if usage.end_us > now_us + AHEAD_US:
        return f"it ends {(usage.end_us - now_us) / 1e6:.1f} s in the future"
    if min(usage.load, usage.run, usage.idle) < 0 or max(usage.load, usage.run, usage.idle) > COPIES_MOST:
        return f"{usage.load}, {usage.run} and {usage.idle} copies"
    copies = usage.load + usage.run + usage.idle
    if usage.memory_kib <= 0 or usage.memory_kib * copies > memory_kib * 1.01:
        return f"{copies} copies of {usage.memory_kib} KiB on a worker of {memory_kib} KiB"
    if len(usage.waiting) + len(usage.running) > CALLS_MOST:
        return f"{len(usage.waiting) + len(usage.running)} calls at once"
    if not usage.function:
        return "it names no function"
    texts = (
        usage.function,
        *(text for ref in (*usage.waiting, *usage.running) for text in (ref.id, ref.tenant)),
    )
    if any(len(text) > TEXT_MOST for text in texts):
        return "a name is too long"
    return ""
