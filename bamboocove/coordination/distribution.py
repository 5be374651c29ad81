"""Distribution of the configuration between peers: offers, requests, deltas."""

from collections.abc import Callable

from attrs import define, field, frozen

from bamboocove.errors import ErrorKind, ErrorResult
from bamboocove.protocol.messages import (
    NO_BASE,
    ConfigDeltas,
    ConfigFull,
    ConfigNack,
    ConfigOffer,
    ConfigRequest,
    Message,
)
from bamboocove.state.config import (
    Config,
    Delta,
    apply_delta,
    compute_digest,
    find_dangling_references,
    make_delta,
    reuse_unchanged,
)

KEPT_REVISIONS = 64
REQUEST_TIMEOUT_S = 2.0
# Time after which a refused revision is requested again: it may have become
# acceptable, for instance because a worker on this host has left.
REFUSED_RETRY_S = 60.0
# Peers whose acknowledged revision is kept, with or without a link.
MAX_REMEMBERED_PEERS = 1024

ApplyConfig = Callable[[Config], ErrorResult | None]


@frozen
class OutgoingMessage:
    """A message to be sent to one linked peer."""

    peer: str
    message: Message


@frozen
class PendingRequest:
    """A request for the configuration that has not been answered yet."""

    peer: str
    requested_at: float


@define
class DistributionState:
    """Configuration of one node, and the revisions known at its peers.

    Parameters
    ----------
    config : Config
        Configuration in force; revision 0 while there is none.
    digest : bytes
        Digest of ``config``.
    floor : int
        Lowest revision that may be applied.
    is_floor_known : bool
        Whether the floor is at least the revision that this node had before it
        was restarted. Until then nothing is requested or applied, because a
        peer that lags could deliver an older revision.
    deltas_by_base : dict of int to Delta
        Deltas of the last ``KEPT_REVISIONS`` revisions, by base revision.
    revision_by_peer : dict of str to int
        Last known revision in force at each linked peer.
    acknowledged_by_id : dict of str to int
        Highest revision known to have been in force at each peer, kept after
        its link has ended: a restarted peer gets it as its floor.
    request : PendingRequest or None
        The only outstanding request, so that each body is received once.
    refused_revision : int
        Highest revision that this node refused.
    refused_at : float
        Time of the last refusal, in seconds.
    """

    config: Config = field(factory=Config)
    digest: bytes = b""
    floor: int = 0
    is_floor_known: bool = True
    deltas_by_base: dict[int, Delta] = field(factory=dict)
    revision_by_peer: dict[str, int] = field(factory=dict)
    acknowledged_by_id: dict[str, int] = field(factory=dict)
    request: PendingRequest | None = None
    refused_revision: int = 0
    refused_at: float = float("-inf")


def raise_floor(state: DistributionState, revision: int) -> None:
    """Raise the lowest revision that may be applied; it is never lowered."""
    state.floor = max(state.floor, revision)


def record_peer_revision(
    state: DistributionState, peer: str, revision: int, now: float
) -> list[OutgoingMessage]:
    """Record the revision in force at a linked peer and request it if newer.

    The revision is carried by Hello, Heartbeat and ConfigOffer; the first two
    make up for a lost offer.
    """
    state.revision_by_peer[peer] = revision
    acknowledged = max(revision, state.acknowledged_by_id.pop(peer, 0))
    state.acknowledged_by_id[peer] = acknowledged
    while len(state.acknowledged_by_id) > MAX_REMEMBERED_PEERS:
        del state.acknowledged_by_id[next(iter(state.acknowledged_by_id))]
    return _request_newer(state, now)


def remove_peer(
    state: DistributionState, peer: str, now: float
) -> list[OutgoingMessage]:
    """Remove a peer whose link has ended and request from another if needed."""
    state.revision_by_peer.pop(peer, None)
    if state.request is not None and state.request.peer == peer:
        state.request = None
    return _request_newer(state, now)


def check_request_timeout(
    state: DistributionState, now: float
) -> list[OutgoingMessage]:
    """Request from another peer if the answer to a request is overdue."""
    request = state.request
    if request is not None and now - request.requested_at >= REQUEST_TIMEOUT_S:
        state.request = None
        return _request_newer(state, now, avoided_peer=request.peer)
    return _request_newer(state, now)


def _request_newer(
    state: DistributionState, now: float, avoided_peer: str = ""
) -> list[OutgoingMessage]:
    if state.request is not None or not state.is_floor_known:
        return []
    known = max(state.config.revision, state.floor - 1)
    if now - state.refused_at < REFUSED_RETRY_S:
        known = max(known, state.refused_revision)
    peers = [peer for peer, at in state.revision_by_peer.items() if at > known]
    if not peers:
        return []
    # Among equal peers the last one to report, as it probably answers first.
    peer = max(
        reversed(peers),
        key=lambda peer: (peer != avoided_peer, state.revision_by_peer[peer]),
    )
    return _send_request(state, peer, state.config.revision, now)


