"""Tests of bamboocove.coordination.distribution."""

from attrs import evolve
from hypothesis import given, settings
from hypothesis import strategies as st

from bamboocove.coordination.distribution import (
    KEPT_REVISIONS,
    MAX_REMEMBERED,
    REFUSED_RETRY_S,
    REQUEST_TIMEOUT_S,
    Distribution,
    Send,
    answer_request,
    check_request,
    forget_peer,
    note_revision,
    offer_config,
    raise_floor,
    take_deltas,
    take_full,
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
    """Return the one configuration with this revision."""
    services = {
        f"s{index}": Service(f"s{index}", f"v{revision - revision % (index + 1)}")
        for index in range(1 + revision % 4)
    }
    return Config(revision, "t", revision, services)


def accept(config):
    return None


def make_state(revision, peer_revisions=()):
    """Return a state that went through all revisions up to this one."""
    state = Distribution()
    for number in range(1, revision + 1):
        offer_config(state, make_config(number), accept)
    for peer, at in dict(peer_revisions).items():
        note_revision(state, peer, at, 0.0)
    return state


class Net:
    """Nodes that all know each other, and the messages between them."""

    def __init__(self, size=NODES):
        self.now = 0.0
        self.head = 0
        self.states = [Distribution() for _ in range(size)]
        self.applied = [[] for _ in range(size)]
        self.flight = []
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
            self.flight.append((node, int(item.peer), item.message))

    def publish(self, node):
        self.head += 1
        self.offer(node, self.head)

    def offer(self, node, revision):
        sends = offer_config(self.states[node], make_config(revision), self.apply(node))
        if not isinstance(sends, ErrorResult):
            self.send(node, sends)

    def beat(self, node):
        for peer in range(len(self.states)):
            if peer != node:
                revision = self.states[node].config.revision
                self.flight.append((node, peer, revision))
        self.send(node, check_request(self.states[node], self.now))

    def deliver(self, index, keep=False):
        if not self.flight:
            return
        index %= len(self.flight)
        source, target, message = self.flight[index]
        if not keep:
            del self.flight[index]
        if self.groups[source] != self.groups[target]:
            return
        state, peer, now = self.states[target], str(source), self.now
        match message:
            case int():
                sends = note_revision(state, peer, message, now)
            case ConfigOffer():
                sends = note_revision(state, peer, message.revision, now)
            case ConfigRequest():
                sends = answer_request(state, peer, message)
            case ConfigDeltas():
                sends = take_deltas(state, peer, message, now, self.apply(target))
            case ConfigFull():
                config = message.config
                sends = take_full(state, peer, config, now, self.apply(target))
            case ConfigNack():
                sends = []
        self.send(target, sends)

    def corrupt(self, index):
        """Change a service in a delta that is on its way."""
        if not self.flight:
            return
        index %= len(self.flight)
        source, target, message = self.flight[index]
        if isinstance(message, ConfigDeltas) and message.deltas:
            last = message.deltas[-1]
            last = evolve(last, services=(*last.services, Service("s0", "corrupt")))
            message = ConfigDeltas((*message.deltas[:-1], last))
            self.flight[index] = (source, target, message)

    def settle(self):
        """Let heartbeats and messages pass without faults."""
        for _ in range(6):
            self.now += REQUEST_TIMEOUT_S
            for node in range(len(self.states)):
                self.beat(node)
            while self.flight:
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
def test_any_order_loss_and_duplication(actions):
    """Guards against a step back, a part of a delta, and a node left behind.

    Messages are reordered, repeated, lost and corrupted, and zones are parted
    with publications on both sides; ``Net.apply`` checks each application.
    """
    net = Net()
    for action, number in actions:
        node = number % NODES
        match action:
            case "publish":
                net.publish(node)
            case "old" if net.head:
                net.offer(node, 1 + number % net.head)
            case "beat":
                net.beat(node)
            case "deliver":
                net.deliver(number)
            case "repeat":
                net.deliver(number, keep=True)
            case "lose" if net.flight:
                del net.flight[number % len(net.flight)]
            case "corrupt":
                net.corrupt(number)
            case "wait":
                net.now += number / 10
            case "split":
                net.groups = [(number >> index) & 1 for index in range(NODES)]
    newest = max(net.get_revisions())
    net.groups = [0] * NODES
    net.settle()
    assert net.get_revisions() == {newest}
    digests = {state.digest for state in net.states}
    assert digests == {compute_digest(make_config(newest)) if newest else b""}


def test_partition_heals_to_the_highest_revision():
    """Guards against two sides that keep their own revision after they meet."""
    net = Net(4)
    net.publish(0)
    net.settle()
    net.groups = [0, 0, 1, 1]
    net.publish(0)
    net.settle()
    net.publish(2)
    net.publish(2)
    net.settle()
    assert [state.config.revision for state in net.states] == [2, 2, 4, 4]
    net.groups = [0] * 4
    net.settle()
    assert net.get_revisions() == {4}


def test_body_is_requested_once():
    """Guards against one copy of each body from every neighbour."""
    state = make_state(1)
    assert note_revision(state, "a", 2, 0.0) == [Send("a", ConfigRequest(1))]
    assert note_revision(state, "b", 2, 0.1) == []
    assert check_request(state, 1.0) == []
    assert check_request(state, REQUEST_TIMEOUT_S) == [Send("b", ConfigRequest(1))]


def test_lost_link_moves_the_request():
    """Guards against a node that waits for a peer that is gone."""
    state = make_state(1)
    note_revision(state, "a", 2, 0.0)
    note_revision(state, "b", 2, 0.0)
    assert forget_peer(state, "a", 0.1) == [Send("b", ConfigRequest(1))]


def test_offer_goes_to_peers_that_lack_the_revision():
    """Guards against offers back to where a revision came from."""
    state = make_state(1, {"a": 1, "b": 2})
    sends = take_full(state, "b", make_config(2), 0.0, accept)
    assert sends == [Send("a", ConfigOffer(2, compute_digest(make_config(2))))]


def test_deltas_are_kept_for_64_revisions():
    """Guards against whole configurations for nodes that are a little behind."""
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
    """Guards against each revision of a chain being put in force in turn."""
    source, target, applied = make_state(5), make_state(2), []
    (send,) = answer_request(source, "t", ConfigRequest(2))
    take_deltas(
        target, "s", send.message, 0.0, lambda config: applied.append(config.revision)
    )
    assert applied == [5] and target.config == make_config(5)
    (send,) = answer_request(target, "x", ConfigRequest(2))
    assert [delta.revision for delta in send.message.deltas] == [3, 4, 5]


def test_whole_configuration_is_sent_where_deltas_end_too_early():
    """Guards against deltas that lead to a revision that is not in force."""
    state = make_state(3)
    take_full(state, "a", make_config(9), 0.0, accept)
    (send,) = answer_request(state, "b", ConfigRequest(1))
    assert send.message == ConfigFull(make_config(9))


def test_deltas_that_overlap_what_is_in_force_are_used():
    """Guards against a second request after an answer that came late."""
    source, state = make_state(4), make_state(3, {"a": 4})
    (send,) = answer_request(source, "s", ConfigRequest(1))
    assert take_deltas(state, "a", send.message, 0.0, accept) == []
    assert state.config == make_config(4)


def test_bad_digest_leads_to_a_whole_configuration():
    """Guards against a node that is stuck behind a delta that cannot apply."""
    state = make_state(1, {"a": 2})
    delta = evolve(make_delta(make_config(1), make_config(2)), digest=bytes(32))
    sends = take_deltas(state, "a", ConfigDeltas((delta,)), 0.0, accept)
    assert sends == [Send("a", ConfigRequest(NO_BASE))]
    assert state.config == make_config(1)
    take_full(state, "a", make_config(2), 0.1, accept)
    assert state.config == make_config(2)


def refuse(*revisions):
    def apply_config(config):
        if config.revision in revisions:
            return ErrorResult(ErrorKind.INVALID_CONFIG, "does not compile")

    return apply_config


def test_refused_revision_keeps_the_newest_acceptable_one():
    """Guards against a bad version in force, and against one that blocks others."""
    source, state = make_state(4), make_state(1, {"a": 4})
    (send,) = answer_request(source, "s", ConfigRequest(1))
    sends = take_deltas(state, "a", send.message, 0.0, refuse(4))
    assert sends == [Send("a", ConfigNack(4, "does not compile"))]
    assert state.config == make_config(3)
    # It is not fetched again and again, but a newer one is.
    assert note_revision(state, "a", 4, 1.0) == []
    assert note_revision(state, "a", 5, 2.0) == [Send("a", ConfigRequest(3))]
    state.request = None
    state.revision_by_peer["a"] = 4
    assert check_request(state, REFUSED_RETRY_S) == [Send("a", ConfigRequest(3))]


def test_dangling_reference_is_refused_before_it_is_applied():
    """Guards against a route to a service that the configuration lacks."""
    state, applied = make_state(1, {"a": 2}), []
    config = Config(2, "t", 2, {"x": Service("x", "v1", ("missing",))})
    (send,) = take_full(state, "a", config, 0.0, applied.append)
    assert isinstance(send.message, ConfigNack) and "missing" in send.message.reason
    assert applied == [] and state.config == make_config(1)
    error = offer_config(state, config, applied.append)
    assert error.kind is ErrorKind.INVALID_CONFIG and applied == []


def test_nothing_below_the_floor_is_requested_or_applied():
    """Guards against a restarted node that goes back behind its own past."""
    state = Distribution()
    raise_floor(state, 5)
    raise_floor(state, 3)
    assert note_revision(state, "a", 4, 0.0) == []
    assert take_full(state, "a", make_config(4), 0.0, accept) == []
    assert offer_config(state, make_config(4), accept).kind is ErrorKind.STALE
    assert state.config.revision == 0
    assert note_revision(state, "a", 5, 0.0) == [Send("a", ConfigRequest(0))]
    take_full(state, "a", make_config(5), 0.0, accept)
    assert state.config.revision == 5


def test_acknowledged_revision_outlives_the_link():
    """Guards against a neighbour whose floor is forgotten when it restarts."""
    state = make_state(3, {"a": 3})
    forget_peer(state, "a", 0.0)
    note_revision(state, "a", 0, 1.0)
    assert state.acknowledged_by_id["a"] == 3
    assert state.revision_by_peer["a"] == 0


def test_remembered_neighbours_are_bounded():
    """Guards against memory that grows with each host that was ever linked."""
    state = make_state(1)
    for index in range(MAX_REMEMBERED + 10):
        note_revision(state, f"n{index}", 1, 0.0)
        forget_peer(state, f"n{index}", 0.0)
    assert len(state.acknowledged_by_id) == MAX_REMEMBERED
    assert f"n{MAX_REMEMBERED + 9}" in state.acknowledged_by_id


def test_unchanged_services_are_shared():
    """Guards against digests of every service after each full configuration."""
    routes = (Route("r", "/r"),)
    config = Config(1, "t", 1, {"x": Service("x", "v1", (), routes)})
    state = Distribution()
    offer_config(state, config, accept)
    newer = Config(2, "t", 1, {"x": Service("x", "v1", (), (Route("r", "/r"),))})
    take_full(state, "a", newer, 0.0, accept)
    assert state.config.services_by_name["x"] is config.services_by_name["x"]
