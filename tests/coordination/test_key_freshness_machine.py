"""State machine of key revocation: one store, two readers, two nodes, bad links."""

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from bamboocove.coordination.key_freshness import KeyFreshness, get_max_age, make_proof

REVOCATION_S = 5.0
# Local clocks: their rates relative to the store's, and their starts.
CLOCKS = {
    "r0": (1.0, 5.0),
    "r1": (0.9995, 900.0),
    "n0": (1.0005, 70.0),
    "n1": (0.9995, 0.0),
}
READERS, NODES = ("r0", "r1"), ("n0", "n1")
machines = st.sampled_from(tuple(CLOCKS))
readers = st.sampled_from(READERS)
nodes = st.sampled_from(NODES)
choices = st.integers(0, 99)
delays = st.sampled_from([0.05, 0.5, 1.0, 2.0, 4.0])


class RevocationMachine(RuleBasedStateMachine):
    """Version v of the configuration withdraws key v - 1: version v accepts key v."""

    def __init__(self):
        super().__init__()
        self.now = 1000.0
        self.withdrawn_at = {}
        self.store_version = 1
        self.versions = dict.fromkeys(CLOCKS, 0)
        self.states = {name: KeyFreshness() for name in CLOCKS}
        self.paused = set()
        # Long polls that the store has not answered, and messages on their way: each a
        # receiver and what it does there.
        self.polls = []
        self.messages = []
        for reader, node in zip(READERS, NODES, strict=True):
            self.poll(reader, 0.05)
            self.refresh(node, reader, 0.05, True)

    def read_clock(self, name):
        rate, start = CLOCKS[name]
        return start + rate * (self.now - 1000.0)

    def send(self, name, action):
        self.messages.append((name, action))

    @rule(seconds=delays)
    def wait(self, seconds):
        self.now += seconds

    @rule()
    def withdraw_a_key(self):
        self.withdrawn_at[self.store_version] = self.now
        self.store_version += 1

    @rule(name=readers)
    def ask_store(self, name):
        self.polls.append((name, self.read_clock(name)))

    @rule(choice=choices)
    def answer_poll(self, choice):
        if not self.polls:
            return
        name, asked_at = self.polls.pop(choice % len(self.polls))
        version, store_s = self.store_version, self.now

        def take_answer():
            self.versions[name] = max(self.versions[name], version)
            now = self.read_clock(name)
            proof = make_proof(0, self.versions[name], store_s)
            self.states[name].record_proof(proof, now)
            self.states[name].record_bound(0, asked_at, store_s, now)

        self.send(name, take_answer)

    @rule(reader=readers, other=machines)
    def send_config(self, reader, other):
        version = self.versions[reader]
        versions = self.versions
        self.send(
            other, lambda: versions.update({other: max(versions[other], version)})
        )

    @rule(reader=readers, other=machines)
    def send_proof(self, reader, other):
        proof = self.states[reader].get_newest_proof(self.versions[reader])
        if reader not in self.paused and proof is not None:
            self.send(
                other,
                lambda: self.states[other].record_proof(proof, self.read_clock(other)),
            )

    @rule(node=nodes, other=machines)
    def ask_time(self, node, other):
        asked_at = self.read_clock(node)
        state = self.states[node]

        def take_reply(reply):
            # A process takes no answer to another one's question.
            if self.states[node] is state:
                now = self.read_clock(node)
                state.record_bound(0, asked_at, reply.store_ms / 1000, now)

        def take_query():
            reply = self.states[other].make_clock_reply(1, self.read_clock(other))
            if reply is not None:
                self.send(node, lambda: take_reply(reply))

        if node not in self.paused:
            self.send(other, take_query)

    @rule(choice=choices)
    def deliver(self, choice):
        ready = [m for m in self.messages if m[0] not in self.paused]
        if ready:
            message = ready[choice % len(ready)]
            self.messages.remove(message)
            message[1]()

    @rule(choice=choices)
    def lose(self, choice):
        if self.messages:
            self.messages.pop(choice % len(self.messages))

    @rule(name=readers, seconds=delays)
    def poll(self, name, seconds):
        """Let a long poll of a reader go well."""
        self.ask_store(name)
        self.wait(seconds)
        self.answer_poll(-1)
        self.deliver(-1)

    @rule(node=nodes, reader=readers, seconds=delays, has_config=st.booleans())
    def refresh(self, node, reader, seconds, has_config):
        """Let an exchange between a reader and a node go well, but perhaps slowly."""
        self.send_proof(reader, node)
        self.deliver(-1)
        if has_config:
            self.send_config(reader, node)
            self.deliver(-1)
        self.ask_time(node, reader)
        self.deliver(-1)
        self.wait(seconds)
        self.deliver(-1)

    @rule(name=machines)
    def pause_or_resume(self, name):
        self.paused ^= {name}

    @rule(name=machines)
    def restart(self, name):
        self.states[name] = KeyFreshness()
        self.versions[name] = 0
        self.polls = [poll for poll in self.polls if poll[0] != name]
        self.messages = [m for m in self.messages if m[0] != name]

    @invariant()
    def no_withdrawn_key_is_accepted_too_late(self):
        """Guards against a key that is used long after its withdrawal."""
        for name, state in self.states.items():
            version = self.versions[name]
            if version not in self.withdrawn_at or name in self.paused:
                continue
            age = state.get_age(version, self.read_clock(name))
            if age <= get_max_age(REVOCATION_S):
                assert self.now - self.withdrawn_at[version] <= REVOCATION_S


TestRevocationMachine = RevocationMachine.TestCase
TestRevocationMachine.settings = settings(
    max_examples=200, stateful_step_count=40, deadline=None, derandomize=True
)
