"""Statsd counters and latency histograms by tenant and request class."""

from attrs import define, field
from hdrh.histogram import HdrHistogram
from statsd import StatsClient

LOWEST_LATENCY_US = 1
HIGHEST_LATENCY_US = 60_000_000
SIGNIFICANT_DIGITS = 2


def make_histogram() -> HdrHistogram:
    """Return an empty histogram of latencies in microseconds, up to one minute."""
    return HdrHistogram(LOWEST_LATENCY_US, HIGHEST_LATENCY_US, SIGNIFICANT_DIGITS)


@define
class Metrics:
    """Counters and latency histograms of one process.

    Parameters
    ----------
    tenant : str
        Tenant whose latencies are recorded.
    client : StatsClient or None
        Receives counters and timings; with None they are only kept in memory.
    """

    tenant: str
    client: StatsClient | None = None
    histograms_by_class: dict[str, HdrHistogram] = field(factory=dict)
    counts_by_name: dict[str, int] = field(factory=dict)

    def count(self, name: str, amount: int = 1) -> None:
        """Increase a counter by an amount."""
        self.counts_by_name[name] = self.counts_by_name.get(name, 0) + amount
        if self.client is not None:
            self.client.incr(name, amount)

    def record_latency(self, request_class: str, seconds: float) -> None:
        """Record the latency of one call, given in seconds.

        Latencies outside the range of the histogram are recorded as its lowest or
        highest value.
        """
        histogram = self.histograms_by_class.get(request_class)
        if histogram is None:
            histogram = self.histograms_by_class[request_class] = make_histogram()
        microseconds = min(int(seconds * 1e6), HIGHEST_LATENCY_US)
        histogram.record_value(max(LOWEST_LATENCY_US, microseconds))
        if self.client is not None:
            name = f"latency.{self.tenant}.{request_class}"
            self.client.timing(name, seconds * 1e3)

    def summarize(self) -> dict[str, dict[str, float]]:
        """Return call count and latency percentiles in ms by ``tenant.class``."""
        return {
            f"{self.tenant}.{request_class}": {
                "count": histogram.get_total_count(),
                "p50_ms": histogram.get_value_at_percentile(50) / 1e3,
                "p99_ms": histogram.get_value_at_percentile(99) / 1e3,
                "max_ms": histogram.get_max_value() / 1e3,
            }
            for request_class, histogram in self.histograms_by_class.items()
        }
