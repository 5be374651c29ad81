"""What a node does with the messages of others, and what it asks them for."""

from typing import Any

from bamboocove.protocol.mesh_messages import (
    Cancel,
    ConfigCopy,
    ConfigDelta,
    Forward,
    HostRecords,
    LoadUpdate,
    OutcomeBatch,
    OutcomeReport,
    RelayedMessage,
    Reply,
    RulesUpdate,
    StateOffer,
    StateRequest,
    SuspectReport,
    decode_mesh_message,
    encode_mesh_message,
)
from bamboocove.state.codec import to_plain

# Part of the times at which a node that does not read the store offers what it
# knows to one peer: repairs what the readers' messages did not reach.
REPAIR_PART = 0.25


def exchange_news(application: Any) -> None:
    """Offer what this node knows, or ask for what it lacks."""
    peers = [peer for peer in application.hub.peers_by_id.values() if peer.is_open]
    if not peers:
        return
    near = application.spreading.get_near_ids()
    is_lost = application.watch.failed_since is not None
    offer = StateOffer(
        application.config.version,
        application.book.get_digest(),
        application.settings.zone if application.spreading.is_reading() else "",
    )
    if offer.reading_zone:
        application.spreading.offer(offer)
        return
    ids = near if near and application.config.version else [p.host_id for p in peers]
    message: Any = offer
    if is_lost or not application.config.version:
        message = StateRequest(application.config.version)
    elif application.random.random() > REPAIR_PART:
        return
    application.hub.send(application.random.choice(ids), message)


def take_message(application: Any, link: Any, host_id: str, message: Any) -> None:
    """Take a message of another node.

    Parameters
    ----------
    application : SidecarApplication
        This node.
    link : object
        Where answers go.
    host_id : str
        The sender, if this node dialled the link; else empty.
    message : object
        A message, or None if the link was closed.
    """
    now = application.clock.seconds()
    if isinstance(message, Forward | Cancel) or message is None:
        application.forwarding.take(link, message)
    elif isinstance(message, Reply):
        application.origin.on_reply(message)
    elif isinstance(message, OutcomeBatch):
        _take_outcomes(application, message)
    elif isinstance(message, RulesUpdate):
        application.moves.take_news(message, now)
    elif isinstance(message, HostRecords):
        application.hosts.take_message(message)
    elif isinstance(message, StateOffer):
        if message.reading_zone == application.settings.zone:
            application.readers.take_sign(now)
        if (
            message.config_version > application.config.version
            or message.rules_digest != application.book.get_digest()
        ):
            link.send_encoded(
                encode_mesh_message(StateRequest(application.config.version))
            )
    elif isinstance(message, SuspectReport):
        application.hub.ask(message.host_id, now)
    elif isinstance(message, StateRequest):
        _send_news(application, link, message)
    elif isinstance(message, LoadUpdate):
        for sender_id, load in message.loads_by_id.items():
            application.fleet.take_load(sender_id, load, now)
            if message.is_sign:
                application.spreading.loads.add(sender_id, load)
    elif isinstance(message, RelayedMessage):
        inner = decode_mesh_message(message.data)
        if isinstance(inner, HostRecords | OutcomeBatch | RulesUpdate | LoadUpdate):
            application.spreading.relay(message)
            take_message(application, link, host_id, inner)
    elif isinstance(message, ConfigCopy | ConfigDelta):
        config = application.spreading.read(link, message, application.config)
        if config is not None:
            application.use_config(config, "peer")


def _send_news(application: Any, link: Any, message: StateRequest) -> None:
    if message.config_version == 0:
        records = [to_plain(r) for r in application.fleet.records_by_id.values()]
        link.send_encoded(encode_mesh_message(HostRecords(records)))
    if application.config.version > message.config_version:
        link.send_encoded(application.spreading.get_copy(application.config))
    link.send_encoded(encode_mesh_message(application.moves.make_news()))


def _take_outcomes(application: Any, message: OutcomeBatch) -> None:
    for item in message.items:
        outcomes = OutcomeReport(*item)
        application.moves.take_outcomes(outcomes)
        if message.is_sign:
            application.spreading.batches.add(outcomes)
