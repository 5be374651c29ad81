"""Builds the status, history and move reports of a node's admin interface."""

from typing import Any

from bamboocove.coordination.move_events import find_move_events
from bamboocove.coordination.publishing import read_history
from bamboocove.errors import ErrorResult
from bamboocove.protocol.rows import HistoryRecord
from bamboocove.state.members import MemberTable
from bamboocove.transport.admin_operations import MoveEvent

HISTORY_PAGE_SIZE = 1000
MAX_HISTORY_PAGES = 20


async def read_all_history(
    table_client: Any, after: int
) -> list[HistoryRecord] | ErrorResult:
    """Return the history records after a revision, oldest first.

    At most ``MAX_HISTORY_PAGES`` pages of ``HISTORY_PAGE_SIZE`` records are read.

    Parameters
    ----------
    table_client : TableClient
        Client of the table service.
    after : int
        Only records with a greater revision are returned.
    """
    records: list[HistoryRecord] = []
    for _ in range(MAX_HISTORY_PAGES):
        page = await read_history(table_client, after, HISTORY_PAGE_SIZE)
        if isinstance(page, ErrorResult):
            return page
        records += page
        if len(page) < HISTORY_PAGE_SIZE:
            break
        after = page[-1].revision
    return records


async def explain_move(
    table_client: Any, move_id: str
) -> list[MoveEvent] | ErrorResult:
    """Return the events that name a move, oldest first."""
    records = await read_all_history(table_client, 0)
    if isinstance(records, ErrorResult):
        return records
    return [
        MoveEvent(record.revision, record.at, record.author, text)
        for record, text in find_move_events(records, move_id)
    ]


def _count_members(members: MemberTable) -> dict[str, dict[str, int]]:
    counts_by_zone: dict[str, dict[str, int]] = {}
    for member in members.members_by_id.values():
        counts = counts_by_zone.setdefault(member.zone, {})
        counts[member.state] = counts.get(member.state, 0) + 1
    return counts_by_zone


def make_status(node: Any, now: float) -> dict[str, Any]:
    """Return the status of a node as a JSON-serializable mapping.

    Parameters
    ----------
    node : NodeApplication
        Node to report on.
    now : float
        Current Unix time in seconds.
    """
    store_age_s = node.distributor.get_store_age(now)
    coordinator = node.distributor.coordinator
    return {
        "node": node.node_id,
        "zone": node.settings.get("node", "zone"),
        "state": node.hooks.state,
        "ports": node.ports_by_name,
        "call_port": node.ports_by_name.get("call"),
        "is_reader": node.distributor.is_reader(now),
        "store_age_s": round(store_age_s, 1) if store_age_s < 1e9 else None,
        "coordinator": coordinator.node_id if coordinator else None,
        "in_flight": node.proxy.in_flight,
        "members_by_zone": _count_members(node.members),
        "workers": [
            {
                "node": member.node_id,
                "zone": member.zone,
                "service": worker.service,
                "version": worker.version,
                "address": f"{worker.host}:{worker.port}",
                "state": worker.state if member.state != "down" else "down",
            }
            for _, member in sorted(node.members.members_by_id.items())
            for worker in member.workers
        ],
        "upstreams": node.proxy.get_upstream_report(),
        "latency": node.metrics.summarize(),
        "counts": node.metrics.counts_by_name,
        "traffic": node.distributor.get_traffic(),
    }
