"""What a node offers, requests, applies and acknowledges of the configuration."""

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
# A refused revision may become acceptable, for instance once a worker on this
# host has left; until then it is not fetched again and again.
REFUSED_RETRY_S = 60.0
# Neighbours whose revision is remembered after their link is gone.
MAX_REMEMBERED = 1024

ApplyConfig = Callable[[Config], ErrorResult | None]


@frozen
class Send:
    """A message to one linked peer."""

    peer: str
    message: Message


@frozen
class Request:
    """A request for the configuration that has not been answered."""

    peer: str
    asked_at: float


@define
class Distribution:
    """What one node holds and knows of the configuration.

    Parameters
    ----------
    config : Config
        Configuration in force; revision 0 while there is none.
    digest : bytes
        Digest of it.
    floor : int
        Lowest revision that may be applied.
    is_floor_known : bool
        Whether the floor covers the past of this node. Until then nothing is
        requested or applied, because a peer that lags could deliver an older
        revision than this node had before a restart.
    deltas_by_base : dict of int to Delta
        Deltas of the last ``KEPT_REVISIONS`` revisions by base revision.
    revision_by_peer : dict of str to int
        Revision in force at each linked peer, as far as known.
    acknowledged_by_id : dict of str to int
        Highest revision known to have been in force at each neighbour, kept
        when its link is gone: it is the floor of its next process.
    request : Request or None
        The one request under way, so that a body arrives once.
    refused_revision : int
        Highest revision that this node refused.
    refused_at : float
        When it refused it.
    """

    config: Config = field(factory=Config)
    digest: bytes = b""
    floor: int = 0
    is_floor_known: bool = True
    deltas_by_base: dict[int, Delta] = field(factory=dict)
    revision_by_peer: dict[str, int] = field(factory=dict)
    acknowledged_by_id: dict[str, int] = field(factory=dict)
    request: Request | None = None
    refused_revision: int = 0
    refused_at: float = float("-inf")


def raise_floor(state: Distribution, revision: int) -> None:
    """Raise the lowest revision that may be applied."""
    state.floor = max(state.floor, revision)


def note_revision(
    state: Distribution, peer: str, revision: int, now: float
) -> list[Send]:
    """Handle news of the revision in force at a linked peer.

    It comes with a Hello, a Heartbeat or a ConfigOffer; the first two replace
    an offer that was lost.
    """
    state.revision_by_peer[peer] = revision
    acknowledged = max(revision, state.acknowledged_by_id.pop(peer, 0))
    state.acknowledged_by_id[peer] = acknowledged
    while len(state.acknowledged_by_id) > MAX_REMEMBERED:
        del state.acknowledged_by_id[next(iter(state.acknowledged_by_id))]
    return _request_missing(state, now)


def forget_peer(state: Distribution, peer: str, now: float) -> list[Send]:
    """Handle the end of a link."""
    state.revision_by_peer.pop(peer, None)
    if state.request is not None and state.request.peer == peer:
        state.request = None
    return _request_missing(state, now)


def check_request(state: Distribution, now: float) -> list[Send]:
    """Ask another peer if a request was not answered in time."""
    request = state.request
    if request is not None and now - request.asked_at >= REQUEST_TIMEOUT_S:
        state.request = None
        return _request_missing(state, now, last_choice=request.peer)
    return _request_missing(state, now)


def _request_missing(
    state: Distribution, now: float, last_choice: str = ""
) -> list[Send]:
    if state.request is not None or not state.is_floor_known:
        return []
    known = max(state.config.revision, state.floor - 1)
    if now - state.refused_at < REFUSED_RETRY_S:
        known = max(known, state.refused_revision)
    peers = [peer for peer, at in state.revision_by_peer.items() if at > known]
    if not peers:
        return []
    # Among equals the peer that reported last, which answers soonest.
    peer = max(
        reversed(peers),
        key=lambda peer: (peer != last_choice, state.revision_by_peer[peer]),
    )
    return _ask(state, peer, state.config.revision, now)


