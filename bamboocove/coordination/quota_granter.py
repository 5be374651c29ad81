"""Decisions of a zone's granter: answers to its nodes, and gifts between zones.

A granter whose bucket is short asks the granters of the other zones one after the
other. It answers its nodes when it has enough, or when nobody gives more.
"""

import math
from collections.abc import Callable, Sequence

from attrs import define, field

from bamboocove.coordination.quota_buckets import PARTS_PER_TOKEN, QuotaBuckets
from bamboocove.protocol.control_messages import QuotaGrant, QuotaRequest

# Messages to send, each with the host that it goes to.
Messages = list[tuple[str, QuotaRequest | QuotaGrant]]

# Life of a gift, as a fraction of what a window tolerates. Gifts on their way are
# tokens that no bucket holds, beyond the burst.
GIFT_LIFE_FRACTION = 0.15
# Time after which a granter that has not answered is left out, in seconds, and for
# how long. Nodes hold a request for 0.15 s at most.
GIFT_TIMEOUT_S = 0.05
SILENT_S = 1.0
# Time for which no further gifts are asked for after nobody had any, in seconds.
DRY_S = 0.05
# Longest time for which an answer to a node waits for gifts, in seconds.
MAX_HELD_S = 0.11
# A zone that gave in this time counts as one that gives, in seconds.
GIVING_S = 1.0


@define
class _Pending:
    """A request of a node that waits for gifts, with what it got and still lacks."""

    sender_id: str
    number: int
    granted: dict[str, int]
    missing: dict[str, int]
    received_at: float


@define
class _Round:
    """Requests for gifts of one account, to one zone after the other."""

    left_ids: list[str]
    number: int = 0
    asked_id: str = ""
    asked_at: float = 0.0
    asked_parts: int = 0


