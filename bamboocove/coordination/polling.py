"""Schedule of store reads, and checks of the head and history that were read."""

from collections.abc import Sequence
from typing import Any

from attrs import evolve, frozen

from bamboocove.coordination.backoff import compute_delay
from bamboocove.errors import ErrorKind, ErrorResult
from bamboocove.protocol.rows import HeadRecord, HistoryRecord, NodeRecord, Row
from bamboocove.state.codec import decode, from_plain
from bamboocove.state.config import Config, Delta, apply_delta
from bamboocove.state.members import Member

# A node that has heard of no store read for this long reads the store itself.
MAX_STORE_AGE_S = 10.0
# Minimum time between such reads of one node: 5,500 nodes then make 183 of the
# 2,000 reads/s that the store allows.
FALLBACK_POLL_INTERVAL_S = 30.0
# 5,500 nodes that refresh their row every 10 min make 9 writes/s.
REGISTRATION_INTERVAL_S = 600.0
# A row that was not refreshed for three intervals belongs to a lost node.
MAX_REGISTRATION_AGE_S = 3 * REGISTRATION_INTERVAL_S
BACKOFF_BASE_S = 0.5
BACKOFF_CAP_S = 30.0


@frozen
class PollState:
    """Failures and times from which the next read of the head is scheduled.

    Parameters
    ----------
    failures : int
        Consecutive failed reads.
    down_since : float
        Unix time in seconds of the first of these failures.
    retry_at : float
        Earliest time of the next read.
    fallback_at : float or None
        Time of the next read by a node that is not a reader; None while its
        store age is within the limit.
    last_fallback : float
        Time of the last such read.
    """

    failures: int = 0
    down_since: float = 0.0
    retry_at: float = 0.0
    fallback_at: float | None = None
    last_fallback: float = float("-inf")


def compute_backoff(failures: int, fraction: float) -> float:
    """Return the delay in seconds after consecutive failures, with full jitter.

    Parameters
    ----------
    failures : int
        Consecutive failures, at least 1.
    fraction : float
        Random number from 0 to 1.

    Examples
    --------
    >>> compute_backoff(1, 1.0), compute_backoff(3, 0.5), compute_backoff(99, 1.0)
    (0.5, 1.0, 30.0)
    """
    return compute_delay(
        failures - 1, fraction, base_s=BACKOFF_BASE_S, cap_s=BACKOFF_CAP_S
    )


def plan_poll(
    state: PollState, is_reader: bool, store_age_s: float, now: float, fraction: float
) -> tuple[PollState, bool]:
    """Decide whether to read the head now.

    Parameters
    ----------
    state : PollState
        Current state.
    is_reader : bool
        Whether this node is one of the readers of its zone.
    store_age_s : float
        Time since the last store read that this node knows of; negative if it
        knows of none.
    now : float
        Unix time in seconds.
    fraction : float
        Random number from 0 to 1, which spreads the reads of many nodes whose
        store age rises together.

    Returns
    -------
    state : PollState
        Updated state.
    is_due : bool
        Whether to read the head now.
    """
    if is_reader:
        return evolve(state, fallback_at=None), now >= state.retry_at
    if 0 <= store_age_s <= MAX_STORE_AGE_S:
        return evolve(state, fallback_at=None), False
    if state.fallback_at is None:
        earliest = state.last_fallback + FALLBACK_POLL_INTERVAL_S
        at = max(earliest, now + fraction * FALLBACK_POLL_INTERVAL_S)
        state = evolve(state, fallback_at=at)
    if now < max(state.fallback_at, state.retry_at):
        return state, False
    state = evolve(state, fallback_at=now + FALLBACK_POLL_INTERVAL_S, last_fallback=now)
    return state, True


def record_read_failure(state: PollState, now: float, fraction: float) -> PollState:
    """Return the state after a failed read."""
    failures = state.failures + 1
    return evolve(
        state,
        failures=failures,
        down_since=state.down_since if state.failures else now,
        retry_at=now + compute_backoff(failures, fraction),
    )


def record_read_success(state: PollState) -> PollState:
    """Return the state after a successful read."""
    return evolve(state, failures=0, down_since=0.0, retry_at=0.0)


