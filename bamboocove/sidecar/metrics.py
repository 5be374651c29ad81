"""Prometheus metrics of a node: counters, gauges and a latency histogram."""

from prometheus_client import (
    CollectorRegistry,
    Counter,
    Gauge,
    Histogram,
    generate_latest,
)

# Upper bounds of the latency buckets, in seconds.
LATENCY_BUCKETS = (0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2)


class MeshMetrics:
    """Metrics of one process; docs/OPERATIONS.md lists their names and units."""

    def __init__(self) -> None:
        self._registry = CollectorRegistry()
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
                ("hosts_reachable", "Hosts with an open link."),
                ("running", "Requests that the worker runs."),
                ("waiting", "Requests that wait for the worker."),
                (
                    "worker_limit_per_s",
                    "Requests per second that the worker takes; 0 without a limit.",
                ),
                ("store_reading", "1 if the node reads the store for its zone."),
                ("store_calls", "Calls to the store since the start."),
                ("log_lines_dropped", "Log lines that could not be written."),
                ("memory_peak_bytes", "Peak of the resident memory, in bytes."),
                ("body_bytes", "Bytes of bodies that the node holds."),
                ("unsent_bytes", "Bytes of answers that callers have not read."),
                ("quota_granter", "1 if the node grants the tokens of its zone."),
                ("quota_waiting", "Requests that wait for a token of their account."),
            )
        }

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