@define(eq=False)
class QuotaGranter:
    """Answers requests for tokens while this host holds the lease of its zone.

    All times are in seconds of one clock of this host that counts suspension.

    Parameters
    ----------
    buckets : QuotaBuckets
        Tokens of this zone.
    tolerance_s : float
        Time by whose rate a window may be exceeded: its tolerance times its length.
    next_number : callable
        Returns a number that this host has not used for a request before.
    """

    buckets: QuotaBuckets
    tolerance_s: float
    next_number: Callable[[], int]
    _pending: list[_Pending] = field(factory=list)
    _rounds_by_account: dict[str, _Round] = field(factory=dict)
    _accounts_by_number: dict[int, str] = field(factory=dict)
    _dry_until_by_account: dict[str, float] = field(factory=dict)
    _silent_until_by_id: dict[str, float] = field(factory=dict)
    _given_at: float = -math.inf

    def clear(self) -> None:
        """Forget all tokens and requests, because the lease ended or began."""
        self.buckets.buckets_by_account = {}
        self._pending.clear()
        self._rounds_by_account.clear()
        self._accounts_by_number.clear()
        self._dry_until_by_account.clear()

    def on_request(
        self,
        sender_id: str,
        message: QuotaRequest,
        is_own_zone: bool,
        fencing_token: int,
        other_ids: Sequence[str],
        now: float,
    ) -> Messages:
        """Handle a request while the lease holds.

        Parameters
        ----------
        is_own_zone : bool
            Whether the sender is a node of this zone; others get only what it spares.
        fencing_token : int
            Fencing token of the lease.
        other_ids : sequence of str
            Granters of other zones that can be reached.
        """
        if message.is_gift or not is_own_zone:
            return [(sender_id, self._answer_other_zone(message, fencing_token, now))]
        pending = _Pending(sender_id, message.number, {}, {}, now)
        messages: Messages = []
        for name, count in message.counts_by_account.items():
            self.buckets.record_demand(name, count, now)
            is_waited_for = name in self._rounds_by_account
            granted = 0 if is_waited_for else self.buckets.grant(name, count, now)
            pending.granted[name] = granted
            if granted < count and name in self.buckets.buckets_by_account:
                pending.missing[name] = count - granted
        self._pending.append(pending)
        for name in pending.missing:
            if name not in self._rounds_by_account:
                messages += self._begin_round(name, other_ids, now)
        return messages + self._answer_ready(fencing_token, now)

    def on_gift(
        self, sender_id: str, message: QuotaGrant, fencing_token: int, now: float
    ) -> Messages:
        """Handle the answer of another zone's granter while the lease holds."""
        name = self._accounts_by_number.get(message.number)
        if name is None or self._rounds_by_account[name].asked_id != sender_id:
            return []
        self._silent_until_by_id.pop(sender_id, None)
        gifts = self._rounds_by_account[name]
        asked_at = gifts.asked_at
        parts = message.counts_by_account.get(name, 0)
        if parts >= gifts.asked_parts:
            # It may have more for requests that arrived since it was asked.
            gifts.left_ids.append(sender_id)
        if parts > 0 and now - asked_at <= GIFT_LIFE_FRACTION * self.tolerance_s:
            self.buckets.receive(name, parts, now)
            self._given_at = now
        self._grant_waiting(name, now)
        messages = self._continue_round(name, now)
        return messages + self._answer_ready(fencing_token, now)

    def tick(self, fencing_token: int, now: float) -> Messages:
        """Give up on granters and requests that waited for too long."""
        messages: Messages = []
        for name, gifts in list(self._rounds_by_account.items()):
            if now - gifts.asked_at >= GIFT_TIMEOUT_S:
                self._silent_until_by_id[gifts.asked_id] = now + SILENT_S
                messages += self._continue_round(name, now)
        return messages + self._answer_ready(fencing_token, now)

    @property
    def is_waiting(self) -> bool:
        """Whether ``tick`` is needed soon."""
        return bool(self._rounds_by_account or self._pending)

    def _answer_other_zone(
        self, message: QuotaRequest, fencing_token: int, now: float
    ) -> QuotaGrant:
        counts, waits_ms = {}, {}
        for name, count in message.counts_by_account.items():
            if message.is_gift:
                given = self.buckets.give(name, count, now)
            else:
                parts = count * PARTS_PER_TOKEN
                given = self.buckets.give(name, parts, now, is_whole=True)
                given //= PARTS_PER_TOKEN
            if given:
                counts[name] = given
            is_known = name in self.buckets.buckets_by_account
            if given < count and is_known and not message.is_gift:
                waits_ms[name] = self._get_wait_ms(name, now)
        return QuotaGrant(message.number, fencing_token, counts, waits_ms)

    def _get_wait_ms(self, name: str, now: float) -> int:
        is_alone = now - self._given_at > GIVING_S
        return math.ceil(self.buckets.get_wait(name, now, is_alone) * 1000)

    def _begin_round(self, name: str, other_ids: Sequence[str], now: float) -> Messages:
        if now < self._dry_until_by_account.get(name, -math.inf):
            return []
        left_ids = [
            host_id
            for host_id in other_ids
            if now >= self._silent_until_by_id.get(host_id, -math.inf)
        ]
        self._rounds_by_account[name] = _Round(left_ids)
        return self._continue_round(name, now)

    def _continue_round(self, name: str, now: float) -> Messages:
        """Ask the next zone, or end the requests for gifts of an account."""
        gifts = self._rounds_by_account[name]
        self._accounts_by_number.pop(gifts.number, None)
        waiting = sum(pending.missing.get(name, 0) for pending in self._pending)
        parts = self.buckets.count_missing(name, waiting, now) if waiting else 0
        if not parts or not gifts.left_ids:
            if waiting:
                self._dry_until_by_account[name] = now + DRY_S
            del self._rounds_by_account[name]
            return []
        gifts.asked_id = gifts.left_ids.pop(0)
        gifts.asked_at, gifts.number = now, self.next_number()
        gifts.asked_parts = parts
        self._accounts_by_number[gifts.number] = name
        return [(gifts.asked_id, QuotaRequest(gifts.number, {name: parts}, True))]

    def _grant_waiting(self, name: str, now: float) -> None:
        for pending in self._pending:
            missing = pending.missing.get(name, 0)
            if missing:
                granted = self.buckets.grant(name, missing, now)
                pending.granted[name] += granted
                pending.missing[name] -= granted
                if not pending.missing[name]:
                    del pending.missing[name]

    def _answer_ready(self, fencing_token: int, now: float) -> Messages:
        messages: Messages = []
        kept = []
        for pending in self._pending:
            is_late = now - pending.received_at >= MAX_HELD_S
            if not is_late and any(
                name in self._rounds_by_account for name in pending.missing
            ):
                kept.append(pending)
                continue
            waits_ms = {name: self._get_wait_ms(name, now) for name in pending.missing}
            granted = {n: count for n, count in pending.granted.items() if count}
            grant = QuotaGrant(pending.number, fencing_token, granted, waits_ms)
            messages.append((pending.sender_id, grant))
        self._pending = kept
        return messages
