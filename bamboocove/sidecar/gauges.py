"""Gauges of a node, and the limits that follow from the number of nodes."""

from resource import RUSAGE_SELF, getrusage
from typing import Any

from bamboocove.sidecar.logs import WRITER


def update_gauges(application: Any) -> None:
    """Set the gauges of a node, and size its retry budgets for the present fleet."""
    bounds = application.settings.bounds
    node_count = len(application.fleet.records_by_id)
    application.outbound.budgets.configure(
        bounds.retry_ratio, bounds.retry_slack, node_count
    )
    peers = application.hub.peers_by_id.values()
    queue = application.inbound.queue
    key_proofs = application.key_proofs
    gauges = {
        "key_proof_age_seconds": key_proofs.get_age() if key_proofs.is_active else 0.0,
        "config_version": application.config.version,
        "hosts_reachable": sum(peer.is_open for peer in peers),
        "running": len(queue.running),
        "waiting": len(queue.waiting),
        "worker_limit_per_s": queue.limiter.limit_per_s,
        "machine_slowdown": queue.machine_load.get_slowdown(
            application.clock.seconds()
        ),
        "handed_back": application.inbound.handed_back,
        "store_reading": application.watch.is_reading,
        "worker_cold_limit_per_s": application.inbound.cold.limit_per_s,
        "cold_workers": len(application.fleet.get_cold_ids()),
        "evacuated_zones": len(application.fleet.evacuated_zones),
        "store_era": application.store.era or 0,
        "store_calls": application.store.calls,
        "log_lines_dropped": WRITER.dropped_lines,
        "memory_peak_bytes": getrusage(RUSAGE_SELF).ru_maxrss * 1024,
        "body_bytes": application.body_budget.held,
        "quota_granter": application.quotas.is_granter,
        "quota_waiting": application.quotas.admission.waiting,
        "unsent_bytes": sum(c.unsent_bytes for c in application.connections),
    }
    for name, value in gauges.items():
        application.metrics.set_gauge(name, value)
