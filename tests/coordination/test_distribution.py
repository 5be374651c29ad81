"""Tests of the distribution of the configuration between peers."""

from attrs import evolve
from hypothesis import given, settings
from hypothesis import strategies as st

from bamboocove.coordination.distribution import (
    KEPT_REVISIONS,
    MAX_REMEMBERED_PEERS,
    REFUSED_RETRY_S,
    REQUEST_TIMEOUT_S,
    DistributionState,
    OutgoingMessage,
    answer_request,
    apply_and_offer_config,
    check_request_timeout,
    handle_deltas,
    handle_full_config,
    raise_floor,
    record_peer_revision,
    remove_peer,
)
from bamboocove.errors import ErrorKind, ErrorResult
from bamboocove.protocol.messages import (
    NO_BASE,
    ConfigDeltas,
    ConfigFull,
    ConfigNack,
    ConfigOffer,
    ConfigRequest,
)
from bamboocove.state.config import Config, Route, Service, compute_digest, make_delta

NODES = 5


def make_config(revision):
    """Return a configuration that is determined by its revision."""
    services = {
        f"s{index}": Service(f"s{index}", f"v{revision - revision % (index + 1)}")
        for index in range(1 + revision % 4)
    }
    return Config(revision, "t", revision, services)


def accept(config):
    return None


def make_state(revision, peer_revisions=()):
    """Return a state to which all revisions up to this one were applied."""
    state = DistributionState()
    for number in range(1, revision + 1):
        apply_and_offer_config(state, make_config(number), accept)
    for peer, at in dict(peer_revisions).items():
        record_peer_revision(state, peer, at, 0.0)
    return state


class Network:
    """A fully meshed network of nodes, with the messages in flight."""

    def __init__(self, size=NODES):
        self.now = 0.0
        self.head = 0
        self.states = [DistributionState() for _ in range(size)]
        self.applied = [[] for _ in range(size)]
        self.in_flight = []
        self.groups = [0] * size
        self.refused = set()

    def apply(self, node):
        def apply_config(config):
            assert config.revision >= self.states[node].floor
            assert config == make_config(config.revision), "applied in part"
            assert all(config.revision > old for old in self.applied[node])
            if (node, config.revision) in self.refused:
                return ErrorResult(ErrorKind.INVALID_CONFIG, "refused")
            self.applied[node].append(config.revision)

        return apply_config

    def send(self, node, sends):
        for item in sends:
            self.in_flight.append((node, int(item.peer), item.message))

    def publish(self, node):
        self.head += 1
        self.offer(node, self.head)

    def offer(self, node, revision):
        sends = apply_and_offer_config(
            self.states[node], make_config(revision), self.apply(node)
        )
        if not isinstance(sends, ErrorResult):
            self.send(node, sends)

    def send_heartbeats(self, node):
        for peer in range(len(self.states)):
            if peer != node:
                revision = self.states[node].config.revision
                self.in_flight.append((node, peer, revision))
        self.send(node, check_request_timeout(self.states[node], self.now))

    def deliver(self, index, keep=False):
        if not self.in_flight:
            return
        index %= len(self.in_flight)
        source, target, message = self.in_flight[index]
        if not keep:
            del self.in_flight[index]
        if self.groups[source] != self.groups[target]:
            return
        state, peer, now = self.states[target], str(source), self.now
        match message:
            case int():
                sends = record_peer_revision(state, peer, message, now)
            case ConfigOffer():
                sends = record_peer_revision(state, peer, message.revision, now)
            case ConfigRequest():
                sends = answer_request(state, peer, message)
            case ConfigDeltas():
                sends = handle_deltas(state, peer, message, now, self.apply(target))
            case ConfigFull():
                config = message.config
                sends = handle_full_config(state, peer, config, now, self.apply(target))
            case ConfigNack():
                sends = []
        self.send(target, sends)

    def corrupt(self, index):
        """Change a service in a delta that is in flight."""
        if not self.in_flight:
            return
        index %= len(self.in_flight)
        source, target, message = self.in_flight[index]
        if isinstance(message, ConfigDeltas) and message.deltas:
            last = message.deltas[-1]
            last = evolve(last, services=(*last.services, Service("s0", "corrupt")))
            message = ConfigDeltas((*message.deltas[:-1], last))
            self.in_flight[index] = (source, target, message)

    def settle(self):
        """Exchange heartbeats and deliver all messages without faults."""
        for _ in range(6):
            self.now += REQUEST_TIMEOUT_S
            for node in range(len(self.states)):
                self.send_heartbeats(node)
            while self.in_flight:
                self.deliver(0)

    def get_revisions(self):
        return {state.config.revision for state in self.states}


