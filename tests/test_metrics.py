from bamboocove.metrics import Metrics


def test_histograms_are_kept_for_each_class():
    metrics = Metrics("kozje-mleko")
    for seconds in (0.001, 0.002, 0.100):
        metrics.record_latency("prompt", seconds)
    metrics.record_latency("deferrable", 3.0)

    summary = metrics.summarize()
    assert set(summary) == {"kozje-mleko.prompt", "kozje-mleko.deferrable"}
    assert summary["kozje-mleko.prompt"]["count"] == 3
    assert 95 < summary["kozje-mleko.prompt"]["max_ms"] < 105


def test_latencies_outside_the_histogram_range_are_counted():
    """Guards against latencies of zero or of minutes that raise or are dropped."""
    metrics = Metrics("t")
    metrics.record_latency("normal", 0.0)
    metrics.record_latency("normal", 3600.0)

    assert metrics.summarize()["t.normal"]["count"] == 2


def test_counter_increments_are_summed():
    metrics = Metrics("t")
    metrics.count("calls.ok")
    metrics.count("calls.ok", 2)

    assert metrics.counts_by_name == {"calls.ok": 3}
