"""Quotas of accounts: tasks of a node that asks for tokens and may grant them.

``bamboocove/coordination`` decides; this module keeps the lease in the store, and
sends and receives the messages.
"""

import itertools
from collections.abc import Callable, Iterable
from typing import Any

from bamboocove.coordination.quota_buckets import PARTS_PER_TOKEN, QuotaBuckets
from bamboocove.coordination.quota_client import QuotaClient
from bamboocove.coordination.quota_granter import QuotaGranter
from bamboocove.coordination.quota_lease import Call, QuotaLease
from bamboocove.coordination.quota_stock import TOKEN_LIFE_FRACTION, QuotaStock
from bamboocove.errors import ErrorResult
from bamboocove.events import run_logged
from bamboocove.protocol.control_messages import QuotaGrant, QuotaHolder, QuotaRequest
from bamboocove.protocol.mesh_messages import encode_mesh_message
from bamboocove.sidecar.logs import log
from bamboocove.sidecar.quota_admission import QuotaAdmission
from bamboocove.state.mesh import ClientAccount, MeshConfig
from bamboocove.transport.monotonic_clock import read_boot_time

# Interval at which a granter announces itself, in seconds.
ANNOUNCEMENT_INTERVAL_S = 1.0
# Interval at which waits for answers are looked at, in seconds, while there are any.
WAIT_CHECK_INTERVAL_S = 0.02
# Time after the first configuration with a limit before a node may take a lease, in
# seconds. A node that starts knows no other hosts, and each would be the first.
CANDIDATE_DELAY_S = 0.8
# Interval at which a node looks whether it may take the lease, in seconds.
CANDIDATE_CHECK_INTERVAL_S = 0.3
# A holder that has not been a candidate for this time gives the lease back, in
# seconds: nodes of other zones may not keep links to it.
STRANDED_S = 5.0
# Shortest interval between two events on the same account, and between two on granters
# that do not answer, in seconds.
EVENT_INTERVAL_S = 5.0
MAX_LOGGED_KEYS = 1000


