"""Decisions of a node that asks granters for tokens: whom, and when.

A node asks the granter of its zone. If that one does not answer, it asks those of the
other zones one after the other.
"""

from collections.abc import Callable, Iterable, Mapping

from attrs import define, field, frozen

from bamboocove.coordination.quota_stock import QuotaStock
from bamboocove.protocol.control_messages import QuotaGrant, QuotaHolder, QuotaRequest

# Time without an answer after which the next granter is asked too, in seconds.
ANSWER_TIMEOUT_S = 0.05
# Time after which an answer is no longer waited for, in seconds.
LOST_AFTER_S = 0.2
# Time for which a granter that did not answer is asked last, in seconds.
SILENT_S = 0.5

Messages = list[tuple[str, QuotaRequest]]


@frozen
class Granter:
    """A granter as its announcements name it."""

    fencing_token: int
    host_id: str


@define
class _Ask:
    counts_by_account: dict[str, tuple[int, int]]
    host_id: str
    zone: str
    asked_at: float
    # Granters that were asked for these tokens, with this one.
    asked_ids: tuple[str, ...]
    is_repeated: bool = False


@frozen
class Answer:
    """What an answer changes.

    Parameters
    ----------
    accounts : tuple of str
        Accounts whose tokens have changed.
    denied : tuple of str
        Accounts that the granter has no more tokens for.
    messages : list
        Further requests to send.
    """

    accounts: tuple[str, ...] = ()
    denied: tuple[str, ...] = ()
    messages: Messages = field(factory=list)


@define(eq=False)
class QuotaClient:
    """Asks for the tokens that a node needs; all times are of one local clock.

    Parameters
    ----------
    zone : str
        Zone of this node.
    stock : QuotaStock
        Tokens that the node holds.
    next_number : callable
        Returns a number that this host has not used for a request before.
    is_reachable : callable
        Takes a host; returns whether messages to it are expected to arrive.
    granters_by_zone : dict of str to Granter
        The newest granter of each zone that announced itself.
    """

    zone: str
    stock: QuotaStock
    next_number: Callable[[], int]
    is_reachable: Callable[[str], bool]
    granters_by_zone: dict[str, Granter] = field(factory=dict)
    _asks_by_number: dict[int, _Ask] = field(factory=dict)
    _silent_until_by_id: dict[str, float] = field(factory=dict)

    def on_holder(self, message: QuotaHolder) -> bool:
        """Record the granter of a zone; return whether it is another one."""
        known = self.granters_by_zone.get(message.zone)
        if known is not None and message.fencing_token <= known.fencing_token:
            return False
        granter = Granter(message.fencing_token, message.host_id)
        self.granters_by_zone[message.zone] = granter
        return True

    def get_other_granters(self) -> list[str]:
        """Return the reachable granters of other zones."""
        return [
            granter.host_id
            for zone, granter in self.granters_by_zone.items()
            if zone != self.zone and self.is_reachable(granter.host_id)
        ]

    def ask(self, now: float, names: Iterable[str] | None = None) -> Messages:
        """Return the requests for the tokens that are needed now, see ``plan``."""
        zones = self._order_zones((), now)
        if not zones:
            return []
        counts = self.stock.plan(now, names)
        return [self._send(counts, zones[0], (), now)] if counts else []

    def has_granter(self) -> bool:
        """Return whether there is a granter to ask."""
        return any(
            self.is_reachable(granter.host_id)
            for granter in self.granters_by_zone.values()
        )

    def is_valid(self, sender_id: str, message: QuotaGrant) -> bool:
        """Return whether a granter sent an answer that is not known to be replaced."""
        return not message.counts_by_account or any(
            granter.host_id == sender_id
            and message.fencing_token >= granter.fencing_token
            for granter in self.granters_by_zone.values()
        )

    def on_grant(self, sender_id: str, message: QuotaGrant, now: float) -> Answer:
        """Handle an answer; one of an earlier holder of a lease is dropped."""
        ask = self._asks_by_number.get(message.number)
        if ask is None or ask.host_id != sender_id:
            return Answer()
        known = self.granters_by_zone[ask.zone]
        del self._asks_by_number[message.number]
        if message.fencing_token < known.fencing_token or not message.fencing_token:
            # Not a granter any more.
            self._silent_until_by_id[sender_id] = now + SILENT_S
            self.stock.on_lost(ask.counts_by_account)
            return Answer(messages=self._ask_next(ask, ask.counts_by_account, now))
        self._silent_until_by_id.pop(sender_id, None)
        waits_s = {n: ms / 1000 for n, ms in message.waits_ms_by_account.items()}
        denied = self.stock.on_answered(
            ask.counts_by_account,
            message.counts_by_account,
            waits_s,
            ask.asked_at,
            now,
        )
        messages: Messages = []
        if denied and ask.zone != self.zone and not ask.is_repeated:
            # Another zone gives only what it spares; the next one may have more.
            counts = {name: ask.counts_by_account[name] for name in denied}
            messages = self._ask_next(ask, counts, now)
            denied = [] if messages else denied
        return Answer(tuple(ask.counts_by_account), tuple(denied), messages)

    def tick(self, now: float) -> Messages:
        """Ask the next granter instead of those that do not answer."""
        messages: Messages = []
        for number, ask in list(self._asks_by_number.items()):
            silent_s = now - ask.asked_at
            if silent_s >= ANSWER_TIMEOUT_S and not ask.is_repeated:
                ask.is_repeated = True
                messages += self._ask_next(ask, ask.counts_by_account, now)
            if silent_s >= LOST_AFTER_S:
                self._silent_until_by_id[ask.host_id] = now + SILENT_S
                self.stock.on_lost(ask.counts_by_account)
                del self._asks_by_number[number]
        return messages

    @property
    def is_waiting(self) -> bool:
        """Whether an answer is waited for."""
        return bool(self._asks_by_number)

    def _ask_next(
        self, ask: _Ask, counts: Mapping[str, tuple[int, int]], now: float
    ) -> Messages:
        zones = self._order_zones(ask.asked_ids, now)
        needed = {name: (n, n) for name, (_, n) in counts.items() if n}
        if not zones or not needed:
            return []
        self.stock.on_asked(needed)
        return [self._send(needed, zones[0], ask.asked_ids, now)]

    def _send(
        self,
        counts: dict[str, tuple[int, int]],
        zone: str,
        asked_ids: tuple[str, ...],
        now: float,
    ) -> tuple[str, QuotaRequest]:
        number = self.next_number()
        host_id = self.granters_by_zone[zone].host_id
        ask = _Ask(counts, host_id, zone, now, (*asked_ids, host_id))
        self._asks_by_number[number] = ask
        asked = {name: count for name, (count, _) in counts.items()}
        return host_id, QuotaRequest(number, asked)

    def _order_zones(self, asked_ids: Iterable[str], now: float) -> list[str]:
        """Return the zones to ask: the own one first, silent granters last."""

        def get_rank(zone: str) -> tuple[bool, bool]:
            host_id = self.granters_by_zone[zone].host_id
            is_silent = now < self._silent_until_by_id.get(host_id, now)
            return is_silent, zone != self.zone

        zones = [
            zone
            for zone, granter in self.granters_by_zone.items()
            if granter.host_id not in asked_ids and self.is_reachable(granter.host_id)
        ]
        return sorted(zones, key=get_rank)