def _ask(state: Distribution, peer: str, base: int, now: float) -> list[Send]:
    state.request = Request(peer, now)
    return [Send(peer, ConfigRequest(base))]


def answer_request(
    state: Distribution, peer: str, request: ConfigRequest
) -> list[Send]:
    """Answer with the deltas from the base, or the whole configuration."""
    if request.base_revision >= state.config.revision:
        return []
    chain = []
    revision = request.base_revision
    while revision in state.deltas_by_base:
        delta = state.deltas_by_base[revision]
        chain.append(delta)
        revision = delta.revision
    if revision == state.config.revision:
        return [Send(peer, ConfigDeltas(tuple(chain)))]
    return [Send(peer, ConfigFull(state.config))]


def take_deltas(
    state: Distribution,
    peer: str,
    message: ConfigDeltas,
    now: float,
    apply_config: ApplyConfig,
) -> list[Send]:
    """Apply deltas, each result whole or not at all."""
    _finish_request(state, peer)
    config = state.config
    results = []
    for delta in message.deltas:
        if delta.revision <= config.revision:
            continue
        result = apply_delta(config, delta)
        if isinstance(result, ErrorResult):
            if result.kind is ErrorKind.INVALID_CONFIG:
                return _ask(state, peer, NO_BASE, now)
            return _request_missing(state, now)
        config = result
        results.append((config, delta))
    return _put_in_force(state, peer, results, now, apply_config)


def take_full(
    state: Distribution,
    peer: str,
    config: Config,
    now: float,
    apply_config: ApplyConfig,
) -> list[Send]:
    """Apply a whole configuration."""
    _finish_request(state, peer)
    config = reuse_unchanged(state.config, config)
    return _put_in_force(state, peer, [(config, None)], now, apply_config)


def offer_config(
    state: Distribution, config: Config, apply_config: ApplyConfig
) -> list[Send] | ErrorResult:
    """Apply a configuration from the store or the coordinator and offer it.

    Returns
    -------
    sends : list of Send or ErrorResult
        ``STALE`` if the revision is not newer or is below the floor,
        otherwise the error of the configuration or of ``apply_config``.
    """
    config = reuse_unchanged(state.config, config)
    error = _try_config(state, config, apply_config)
    if error is not None:
        return error
    return _adopt(state, [(config, make_delta(state.config, config))])


def _finish_request(state: Distribution, peer: str) -> None:
    if state.request is not None and state.request.peer == peer:
        state.request = None


def _try_config(
    state: Distribution, config: Config, apply_config: ApplyConfig
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


def _put_in_force(
    state: Distribution,
    peer: str,
    results: list[tuple[Config, Delta | None]],
    now: float,
    apply_config: ApplyConfig,
) -> list[Send]:
    """Apply the newest acceptable result and refuse the ones after it."""
    sends = []
    while results:
        config, _ = results[-1]
        error = _try_config(state, config, apply_config)
        if error is None:
            return sends + _adopt(state, results) + _request_missing(state, now)
        if error.kind is not ErrorKind.STALE:
            sends.append(Send(peer, ConfigNack(config.revision, error.reason)))
            state.refused_revision = max(state.refused_revision, config.revision)
            state.refused_at = now
        results = results[:-1]
    return sends + _request_missing(state, now)


def _adopt(
    state: Distribution, results: list[tuple[Config, Delta | None]]
) -> list[Send]:
    config = results[-1][0]
    for _, delta in results:
        # Everything is a delta from the empty configuration; it is sent whole.
        if delta is not None and delta.base_revision > 0:
            state.deltas_by_base[delta.base_revision] = delta
    oldest = config.revision - KEPT_REVISIONS
    for base in [base for base in state.deltas_by_base if base < oldest]:
        del state.deltas_by_base[base]
    state.config = config
    state.digest = compute_digest(config)
    offer = ConfigOffer(config.revision, state.digest)
    return [
        Send(peer, offer)
        for peer, revision in state.revision_by_peer.items()
        if revision < config.revision
    ]