class QuotaTask:
    """Keeps a node within the quotas of accounts.

    Does nothing while no account of the configuration has a limit.

    Parameters
    ----------
    application : SidecarApplication
        The node.
    read_time : callable
        Returns seconds of a clock that counts suspension.

    Attributes
    ----------
    admission : QuotaAdmission
        Requests of accounts with a limit.
    """

    def __init__(
        self, application: Any, read_time: Callable[[], float] = read_boot_time
    ):
        self._application = application
        self._read_time = read_time
        settings = application.settings
        bounds = settings.bounds
        self._host_id, self._zone = settings.host_id, settings.zone
        tolerance_s = bounds.quota_tolerance * bounds.quota_window_s
        self._token_life_s = TOKEN_LIFE_FRACTION * tolerance_s
        numbers = itertools.count(1)
        self._client = QuotaClient(
            self._zone,
            QuotaStock(self._token_life_s),
            numbers.__next__,
            self._is_reachable,
        )
        self._granter = QuotaGranter(
            QuotaBuckets(slack=bounds.quota_slack),
            tolerance_s,
            numbers.__next__,
        )
        self._lease = self._make_lease()
        self._term = 0
        self._accounts_by_name: dict[str, ClientAccount] = {}
        self._is_active = False
        self._active_since = 0.0
        # Links on which nodes asked for tokens, by host; answers go out on them.
        self._links_by_id: dict[str, Any] = {}
        self._pending_messages: list[tuple[str, Any]] = []
        self._is_sending = False
        self._timer: Any = None
        self._is_candidate = False
        self._next_candidate_check_at = 0.0
        self._candidate_at = 0.0
        self._next_announcement_at = 0.0
        self._was_granter = False
        self._logged_at_by_key: dict[str, float] = {}
        outbound = application.outbound
        self.admission = QuotaAdmission(
            self._client,
            read_time,
            self._send,
            outbound.responder.respond_with_error,
            outbound.responder.end_failed,
            application.random.random,
            application.metrics,
            self._on_unanswered,
            self._on_denied,
        )
        outbound.admit = self.admission.admit
        outbound.responder.on_not_run = self.admission.give_back

    def _make_lease(self) -> QuotaLease:
        application = self._application
        return QuotaLease(
            self._host_id,
            application.hosts.incarnation,
            self._token_life_s,
            application.settings.is_first_start,
        )

    @property
    def is_granter(self) -> bool:
        """Whether this node grants the tokens of its zone."""
        return self._is_active and self._may_grant(self._read_time())

    def count_tokens(self, account: str) -> int:
        """Return the tokens of an account that this node holds."""
        return self._client.stock.count_tokens(account, self._read_time())

    def get_denial(self, account: str) -> float:
        """Return for how long this node refuses an account, in seconds."""
        return self._client.stock.get_denial(account, self._read_time())

    def use_config(self, config: MeshConfig) -> None:
        """Apply the limits of a configuration."""
        accounts_by_name = config.accounts_by_name
        if accounts_by_name == self._accounts_by_name:
            return
        now = self._read_time()
        self._accounts_by_name = accounts_by_name
        limited = sum(a.rate_per_s > 0.0 for a in accounts_by_name.values())
        if limited and not self._is_active:
            self._active_since = now
        if limited or self._is_active:
            log("quota.limits", config=config.version, accounts=limited)
        self._is_active = limited > 0
        self._client.stock.use_limits(accounts_by_name, now)
        self._may_grant(now)
        if self._lease.holds(now):
            # Also before the first grant, as buckets are there from the lease's begin.
            self._use_limits(now)
        if not self._is_active:
            self._release()
        self.admission.settle_all()

    def tick(self, now: float) -> None:
        """Do periodic work; the parameter is the time of the reactor."""
        if not self._is_active:
            return
        now = self._read_time()
        self._keep_lease(now)
        self._announce(now)
        self._send(self._client.ask(now))
        self._check_waits()

    # The lease.

    def _may_grant(self, now: float) -> bool:
        """Return whether the lease holds; a new lease begins with empty buckets."""
        lease = self._lease
        if lease.incarnation != self._application.hosts.incarnation:
            # Others take the process of the earlier incarnation for dead.
            self._lease = self._make_lease()
            self._lease.observe_token(lease.fencing_token)
            self._term = 0
            self._granter.clear()
            return False
        if not lease.holds(now):
            # A renewal that is answered late continues the same term.
            if self._term:
                self._term = 0
                self._granter.clear()
            return False
        if lease.term != self._term:
            self._term = lease.term
            self._granter.clear()
            self._use_limits(now)
        return lease.may_grant(now)

    def _use_limits(self, now: float) -> None:
        buckets = self._granter.buckets
        buckets.zone_count = max(1, len(self._application.settings.regions_by_zone))
        buckets.use_limits(self._accounts_by_name, now)

    def _keep_lease(self, now: float) -> None:
        application = self._application
        is_granter = self._may_grant(now)
        lease = self._lease
        if is_granter != self._was_granter:
            self._was_granter = is_granter
            log("quota.granter", is_granter=is_granter, number=lease.fencing_token)
            self._next_announcement_at = now
            if not is_granter:
                self._granter.clear()
                self._links_by_id.clear()
        if now >= self._next_candidate_check_at:
            self._next_candidate_check_at = now + CANDIDATE_CHECK_INTERVAL_S
            self._is_candidate = (
                not application.is_draining
                and application.watch.has_read_hosts
                and now - self._active_since >= CANDIDATE_DELAY_S
                and application.dissemination.is_chosen_reader()
            )
        if self._is_candidate:
            self._candidate_at = now
        elif lease.holds(now) and (
            application.is_draining or now - self._candidate_at > STRANDED_S
        ):
            self._release()
            return
        known = self._client.granters_by_zone.get(self._zone)
        if known is not None:
            lease.observe_token(known.fencing_token)
        row = lease.get_stored_row()
        record = row and application.fleet.records_by_id.get(row.host_id)
        incarnation = record.incarnation if record else 0
        call = lease.decide(now, self._is_candidate, incarnation)
        if call is not None:
            run_logged(self._call_store(lease, call, now))

    async def _call_store(self, lease: QuotaLease, call: Call, sent_at: float) -> None:
        store = self._application.store
        if call is Call.READ:
            result = await store.read_quota_lease(self._zone)
        else:
            result = await store.write_quota_lease(self._zone, *lease.make_row())
        now = self._read_time()
        if isinstance(result, ErrorResult):
            lease.on_failure(sent_at, now)
            log("quota.lease-failed", reason=str(result))
        else:
            lease.on_result(sent_at, result, now)

    def _release(self) -> None:
        """Give the lease back, so that the next candidate need not wait for its end."""
        released = self._lease.make_release()
        self._granter.clear()
        if released is not None:
            run_logged(self._application.store.write_quota_lease(self._zone, *released))

    def _announce(self, now: float) -> None:
        if now < self._next_announcement_at or not self._may_grant(now):
            return
        self._next_announcement_at = now + ANNOUNCEMENT_INTERVAL_S
        holder = QuotaHolder(self._zone, self._host_id, self._lease.fencing_token)
        self._on_holder(holder)
        self._application.dissemination.broadcast_in_zone(holder)
        self._application.dissemination.relay_to_zones(holder)

    def send_holders(self, link: Any) -> None:
        """Tell a node that has just started which hosts grant tokens."""
        for zone, granter in self._client.granters_by_zone.items():
            holder = QuotaHolder(zone, granter.host_id, granter.fencing_token)
            link.send_encoded(encode_mesh_message(holder))

    # Messages.

    def _is_reachable(self, host_id: str) -> bool:
        if host_id == self._host_id:
            return True
        peer = self._application.hub.peers_by_id.get(host_id)
        return peer is not None and peer.is_open and not peer.is_suspect

    def take(self, link: Any, host_id: str, message: Any) -> None:
        """Handle a message on quotas that another node sent on a link."""
        if isinstance(message, QuotaHolder):
            self._on_holder(message)
        elif host_id:
            if isinstance(message, QuotaRequest):
                self._links_by_id[host_id] = link
            self._handle(host_id, message)

    def _on_holder(self, message: QuotaHolder) -> None:
        if self._client.on_holder(message):
            log(
                "quota.holder",
                zone=message.zone,
                host=message.host_id,
                number=message.fencing_token,
            )

    def _handle(self, sender_id: str, message: QuotaRequest | QuotaGrant) -> None:
        now = self._read_time()
        may_grant = self._is_active and self._may_grant(now)
        token = self._lease.fencing_token
        if isinstance(message, QuotaRequest):
            if not may_grant:
                refusal = QuotaGrant(message.number, 0, {}, {})
                self._send([(sender_id, refusal)])
                return
            others = self._client.get_other_granters()
            is_own = self._is_in_own_zone(sender_id)
            messages = self._granter.on_request(
                sender_id, message, is_own, token, others, now
            )
            unit = PARTS_PER_TOKEN if message.is_gift else 1
            self._count_tokens("granted" if is_own else "given", messages, unit)
            self._send(messages)
            return
        if may_grant and self._client.is_valid(sender_id, message):
            messages = self._granter.on_gift(sender_id, message, token, now)
            self._count_tokens("granted", messages)
            self._send(messages)
        known = self._client.granters_by_zone.get(self._zone)
        if not message.fencing_token and known and known.host_id == sender_id:
            self._lease.on_refusal(now)
        answer = self._client.on_grant(sender_id, message, now)
        self._send(answer.messages)
        self.admission.settle(answer.accounts, answer.denied)

    def _count_tokens(
        self, direction: str, messages: Iterable[tuple[str, Any]], unit: int = 1
    ) -> None:
        count = sum(
            sum(message.counts_by_account.values())
            for _, message in messages
            if isinstance(message, QuotaGrant)
        )
        if count:
            self._application.metrics.count_quota_tokens(direction, count / unit)

    def _is_in_own_zone(self, host_id: str) -> bool:
        record = self._application.fleet.records_by_id.get(host_id)
        is_own_host = host_id == self._host_id
        return is_own_host or (record is not None and record.zone == self._zone)

    def _send(self, messages: Iterable[tuple[str, Any]]) -> None:
        """Send messages to granters and nodes; those to this node are handled here."""
        self._pending_messages += messages
        if self._is_sending:
            return
        self._is_sending = True
        try:
            while self._pending_messages:
                host_id, message = self._pending_messages.pop(0)
                if host_id == self._host_id:
                    self._handle(host_id, message)
                elif isinstance(message, QuotaGrant):
                    link = self._links_by_id.get(host_id)
                    if link is not None:
                        link.send_encoded(encode_mesh_message(message))
                else:
                    self._application.hub.send(host_id, message)
        finally:
            self._is_sending = False
        self._schedule_check()

    def _schedule_check(self) -> None:
        is_waiting = (
            self._client.is_waiting
            or self._granter.is_waiting
            or self.admission.waiting
        )
        if is_waiting and self._timer is None:
            self._timer = self._application.clock.callLater(
                WAIT_CHECK_INTERVAL_S, self._on_timer
            )

    def _on_timer(self) -> None:
        self._timer = None
        self._check_waits()
        self._schedule_check()

    def _check_waits(self) -> None:
        now = self._read_time()
        if self._is_active and self._may_grant(now):
            messages = self._granter.tick(self._lease.fencing_token, now)
            self._count_tokens("granted", messages)
            self._send(messages)
        self._send(self._client.tick(now))
        self.admission.settle_all()

    def _on_unanswered(self, account: str) -> None:
        if self._is_log_due("unanswered"):
            log("quota.unanswered", account=account)

    def _on_denied(self, account: str) -> None:
        if self._is_log_due(f"exceeded {account}"):
            log("quota.exceeded", account=account)

    def _is_log_due(self, key: str) -> bool:
        now = self._read_time()
        if now - self._logged_at_by_key.get(key, -EVENT_INTERVAL_S) < EVENT_INTERVAL_S:
            return False
        if len(self._logged_at_by_key) >= MAX_LOGGED_KEYS:
            self._logged_at_by_key.clear()
        self._logged_at_by_key[key] = now
        return True
