"""Handling of messages from other nodes, and the periodic exchange of state."""

from typing import Any

from bamboocove.protocol.control_messages import (
    ClockQuery,
    ClockReply,
    ConfigProof,
    QuotaGrant,
    QuotaHolder,
    QuotaRequest,
    StoreEraNotice,
    SuspectsCleared,
)
from bamboocove.protocol.mesh_messages import (
    BodyGrant,
    BodyOffer,
    Cancel,
    ConfigCopy,
    ConfigDelta,
    CrashNotice,
    EvacuationUpdate,
    Forward,
    HostRecords,
    HostsOffer,
    HostsRequest,
    LoadUpdate,
    OutcomeBatch,
    OutcomeReport,
    RelayedMessage,
    Reply,
    ReplyOffer,
    ReplyPart,
    ReplyTerms,
    RulesUpdate,
    StateOffer,
    StateRequest,
    SuspectReport,
    decode_mesh_message,
    encode_mesh_message,
)
from bamboocove.state.codec import to_plain

# Probability that a node that does not read the store offers its state to one peer
# in an exchange (anti-entropy): repairs nodes that the readers' messages missed.
REPAIR_PROBABILITY = 0.25
# Probability that a reader also tells its zone the checksum of its host records, and
# the era of the store.
HOSTS_OFFER_PROBABILITY = 0.25


def exchange_state(application: Any) -> None:
    """Offer the state of this node to peers, or request theirs.

    A reader of the store offers its state to its zone and to the readers of the
    other zones. A node without a configuration or without the store requests the
    state of a random peer. Any other node offers its state to a random peer with
    ``REPAIR_PROBABILITY``.
    """
    dissemination = application.dissemination
    config_version = application.config.version
    offer = StateOffer(
        config_version,
        application.rule_table.get_digest(),
        application.settings.zone if dissemination.is_reading() else "",
    )
    application.key_proofs.send_proof()
    if offer.reading_zone:
        dissemination.broadcast_offer(offer)
        application.evacuation.repeat()
        if application.random.random() < HOSTS_OFFER_PROBABILITY:
            dissemination.broadcast_in_zone(HostsOffer(application.fleet.digest))
            notice = application.store_restore.make_notice()
            if notice is not None:
                dissemination.broadcast_in_zone(notice)
        return
    message: Any = offer
    if application.watch.unavailable_since is not None or not config_version:
        message = StateRequest(config_version)
    elif application.random.random() > REPAIR_PROBABILITY:
        return
    candidate_ids = dissemination.get_zone_peer_ids() if config_version else []
    if not candidate_ids:
        peers = application.hub.peers_by_id.values()
        candidate_ids = [peer.host_id for peer in peers if peer.is_open]
    if candidate_ids:
        application.hub.send(application.random.choice(candidate_ids), message)


