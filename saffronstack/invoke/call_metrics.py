"""Counts of outcomes and latency histograms by request class, for comparing gateways with each other."""

from __future__ import annotations

import threading

from hdrh.histogram import HdrHistogram

from saffronstack.invoke.errors import InvokeError
from saffronstack.invoke.response import Response

OUTCOMES = ("served", "function_error", "refused", "failed", "unknown")
LATENCY_UNIT_S = 1e-4  # unit of the histogram values
MAX_LATENCY_UNITS = 9_000_000  # 15 minutes
SIGNIFICANT_DIGITS = 2


def empty_histogram() -> HdrHistogram:
    """Return an empty latency histogram with the range and the precision that all of them share."""
    return HdrHistogram(1, MAX_LATENCY_UNITS, SIGNIFICANT_DIGITS)


def outcome_of_response(response: Response) -> str:
    """Return the outcome of a call from its response."""
    if not any(name == "X-Amz-Function-Error" for name, _ in response.headers):
        return "served"
    return "unknown" if b'"Saffronstack.OutcomeUnknown"' in response.body[:64] else "function_error"


def outcome_of_error(error: InvokeError) -> str | None:
    """Return the outcome of a call that ended with an error; None where the client's request was invalid."""
    return "refused" if error.status == 429 else "failed" if error.status >= 500 else None


class CallMetrics:
    """Outcome counts and latency histograms of all request classes. Thread-safe."""

    def __init__(self, classes: tuple[str, ...]) -> None:
        self._lock = threading.Lock()
        self._counts = {name: dict.fromkeys(OUTCOMES, 0) for name in classes}
        self._latencies = {name: empty_histogram() for name in classes}

    def record(self, call_class: str, outcome: str, latency_s: float) -> None:
        """Count the outcome of a call, and record its latency where its function executed.

        Latencies outside the range of the histogram are recorded at its bounds.
        """
        with self._lock:
            self._counts[call_class][outcome] += 1
            if outcome in ("served", "function_error"):
                self._latencies[call_class].record_value(
                    min(MAX_LATENCY_UNITS, max(1, round(latency_s / LATENCY_UNIT_S)))
                )

    def counts(self) -> dict[str, dict[str, int]]:
        """Return a copy of the outcome counts by class."""
        with self._lock:
            return {name: dict(counts) for name, counts in self._counts.items()}

    def encoded_latencies(self) -> dict[str, str]:
        """Return the histograms in HdrHistogram's encoded format, by class; empty histograms are left out."""
        with self._lock:
            return {
                name: histogram.encode().decode()
                for name, histogram in self._latencies.items()
                if histogram.get_total_count()
            }