ACTIONS = st.lists(
    st.tuples(
        st.sampled_from(
            ["publish", "old", "beat", "deliver", "deliver", "deliver", "repeat"]
            + ["lose", "corrupt", "wait", "split"]
        ),
        st.integers(0, 50),
    ),
    max_size=120,
)


@settings(max_examples=300, derandomize=True, deadline=None)
@given(ACTIONS)
def test_nodes_converge_despite_reordering_loss_and_duplication(actions):
    """Guards against an older or partial configuration, and a node left behind.

    Messages are reordered, repeated, lost and corrupted, and the network is
    partitioned with publications on both sides. ``Network.apply`` checks each
    configuration that is applied.
    """
    network = Network()
    for action, number in actions:
        node = number % NODES
        match action:
            case "publish":
                network.publish(node)
            case "old" if network.head:
                network.offer(node, 1 + number % network.head)
            case "beat":
                network.send_heartbeats(node)
            case "deliver":
                network.deliver(number)
            case "repeat":
                network.deliver(number, keep=True)
            case "lose" if network.in_flight:
                del network.in_flight[number % len(network.in_flight)]
            case "corrupt":
                network.corrupt(number)
            case "wait":
                network.now += number / 10
            case "split":
                network.groups = [(number >> index) & 1 for index in range(NODES)]
    newest = max(network.get_revisions())
    network.groups = [0] * NODES
    network.settle()
    assert network.get_revisions() == {newest}
    digests = {state.digest for state in network.states}
    assert digests == {compute_digest(make_config(newest)) if newest else b""}


def test_partition_heals_to_the_highest_revision():
    """Guards against sides that keep different revisions after a partition."""
    network = Network(4)
    network.publish(0)
    network.settle()
    network.groups = [0, 0, 1, 1]
    network.publish(0)
    network.settle()
    network.publish(2)
    network.publish(2)
    network.settle()
    assert [state.config.revision for state in network.states] == [2, 2, 4, 4]
    network.groups = [0] * 4
    network.settle()
    assert network.get_revisions() == {4}


def test_body_is_requested_once():
    """Guards against one copy of each body from every peer."""
    state = make_state(1)
    assert record_peer_revision(state, "a", 2, 0.0) == [
        OutgoingMessage("a", ConfigRequest(1))
    ]
    assert record_peer_revision(state, "b", 2, 0.1) == []
    assert check_request_timeout(state, 1.0) == []
    assert check_request_timeout(state, REQUEST_TIMEOUT_S) == [
        OutgoingMessage("b", ConfigRequest(1))
    ]


def test_lost_link_makes_the_node_request_from_another_peer():
    """Guards against waiting for an answer from a peer whose link has ended."""
    state = make_state(1)
    record_peer_revision(state, "a", 2, 0.0)
    record_peer_revision(state, "b", 2, 0.0)
    assert remove_peer(state, "a", 0.1) == [OutgoingMessage("b", ConfigRequest(1))]


def test_offer_goes_to_peers_that_lack_the_revision():
    """Guards against offers to the peer that a revision came from."""
    state = make_state(1, {"a": 1, "b": 2})
    sends = handle_full_config(state, "b", make_config(2), 0.0, accept)
    assert sends == [
        OutgoingMessage("a", ConfigOffer(2, compute_digest(make_config(2))))
    ]


def test_deltas_are_kept_for_64_revisions():
    """Guards against sending whole configurations to nodes that lag slightly."""
    state = make_state(KEPT_REVISIONS + 10)
    base = 10
    (send,) = answer_request(state, "a", ConfigRequest(base))
    assert len(send.message.deltas) == KEPT_REVISIONS
    (send,) = answer_request(state, "a", ConfigRequest(base - 1))
    assert send.message == ConfigFull(state.config)
    assert len(state.deltas_by_base) == KEPT_REVISIONS
    (send,) = answer_request(state, "a", ConfigRequest(NO_BASE))
    assert send.message == ConfigFull(state.config)
    assert answer_request(state, "a", ConfigRequest(state.config.revision)) == []


def test_chain_of_deltas_applies_only_its_end():
    """Guards against putting each revision of a chain of deltas in force."""
    source, target, applied = make_state(5), make_state(2), []
    (send,) = answer_request(source, "t", ConfigRequest(2))
    handle_deltas(
        target, "s", send.message, 0.0, lambda config: applied.append(config.revision)
    )
    assert applied == [5] and target.config == make_config(5)
    (send,) = answer_request(target, "x", ConfigRequest(2))
    assert [delta.revision for delta in send.message.deltas] == [3, 4, 5]


def test_whole_configuration_is_sent_if_deltas_have_a_gap():
    """Guards against deltas that end before the revision in force."""
    state = make_state(3)
    handle_full_config(state, "a", make_config(9), 0.0, accept)
    (send,) = answer_request(state, "b", ConfigRequest(1))
    assert send.message == ConfigFull(make_config(9))


