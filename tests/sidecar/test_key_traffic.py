"""Bytes that nodes send each other for key proofs, in a fleet without a network."""

import random
from functools import partial
from types import SimpleNamespace

import pytest

from bamboocove.coordination.key_freshness import compute_poll_time
from bamboocove.protocol.mesh_messages import decode_mesh_message, encode_mesh_message
from bamboocove.sidecar.application import EXCHANGE_INTERVAL_S
from bamboocove.sidecar.key_proofs import KeyProofs
from bamboocove.sidecar.settings import Bounds
from bamboocove.sidecar.store import OperatorUpdate
from tests.sidecar.test_client_accounts import NORTH, make_account_config

HOSTS = 84
ZONES = 3
READERS = 2
SECONDS = 60
# Header of a WebSocket frame that is masked.
FRAME_BYTES = 6
MAX_BYTES_PER_S = 150


class Fleet:
    """Nodes of three zones; the first two of each zone read the store."""

    def __init__(self):
        self.now = 1e6
        self.bytes = 0
        self.nodes = [self.make_node(number) for number in range(HOSTS)]

    def make_node(self, number):
        is_reader = number // ZONES < READERS
        node = SimpleNamespace(
            random=random.Random(number),
            config=make_account_config(300, NORTH),
            settings=SimpleNamespace(bounds=Bounds(is_revocation_strict=True)),
            dissemination=SimpleNamespace(
                is_reader=lambda: is_reader,
                is_reading=lambda: is_reader,
                broadcast_offer=partial(self.broadcast, number),
            ),
        )
        return KeyProofs(node, lambda: self.now)

    def broadcast(self, sender, message):
        for number in range(HOSTS):
            is_own_zone = number % ZONES == sender % ZONES
            if number != sender and (is_own_zone or number // ZONES < READERS):
                self.send(sender, number, encode_mesh_message(message))

    def send(self, sender, receiver, data):
        self.bytes += len(data) + FRAME_BYTES
        link = SimpleNamespace(send_encoded=partial(self.send, receiver, sender))
        self.nodes[receiver].take(link, decode_mesh_message(data))

    def run(self, is_aligned):
        """Return the largest age of a proof at any node, after the start."""
        poll_s = compute_poll_time(Bounds().revocation_s, 2.0)
        readers = self.nodes[: ZONES * READERS]
        offsets = [random.Random(number).random() for number in range(len(readers))]
        next_offers = [self.now + offset for offset in offsets]
        # A change of the configuration ends all calls at once. The first call does not
        # wait.
        asked_at = [self.now + (0.0 if is_aligned else 1.0 - o) for o in offsets]
        answered_at = list(asked_at)
        start = self.now
        oldest = 0.0
        while self.now < start + SECONDS:
            self.now += 0.01
            for number, reader in enumerate(readers):
                if self.now >= next_offers[number]:
                    next_offers[number] += EXCHANGE_INTERVAL_S
                    reader.send_proof()
                if self.now >= answered_at[number]:
                    config = reader.application.config
                    reader.record_update(
                        OperatorUpdate(
                            config,
                            (),
                            1,
                            True,
                            store_time_s=self.now,
                            asked_at=asked_at[number],
                        )
                    )
                    asked_at[number] = self.now
                    wait_s = poll_s if reader.may_wait() else 0.0
                    answered_at[number] = self.now + wait_s
            if self.now > start + 5.0:
                oldest = max(oldest, *(node.get_age() for node in self.nodes))
        return oldest


@pytest.mark.parametrize("is_aligned", [True, False], ids=["aligned", "spread"])
def test_proofs_take_few_bytes_and_stay_young(is_aligned):
    """Guards against control traffic above the part's share, and against late proofs.

    The age must leave 0.6 of the revocation time up to the age that is accepted.
    """
    fleet = Fleet()
    oldest = fleet.run(is_aligned)
    bytes_per_s = fleet.bytes / HOSTS / SECONDS
    print(f"{bytes_per_s:.1f} B/s a host, proofs up to {oldest:.2f} s old")
    assert bytes_per_s < MAX_BYTES_PER_S
    assert oldest < 4.4 - 0.6 * 5.0