def _send_request(
    state: DistributionState, peer: str, base: int, now: float
) -> list[OutgoingMessage]:
    state.request = PendingRequest(peer, now)
    return [OutgoingMessage(peer, ConfigRequest(base))]


def answer_request(
    state: DistributionState, peer: str, request: ConfigRequest
) -> list[OutgoingMessage]:
    """Answer with the deltas since the base, or with the whole configuration."""
    if request.base_revision >= state.config.revision:
        return []
    chain = []
    revision = request.base_revision
    while revision in state.deltas_by_base:
        delta = state.deltas_by_base[revision]
        chain.append(delta)
        revision = delta.revision
    if revision == state.config.revision:
        return [OutgoingMessage(peer, ConfigDeltas(tuple(chain)))]
    return [OutgoingMessage(peer, ConfigFull(state.config))]


def handle_deltas(
    state: DistributionState,
    peer: str,
    message: ConfigDeltas,
    now: float,
    apply_config: ApplyConfig,
) -> list[OutgoingMessage]:
    """Apply the deltas of an answer; only complete revisions are put in force."""
    _clear_request(state, peer)
    config = state.config
    results = []
    for delta in message.deltas:
        if delta.revision <= config.revision:
            continue
        result = apply_delta(config, delta)
        if isinstance(result, ErrorResult):
            if result.kind is ErrorKind.INVALID_CONFIG:
                return _send_request(state, peer, NO_BASE, now)
            return _request_newer(state, now)
        config = result
        results.append((config, delta))
    return _apply_newest_valid(state, peer, results, now, apply_config)


def handle_full_config(
    state: DistributionState,
    peer: str,
    config: Config,
    now: float,
    apply_config: ApplyConfig,
) -> list[OutgoingMessage]:
    """Apply the whole configuration of an answer."""
    _clear_request(state, peer)
    config = reuse_unchanged(state.config, config)
    return _apply_newest_valid(state, peer, [(config, None)], now, apply_config)


def apply_and_offer_config(
    state: DistributionState, config: Config, apply_config: ApplyConfig
) -> list[OutgoingMessage] | ErrorResult:
    """Apply a configuration from the store or the coordinator, and offer it.

    Returns
    -------
    sends : list of OutgoingMessage or ErrorResult
        Offers to the linked peers that have an older revision. ``STALE`` if
        the revision is not newer or is below the floor, otherwise the error of
        the configuration or of ``apply_config``.
    """
    config = reuse_unchanged(state.config, config)
    error = _check_and_apply(state, config, apply_config)
    if error is not None:
        return error
    return _set_current(state, [(config, make_delta(state.config, config))])


def _clear_request(state: DistributionState, peer: str) -> None:
    if state.request is not None and state.request.peer == peer:
        state.request = None


def _check_and_apply(
    state: DistributionState, config: Config, apply_config: ApplyConfig
) -> ErrorResult | None:
    held = state.config.revision
    if not state.is_floor_known:
        return ErrorResult(ErrorKind.STALE, "the floor is not known yet")
    if config.revision <= held or config.revision < state.floor:
        reason = f"revision {config.revision}, in force {held}, floor {state.floor}"
        return ErrorResult(ErrorKind.STALE, reason)
    problems = find_dangling_references(config)
    if problems:
        return ErrorResult(ErrorKind.INVALID_CONFIG, "; ".join(problems[:3]))
    return apply_config(config)


def _apply_newest_valid(
    state: DistributionState,
    peer: str,
    results: list[tuple[Config, Delta | None]],
    now: float,
    apply_config: ApplyConfig,
) -> list[OutgoingMessage]:
    """Apply the newest valid result and refuse the later, invalid ones."""
    sends = []
    while results:
        config, _ = results[-1]
        error = _check_and_apply(state, config, apply_config)
        if error is None:
            return sends + _set_current(state, results) + _request_newer(state, now)
        if error.kind is not ErrorKind.STALE:
            sends.append(
                OutgoingMessage(peer, ConfigNack(config.revision, error.reason))
            )
            state.refused_revision = max(state.refused_revision, config.revision)
            state.refused_at = now
        results = results[:-1]
    return sends + _request_newer(state, now)


def _set_current(
    state: DistributionState, results: list[tuple[Config, Delta | None]]
) -> list[OutgoingMessage]:
    config = results[-1][0]
    for _, delta in results:
        # A delta from the empty configuration holds everything; peers without a
        # base are sent the whole configuration instead.
        if delta is not None and delta.base_revision > 0:
            state.deltas_by_base[delta.base_revision] = delta
    oldest = config.revision - KEPT_REVISIONS
    for base in [base for base in state.deltas_by_base if base < oldest]:
        del state.deltas_by_base[base]
    state.config = config
    state.digest = compute_digest(config)
    offer = ConfigOffer(config.revision, state.digest)
    return [
        OutgoingMessage(peer, offer)
        for peer, revision in state.revision_by_peer.items()
        if revision < config.revision
    ]