def check_head(head: HeadRecord, known_revision: int) -> ErrorResult | None:
    """Return an error if a head is older than a revision that is known.

    Returns
    -------
    error : ErrorResult or None
        ``STALE`` if the store went back, for example after a restore of a backup.
    """
    if head.revision >= known_revision:
        return None
    reason = f"head went back from revision {known_revision} to {head.revision}"
    return ErrorResult(ErrorKind.STALE, reason)


def apply_history(
    config: Config, records: Sequence[HistoryRecord], head: HeadRecord
) -> Config | ErrorResult:
    """Return the configuration after the deltas of history records.

    Returns
    -------
    config : Config or ErrorResult
        ``STALE`` if the records do not lead from the configuration to the head
        without a gap, ``INVALID_CONFIG`` if a digest does not match.
    """
    deltas = []
    for record in records:
        delta = decode(Delta, record.delta)
        if isinstance(delta, ErrorResult):
            return delta
        deltas.append(delta)
    joined = join_deltas(deltas)
    if isinstance(joined, ErrorResult):
        return joined
    if joined.revision != head.revision:
        reason = f"history ends at {joined.revision}, head is {head.revision}"
        return ErrorResult(ErrorKind.STALE, reason)
    if joined.digest != head.digest:
        reason = f"history of revision {head.revision} is not that of the head"
        return ErrorResult(ErrorKind.INVALID_CONFIG, reason)
    return apply_delta(config, joined)


def join_deltas(deltas: Sequence[Delta]) -> Delta | ErrorResult:
    """Return one delta with the effect of several consecutive ones.

    Applying a delta computes the digest of the result, which takes about 30 ms
    for 370 services. A joined delta needs it only once.

    Returns
    -------
    delta : Delta or ErrorResult
        ``STALE`` if there are no deltas or if they are not consecutive.
    """
    if not deltas:
        return ErrorResult(ErrorKind.STALE, "no deltas")
    services_by_name = {}
    moves_by_id = {}
    revision = deltas[0].base_revision
    for delta in deltas:
        if delta.base_revision != revision:
            reason = f"delta is for revision {delta.base_revision}, not {revision}"
            return ErrorResult(ErrorKind.STALE, reason)
        revision = delta.revision
        services_by_name.update(dict.fromkeys(delta.removed_services))
        services_by_name.update((item.name, item) for item in delta.services)
        moves_by_id.update(dict.fromkeys(delta.removed_moves))
        moves_by_id.update((item.move_id, item) for item in delta.moves)
    services, removed_services = _split_removed(services_by_name)
    moves, removed_moves = _split_removed(moves_by_id)
    return evolve(
        deltas[-1],
        base_revision=deltas[0].base_revision,
        services=services,
        removed_services=removed_services,
        moves=moves,
        removed_moves=removed_moves,
    )


def _split_removed(items_by_key: dict[str, Any]) -> tuple[tuple, tuple[str, ...]]:
    kept = tuple(item for item in items_by_key.values() if item is not None)
    removed = tuple(key for key, item in items_by_key.items() if item is None)
    return kept, removed


def compute_floor(
    head_revision: int | None, peer_revisions: Sequence[int], known_peers: int
) -> int | None:
    """Return the lowest revision that a starting node may serve from.

    Parameters
    ----------
    head_revision : int or None
        Revision of the head; None while the store cannot be read.
    peer_revisions : sequence of int
        For each peer that was reached, the higher of its own revision and the
        last one of this node that it remembers.
    known_peers : int
        Number of known peers, reached or not.

    Returns
    -------
    floor : int or None
        None if too few peers have a revision; the node must not serve yet.

    Examples
    --------
    >>> compute_floor(None, [5, 7], 9)
    7
    >>> compute_floor(None, [7], 9) is None
    True
    """
    if head_revision is not None:
        return max(head_revision, *peer_revisions, 0)
    # A peer without a revision is itself starting and has no information. If it
    # were counted, nodes that restart together could get a floor below the
    # revision that they had.
    informed = sum(1 for revision in peer_revisions if revision > 0)
    has_reached_all = len(peer_revisions) >= known_peers
    if informed >= 2 or (informed == 1 and has_reached_all):
        return max(peer_revisions)
    return None


def select_members(rows: Sequence[Row], now: float) -> list[Member]:
    """Return the members whose registration row is recent and well-formed."""
    records = [from_plain(NodeRecord, row.value) for row in rows]
    return [
        record.member
        for record in records
        if isinstance(record, NodeRecord) and now - record.at <= MAX_REGISTRATION_AGE_S
    ]