def handle_message(
    application: Any, link: Any, host_id: str, message: Any, is_relayed: bool = False
) -> None:
    """Handle a message of another node.

    Parameters
    ----------
    application : SidecarApplication
        This node.
    link : object
        The link on which the message came; replies are sent on it.
    host_id : str
        Host of the sender; empty if it is not known yet.
    message : object
        A message, or None if the link was closed.
    is_relayed : bool
        Whether this node has already relayed the message in its zone.
    """
    now = application.clock.seconds()
    if isinstance(message, Forward | BodyOffer | ReplyTerms | Cancel | None):
        application.forwarding.take(link, message)
    elif isinstance(message, QuotaRequest | QuotaGrant | QuotaHolder):
        application.quotas.take(link, host_id, message)
    elif isinstance(message, BodyGrant):
        # Requests are offered on links that this node dialled, replies on others.
        if link.outgoing:
            application.outbound.on_grant(message, now)
        else:
            application.forwarding.take(link, message)
    elif isinstance(message, ReplyOffer):
        application.outbound.on_reply_offer(message, host_id)
    elif isinstance(message, ReplyPart):
        application.outbound.on_reply_part(message)
    elif isinstance(message, Reply):
        application.outbound.on_reply(message)
    elif isinstance(message, OutcomeBatch):
        _record_outcomes(application, message)
    elif isinstance(message, RulesUpdate):
        application.moves.apply_rules_message(message, now)
    elif isinstance(message, HostRecords):
        application.hosts.merge_records_message(message, is_relayed)
    elif isinstance(message, StateOffer):
        if message.reading_zone == application.settings.zone:
            application.readers.record_reader_signal(host_id, now)
        if message.rules_digest != application.rule_table.get_digest():
            link.send_encoded(
                encode_mesh_message(StateRequest(application.config.version))
            )
        else:
            application.dissemination.request_if_behind(
                link, message.config_version, application.config
            )
    elif isinstance(message, StoreEraNotice):
        application.store_restore.take_notice(message)
    elif isinstance(message, HostsOffer):
        application.hosts.repair_records(link, message)
    elif isinstance(message, HostsRequest):
        application.hosts.answer_repair(link, message)
    elif isinstance(message, SuspectReport):
        application.hub.probe(message.host_id, now)
    elif isinstance(message, CrashNotice):
        application.suspects.take_notice(message)
    elif isinstance(message, SuspectsCleared):
        application.suspects.take_cleared(message)
    elif isinstance(message, ConfigProof | ClockQuery | ClockReply):
        application.key_proofs.take(link, message)
    elif isinstance(message, StateRequest):
        _send_state(application, link, message)
    elif isinstance(message, LoadUpdate):
        for sender_id, load in message.loads_by_id.items():
            application.fleet.update_load(sender_id, load, now)
            if message.is_sign:
                application.dissemination.load_relay.add(sender_id, load)
    elif isinstance(message, EvacuationUpdate):
        application.evacuation.apply_message(link, message, is_relayed)
    elif isinstance(message, RelayedMessage):
        _relay(application, link, host_id, message)
    elif isinstance(message, ConfigCopy | ConfigDelta):
        dissemination = application.dissemination
        if isinstance(message, ConfigDelta):
            dissemination.relay_change(message)
        config = dissemination.decode_config(message, application.config)
        if config is not None:
            application.use_config(config, "peer")
        else:
            dissemination.request_if_behind(link, message.version, application.config)


def _relay(application: Any, link: Any, host_id: str, message: RelayedMessage) -> None:
    """Pass on a message of another zone in this one, and handle it.

    Loads and sums of outcomes go out with the next ones of this zone. Sent at once,
    they were most of the messages that a node of one of five zones received.
    """
    relayed = decode_mesh_message(message.data)
    dissemination = application.dissemination
    if isinstance(relayed, LoadUpdate):
        dissemination.load_relay.add_remote(relayed.loads_by_id)
    elif isinstance(relayed, OutcomeBatch):
        dissemination.outcome_batches.add_remote(relayed.items)
    elif isinstance(
        relayed,
        CrashNotice
        | EvacuationUpdate
        | HostRecords
        | QuotaHolder
        | RulesUpdate
        | StoreEraNotice
        | SuspectsCleared,
    ):
        dissemination.relay(message)
    else:
        return
    handle_message(application, link, host_id, relayed, is_relayed=True)


def _send_state(application: Any, link: Any, message: StateRequest) -> None:
    # Before the configuration, with which the node begins to serve.
    for update in application.evacuation.make_greeting():
        link.send_encoded(encode_mesh_message(update))
    if message.config_version == 0:
        records = [to_plain(r) for r in application.fleet.records_by_id.values()]
        link.send_encoded(encode_mesh_message(HostRecords(records)))
        application.quotas.send_holders(link)
    if application.config.version > message.config_version:
        link.send_encoded(
            application.dissemination.get_full_config_message(application.config)
        )
    link.send_encoded(encode_mesh_message(application.moves.make_rules_message()))


def _record_outcomes(application: Any, message: OutcomeBatch) -> None:
    for item in message.items:
        outcomes = OutcomeReport(*item)
        if message.is_sign:
            application.dissemination.outcome_batches.add(outcomes)
        else:
            application.moves.record_outcomes(outcomes)
