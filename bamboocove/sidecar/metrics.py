"""Prometheus metrics of a node: counters, gauges and a latency histogram."""

from collections.abc import Iterator

from prometheus_client import (
    CollectorRegistry,
    Counter,
    Gauge,
    Histogram,
    generate_latest,
)
from prometheus_client.core import CounterMetricFamily

from bamboocove.coordination.zone_traffic import ZoneTraffic

# Upper bounds of the latency buckets, in seconds.
LATENCY_BUCKETS = (0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2)


class MeshMetrics:
    """Metrics of one process; docs/OPERATIONS.md lists their names and units.

    Attributes
    ----------
    zone_traffic : ZoneTraffic
        Requests and bytes that left the zone.
    """

    def __init__(self) -> None:
        self.zone_traffic = ZoneTraffic()
        self._registry = CollectorRegistry()
        self._registry.register(self)
        self._latency = Histogram(
            "bamboocove_answer_seconds",
            "Time from a request to the worker's answer, by route.",
            ["route"],
            buckets=LATENCY_BUCKETS,
            registry=self._registry,
        )
        self._answers = Counter(
            "bamboocove_answers",
            "Answers of workers, by class of the status code.",
            ["status"],
            registry=self._registry,
        )
        self._own_answers = Counter(
            "bamboocove_own_answers",
            "Requests that the node ended itself, by kind of error.",
            ["kind"],
            registry=self._registry,
        )
        self._quota_requests = Counter(
            "bamboocove_quota_requests",
            "Requests of accounts with a limit, by what became of them.",
            ["outcome"],
            registry=self._registry,
        )
        self._quota_tokens = Counter(
            "bamboocove_quota_tokens",
            "Tokens that this node granted to its zone, or gave to others.",
            ["direction"],
            registry=self._registry,
        )
        self._gauges = {
            name: Gauge(f"bamboocove_{name}", text, registry=self._registry)
            for name, text in (
                ("config_version", "Version of the configuration in force."),
                (
                    "key_proof_age_seconds",
                    "Age of the proof that the node knows all withdrawn keys.",
                ),
                ("hosts_reachable", "Hosts with an open link."),
                ("running", "Requests that the worker runs."),
                ("waiting", "Requests that wait for the worker."),
                (
                    "worker_limit_per_s",
                    "Requests per second that the worker takes; 0 without a limit.",
                ),
                (
                    "worker_cold_limit_per_s",
                    "Requests per second while the worker is cold; 0 without a limit.",
                ),
                ("cold_workers", "Known workers that are cold and limited."),
                ("evacuated_zones", "Availability zones under evacuation."),
                (
                    "machine_slowdown",
                    "Time that work takes now, relative to the usual one.",
                ),
                ("handed_back", "Waiting requests handed back since the start."),
                ("store_reading", "1 if the node reads the store for its zone."),
                ("store_era", "Era of the store; rises when it is restored."),
                ("store_calls", "Calls to the store since the start."),
                ("log_lines_dropped", "Log lines that could not be written."),
                ("memory_peak_bytes", "Peak of the resident memory, in bytes."),
                ("body_bytes", "Bytes of bodies that the node holds."),
                ("unsent_bytes", "Bytes of answers that callers have not read."),
                ("quota_granter", "1 if the node grants the tokens of its zone."),
                ("quota_waiting", "Requests that wait for a token of their account."),
            )
        }

    def collect(self) -> Iterator[CounterMetricFamily]:
        """Return the counters of traffic between zones, for the registry."""
        requests = CounterMetricFamily(
            "bamboocove_left_zone",
            "Requests sent to another zone, by route and reason.",
            labels=["service", "route", "reason"],
        )
        size = CounterMetricFamily(
            "bamboocove_left_zone_bytes",
            "Bytes of bodies sent to and received from other zones, by route.",
            labels=["service", "route"],
        )
        for key, traffic in self.zone_traffic.routes_by_key.items():
            for reason, number in traffic.requests_by_reason.items():
                requests.add_metric([*key, reason], number)
            if traffic.bytes_left:
                size.add_metric(key, traffic.bytes_left)
        yield requests
        yield size

    def record_response(self, route: str, status: int, seconds: float) -> None:
        """Record the status and the latency of a worker's response."""
        self._latency.labels(route).observe(seconds)
        self._answers.labels(f"{status // 100}xx").inc()

    def count_failed_request(self, kind: str) -> None:
        """Count a request that the node ended itself, by kind of error."""
        self._own_answers.labels(kind).inc()

    def count_quota_request(self, outcome: str) -> None:
        """Count a request of a limited account by its outcome."""
        self._quota_requests.labels(outcome).inc()

    def count_quota_tokens(self, direction: str, count: float) -> None:
        """Count tokens that were ``granted`` in the zone or ``given`` to others."""
        self._quota_tokens.labels(direction).inc(count)

    def set_gauge(self, name: str, value: float) -> None:
        """Set one of the gauges."""
        self._gauges[name].set(value)

    def format(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return generate_latest(self._registry)
