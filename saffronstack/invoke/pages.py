"""Endpoints for operators: `/metrics` in the Prometheus text format, `/healthz`, and `/status` as JSON."""

from __future__ import annotations

import os
from collections.abc import Mapping

import msgspec
from prometheus_client import CollectorRegistry, generate_latest

from saffronstack.daemon.listener_handover import MARK_VARIABLE
from saffronstack.invoke.app import Page, Response
from saffronstack.invoke.metrics import GatewayCollector, MonitoredGateway

TEXT_HEADERS = (("Content-Type", "text/plain; version=0.0.4; charset=utf-8"),)


class Pages:
    """Serves the operator endpoints of one gateway process."""

    def __init__(self, gateway: MonitoredGateway) -> None:
        self._gateway = gateway
        self._registry = CollectorRegistry(auto_describe=False)
        self._registry.register(GatewayCollector(gateway))

    def by_path(self) -> Mapping[str, Page]:
        """Return the handlers of the endpoints by path."""
        return {"/metrics": self.metrics, "/healthz": self.health, "/status": self.status}

    def metrics(self) -> Response:
        """Return the metrics in the Prometheus text format."""
        return Response(200, TEXT_HEADERS, generate_latest(self._registry))

    def health(self) -> Response:
        """Return 200 while the gateway accepts calls, and 503 while it is draining."""
        draining = self._gateway.is_draining
        return Response(503 if draining else 200, TEXT_HEADERS, b"draining\n" if draining else b"ok\n")

    def status(self) -> Response:
        """Return the counts that `saffronstack status` shows."""
        gateway = self._gateway
        counts = gateway.engine.statistics
        content: dict[str, object] = {
            "pid": os.getpid(),
            "release": os.environ.get(MARK_VARIABLE, "").rpartition("/")[2],
            "process": gateway.process_group.index,
            "processes": gateway.process_group.count,
            "draining": gateway.is_draining,
            "open_calls": gateway.engine.open_calls,
            "calls": counts.calls,
            "sends": counts.attempts,
            "repeats": counts.retries,
            "backstops": counts.deadline_answers,
            "decision_faults": counts.faults,
            "endings": counts.final_answers,
            "attempts": counts.attempt_results,
            "client_connections": gateway.server.connections,
            "worker_connections": gateway.dispatcher.connection_count,
            "workers": gateway.dispatcher.worker_count,
            "classes": gateway.app.call_metrics.counts(),
            "times": gateway.app.call_metrics.encoded_latencies(),
        }
        if gateway.deferred is not None and gateway.ledger is not None:
            content["deferred"] = {
                "open": gateway.deferred.open_calls,
                "taken": gateway.deferred.accepted_count,
                "finished": gateway.deferred.finished_by_condition,
                "ledger_failing": gateway.ledger.write_error,
                "ledger_stalled_s": round(gateway.ledger.stalled_s, 3),
            }
        if gateway.operations is not None and gateway.operations.operation_log is not None:
            operation_log = gateway.operations.operation_log
            content["notes"] = {
                "failing": operation_log.write_error,
                "stalled_s": round(operation_log.stalled_s, 3),
            }
        if gateway.file_discovery is not None:
            content["roster"] = gateway.file_discovery.status()
        if gateway.meter is not None:
            account = gateway.meter.journal.state
            content["usage"] = {
                "records": gateway.meter.accepted,
                "refused": gateway.meter.rejected,
                "unconfirmed": len(account.unconfirmed),
                "provisional": len(account.provisional),
                "log_failing": gateway.meter.journal.write_error,
            }
        return Response(200, (("Content-Type", "application/json"),), msgspec.json.encode(content))