def test_deltas_that_start_before_the_revision_in_force_are_applied():
    """Guards against a second request after a late answer."""
    source, state = make_state(4), make_state(3, {"a": 4})
    (send,) = answer_request(source, "s", ConfigRequest(1))
    assert handle_deltas(state, "a", send.message, 0.0, accept) == []
    assert state.config == make_config(4)


def test_bad_digest_leads_to_a_whole_configuration():
    """Guards against a node that cannot get past an invalid delta."""
    state = make_state(1, {"a": 2})
    delta = evolve(make_delta(make_config(1), make_config(2)), digest=bytes(32))
    sends = handle_deltas(state, "a", ConfigDeltas((delta,)), 0.0, accept)
    assert sends == [OutgoingMessage("a", ConfigRequest(NO_BASE))]
    assert state.config == make_config(1)
    handle_full_config(state, "a", make_config(2), 0.1, accept)
    assert state.config == make_config(2)


def refuse(*revisions):
    def apply_config(config):
        if config.revision in revisions:
            return ErrorResult(ErrorKind.INVALID_CONFIG, "does not compile")

    return apply_config


def test_newest_valid_revision_is_kept_when_a_later_one_is_refused():
    """Guards against an invalid revision that is applied or blocks others."""
    source, state = make_state(4), make_state(1, {"a": 4})
    (send,) = answer_request(source, "s", ConfigRequest(1))
    sends = handle_deltas(state, "a", send.message, 0.0, refuse(4))
    assert sends == [OutgoingMessage("a", ConfigNack(4, "does not compile"))]
    assert state.config == make_config(3)
    # The refused revision is not requested again yet, but a newer one is.
    assert record_peer_revision(state, "a", 4, 1.0) == []
    assert record_peer_revision(state, "a", 5, 2.0) == [
        OutgoingMessage("a", ConfigRequest(3))
    ]
    state.request = None
    state.revision_by_peer["a"] = 4
    assert check_request_timeout(state, REFUSED_RETRY_S) == [
        OutgoingMessage("a", ConfigRequest(3))
    ]


def test_dangling_reference_is_refused_before_it_is_applied():
    """Guards against a dependency on a service that does not exist."""
    state, applied = make_state(1, {"a": 2}), []
    config = Config(2, "t", 2, {"x": Service("x", "v1", ("missing",))})
    (send,) = handle_full_config(state, "a", config, 0.0, applied.append)
    assert isinstance(send.message, ConfigNack) and "missing" in send.message.reason
    assert applied == [] and state.config == make_config(1)
    error = apply_and_offer_config(state, config, applied.append)
    assert error.kind is ErrorKind.INVALID_CONFIG and applied == []


def test_nothing_below_the_floor_is_requested_or_applied():
    """Guards against a restarted node that applies a revision older than it had."""
    state = DistributionState()
    raise_floor(state, 5)
    raise_floor(state, 3)
    assert record_peer_revision(state, "a", 4, 0.0) == []
    assert handle_full_config(state, "a", make_config(4), 0.0, accept) == []
    assert apply_and_offer_config(state, make_config(4), accept).kind is ErrorKind.STALE
    assert state.config.revision == 0
    assert record_peer_revision(state, "a", 5, 0.0) == [
        OutgoingMessage("a", ConfigRequest(0))
    ]
    handle_full_config(state, "a", make_config(5), 0.0, accept)
    assert state.config.revision == 5


def test_acknowledged_revision_outlives_the_link():
    """Guards against a restarted peer that gets no floor."""
    state = make_state(3, {"a": 3})
    remove_peer(state, "a", 0.0)
    record_peer_revision(state, "a", 0, 1.0)
    assert state.acknowledged_by_id["a"] == 3
    assert state.revision_by_peer["a"] == 0


def test_number_of_remembered_peers_is_bounded():
    """Guards against memory that grows with every host that was ever linked."""
    state = make_state(1)
    for index in range(MAX_REMEMBERED_PEERS + 10):
        record_peer_revision(state, f"n{index}", 1, 0.0)
        remove_peer(state, f"n{index}", 0.0)
    assert len(state.acknowledged_by_id) == MAX_REMEMBERED_PEERS
    assert f"n{MAX_REMEMBERED_PEERS + 9}" in state.acknowledged_by_id


def test_unchanged_services_are_reused():
    """Guards against computing all digests again after a full configuration."""
    routes = (Route("r", "/r"),)
    config = Config(1, "t", 1, {"x": Service("x", "v1", (), routes)})
    state = DistributionState()
    apply_and_offer_config(state, config, accept)
    newer = Config(2, "t", 1, {"x": Service("x", "v1", (), (Route("r", "/r"),))})
    handle_full_config(state, "a", newer, 0.0, accept)
    assert state.config.services_by_name["x"] is config.services_by_name["x"]
