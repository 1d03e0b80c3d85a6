"""Pages beside the API: `/metrics` in Prometheus' text form, `/healthz`, `/status` as JSON."""

from __future__ import annotations

import os
from collections.abc import Iterable, Mapping
from typing import TYPE_CHECKING

import msgspec
from prometheus_client import CollectorRegistry, generate_latest
from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily, Metric
from prometheus_client.registry import Collector

from saffronstack.invoke.app import Page, Response

if TYPE_CHECKING:
    from saffronstack.gateway import Gateway

TEXT = (("Content-Type", "text/plain; version=0.0.4; charset=utf-8"),)


class _Figures(Collector):
    """Reads the gateway's own counts when asked; nothing is counted twice."""

    def __init__(self, gateway: Gateway) -> None:
        self._gateway = gateway

    def collect(self) -> Iterable[Metric]:
        """The metrics now."""
        gateway = self._gateway
        counts = gateway.engine.counts
        endings = CounterMetricFamily(
            "saffronstack_calls_ended", "Calls by how they ended", labels=["ending"]
        )
        for name, value in counts.endings.items():
            endings.add_metric([name], value)
        results = CounterMetricFamily("saffronstack_attempts_ended", "Attempts by result", labels=["result"])
        for name, value in counts.results.items():
            results.add_metric([name], value)
        yield endings
        yield results
        for name, text, count in (
            ("calls", "Calls taken by the engine", counts.calls),
            ("sends", "Attempts begun", counts.sends),
            ("repeats", "Attempts after a call's first", counts.repeats),
            ("orders", "Orders to load or unload", counts.orders),
            ("events", "Events decided on", counts.events),
            ("backstops", "Calls that the engine itself answered", counts.backstops),
            ("decision_faults", "Events on which the decision failed", counts.faults),
            ("connections_accepted", "Client connections accepted", gateway.server.accepted),
            ("connections_turned_away", "Client connections turned away", gateway.server.turned_away),
        ):
            yield CounterMetricFamily(f"saffronstack_{name}", text, value=count)
        gauges: list[tuple[str, str, float]] = [
            ("open_calls", "Calls open in the engine", gateway.engine.open_calls),
            ("queued_events", "Events waiting for the decision thread", gateway.engine.queued),
            ("client_connections", "Client connections open", gateway.server.connections),
            ("worker_connections", "Worker connections at most", gateway.fleet.connections),
        ]
        if gateway.deferred is not None and gateway.ledger is not None:
            gauges += [
                ("deferred_open", "Deferred calls open", gateway.deferred.open_calls),
                ("ledger_failing", "1 while the ledger can't write", float(bool(gateway.ledger.failing))),
            ]
            yield CounterMetricFamily(
                "saffronstack_deferred_taken", "Deferred calls taken", value=gateway.deferred.taken
            )
            finished = CounterMetricFamily(
                "saffronstack_deferred_finished", "Deferred calls finished", labels=["condition"]
            )
            for name, value in gateway.deferred.finished.items():
                finished.add_metric([name], value)
            yield finished
        for name, text, gauge in gauges:
            yield GaugeMetricFamily(f"saffronstack_{name}", text, value=gauge)


class Pages:
    """The pages of one gateway."""

    def __init__(self, gateway: Gateway) -> None:
        self._gateway = gateway
        self._registry = CollectorRegistry(auto_describe=False)
        self._registry.register(_Figures(gateway))

    def table(self) -> Mapping[str, Page]:
        """Pages by path."""
        return {"/metrics": self.metrics, "/healthz": self.health, "/status": self.status}

    def metrics(self) -> Response:
        """Prometheus' text exposition."""
        return Response(200, TEXT, generate_latest(self._registry))

    def health(self) -> Response:
        """200 while calls are taken."""
        draining = self._gateway.draining
        return Response(503 if draining else 200, TEXT, b"draining\n" if draining else b"ok\n")

    def status(self) -> Response:
        """What `saffronstack status` shows."""
        gateway = self._gateway
        counts = gateway.engine.counts
        content: dict[str, object] = {
            "pid": os.getpid(),
            "process": gateway.members.index,
            "processes": gateway.members.count,
            "draining": gateway.draining,
            "open_calls": gateway.engine.open_calls,
            "calls": counts.calls,
            "sends": counts.sends,
            "repeats": counts.repeats,
            "backstops": counts.backstops,
            "decision_faults": counts.faults,
            "endings": counts.endings,
            "attempts": counts.results,
            "client_connections": gateway.server.connections,
            "worker_connections": gateway.fleet.connections,
        }
        if gateway.deferred is not None and gateway.ledger is not None:
            content["deferred"] = {
                "open": gateway.deferred.open_calls,
                "taken": gateway.deferred.taken,
                "finished": gateway.deferred.finished,
                "ledger_failing": gateway.ledger.failing,
            }
        return Response(200, (("Content-Type", "application/json"),), msgspec.json.encode(content))
