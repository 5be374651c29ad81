"""Exchange of key proofs, and the check that a request's key may still be used."""

import math
from collections.abc import Callable
from typing import Any

from attrs import define, field

from bamboocove.coordination.key_freshness import (
    BOUND_INTERVAL_S,
    KeyFreshness,
    get_max_age,
    make_proof,
)
from bamboocove.errors import ErrorKind, ErrorResult
from bamboocove.protocol.control_messages import ClockQuery, ClockReply, ConfigProof
from bamboocove.protocol.mesh_messages import encode_mesh_message
from bamboocove.sidecar.logs import log
from bamboocove.sidecar.outbound_request import OutboundRequest
from bamboocove.sidecar.store import OperatorUpdate

# A reader sends a proof that is newer than its last one by at least this time, in
# seconds: when it has read the store, and with its offers every 0.5 s.
MIN_PROGRESS_S = 0.4
# Time after which an unanswered question for the time of the store is repeated.
QUERY_TIMEOUT_S = 0.4
# Numbers of queries start at random, so that no process takes an answer to another's.
MAX_FIRST_NUMBER = 2**20


@define(eq=False)
class KeyProofs:
    """Sends, receives and checks proofs that this node knows the withdrawn keys.

    Parameters
    ----------
    application : SidecarApplication
        The node.
    get_boot_time : callable
        Returns the time since the machine started, in seconds.
    freshness : KeyFreshness
        Proofs, and bounds on the time of the store.
    """

    application: Any
    get_boot_time: Callable[[], float]
    freshness: KeyFreshness = field(init=False)
    # Whether all configurations that the store has acknowledged were applied up to
    # the last answer of the store to this node.
    _is_current: bool = False
    _store_era: int = 0
    _last_sent: tuple[int, int] = (0, 0)
    _query_number: int = field(init=False)
    _queried_at: float | None = None
    _next_query_at: float = -math.inf
    _next_prompt_at: float = -math.inf
    _stale_since: float | None = None

    def __attrs_post_init__(self) -> None:
        self.freshness = KeyFreshness(self._on_contradiction)
        self._query_number = int(self.application.random.random() * MAX_FIRST_NUMBER)

    @property
    def is_active(self) -> bool:
        """Whether requests with a key need a proof."""
        config = self.application.config
        bounds = self.application.settings.bounds
        return bounds.is_revocation_strict and bool(config.accounts_by_name)

    def get_age(self) -> float:
        """Return the age of the newest proof in seconds; infinity without one."""
        version = self.application.config.version
        return self.freshness.get_age(version, self.get_boot_time())

    def check(self, request: OutboundRequest) -> ErrorResult | None:
        """Return an error if the key of a request may have been withdrawn.

        Called when the whole request has been read. Its account was found at its head,
        and the configuration may have changed since.
        """
        if request.account is None or not self.is_active:
            return None
        if self.is_stale():
            reason = "the node does not know whether keys were withdrawn of late"
            return ErrorResult(ErrorKind.STALE_KEYS, reason)
        return self.application.outbound.router.confirm_account(request)

    def is_stale(self) -> bool:
        """Return whether requests with a key are refused for lack of a recent proof."""
        return self.is_active and self.get_age() > self._get_limit()

    def _get_limit(self) -> float:
        return get_max_age(self.application.settings.bounds.revocation_s)

    # Answers of the store.

    def may_wait(self) -> bool:
        """Return whether the next call for changes may wait for one.

        An answer without a wait bounds the time of the store closely. One that waits
        may leave the bound above it by the length of the wait.
        """
        now = self.get_boot_time()
        if not self.is_active or now < self._next_prompt_at:
            return True
        self._next_prompt_at = now + BOUND_INTERVAL_S
        return False

    def record_update(self, update: OperatorUpdate) -> None:
        """Record what an answer of the store proves, once it has been applied.

        A read of all rows without a valid configuration proves nothing: it does not
        show whether there was a newer valid one than that of this node. Later answers
        prove nothing either, until they bring a valid one. An invalid configuration
        among changes leaves the one in force as it is.
        """
        version = self.application.config.version
        has_config = update.config is not None and update.config.version <= version
        if update.is_full_read or update.era != self._store_era:
            self._is_current = update.is_full_read and has_config
            self._store_era = update.era
        elif has_config:
            self._is_current = True
        if update.store_time_s is None:
            return
        now = self.get_boot_time()
        if self._is_current:
            proof = make_proof(update.era, version, update.store_time_s)
            self.freshness.record_proof(proof, now)
        self.freshness.record_bound(
            update.era, update.asked_at, update.store_time_s, now
        )
        self.send_proof()

    def _on_contradiction(self, store_s: float) -> None:
        log("keys.store-clock", store_s=round(store_s, 3))

    # Messages.

    def send_proof(self) -> None:
        """Send the newest proof to the zone and to readers of others, if it is news.

        A reader that is cut off from the store passes on the proofs of other zones.
        """
        application = self.application
        if not self.is_active or not application.dissemination.is_reader():
            return
        proof = self.freshness.get_newest_proof(application.config.version)
        if proof is None:
            return
        era, verified_ms = self._last_sent
        # Negative if the clock of the store was set back.
        progress_s = (proof.verified_ms - verified_ms) / 1000
        if proof.store_era != era or not 0.0 <= progress_s < MIN_PROGRESS_S:
            self._last_sent = (proof.store_era, proof.verified_ms)
            application.dissemination.broadcast_offer(proof)

    def take(self, link: Any, message: ConfigProof | ClockQuery | ClockReply) -> None:
        """Handle a message of another node; replies go back on its link."""
        now = self.get_boot_time()
        if isinstance(message, ConfigProof):
            self.freshness.record_proof(message, now)
            self._query(link, now)
        elif isinstance(message, ClockQuery):
            reply = self.freshness.make_clock_reply(message.number, now)
            if reply is not None:
                link.send_encoded(encode_mesh_message(reply))
        elif message.number == self._query_number and self._queried_at is not None:
            self.freshness.record_bound(
                message.store_era, self._queried_at, message.store_ms / 1000, now
            )
            self._queried_at = None

    def _query(self, link: Any, now: float) -> None:
        """Ask the sender of a proof for the time of the store, if it is due.

        A node that reads the store gets bounds with its answers.
        """
        application = self.application
        if not self.is_active or application.dissemination.is_reading():
            return
        has_bound = self.freshness.has_bound(now)
        is_waiting = self._queried_at is not None
        if is_waiting and now < self._queried_at + QUERY_TIMEOUT_S:
            return
        if has_bound and not is_waiting and now < self._next_query_at:
            return
        self._query_number += 1
        self._queried_at = now
        self._next_query_at = now + BOUND_INTERVAL_S
        link.send_encoded(encode_mesh_message(ClockQuery(self._query_number)))

    # What an operator sees.

    def tick(self) -> None:
        """Log when this node begins and ends to refuse requests with a key."""
        now = self.get_boot_time()
        age = self.get_age()
        is_stale = self.is_active and age > self._get_limit()
        if is_stale == (self._stale_since is not None):
            return
        if is_stale:
            self._stale_since = now
            log(
                "keys.stale",
                age_s=round(age, 3) if age < math.inf else None,
                has_bound=self.freshness.has_bound(now),
                era=self.freshness.era,
                config=self.application.config.version,
                is_reading=self.application.watch.is_reading,
            )
            return
        seconds = round(now - self._stale_since, 3)
        self._stale_since = None
        log("keys.fresh", seconds=seconds, is_checked=self.is_active)
