"""Lease of a zone's granter: when to read or write its row, and for how long it holds.

All times are in seconds of CLOCK_BOOTTIME, so that a lease also ends while the machine
is suspended. The lease holds for its holder from before the write was sent, and for
others until they have seen the same version of the row for longer than it lasts.
"""

import math
from enum import Enum, auto

from attrs import define, evolve

from bamboocove.state.quotas import QuotaLeaseRow, StoredQuotaLease

# Length of a lease, and the interval at which its holder renews it, in seconds.
LEASE_S = 4.0
RENEWAL_INTERVAL_S = 1.2
# Interval at which a candidate that does not hold the lease reads the row, in seconds,
# and the wait after a failed call.
READ_INTERVAL_S = 2.0
RETRY_INTERVAL_S = 0.5
# Time for which a candidate reads the row at the shorter interval after the holder has
# refused to grant, in seconds. A holder that stops has given its lease back.
REFUSAL_LIFETIME_S = 1.0
# Time without an answer after which a call counts as failed, in seconds. The holder
# needs time for a further renewal before its lease ends.
CALL_TIMEOUT_S = 1.6
# Fencing tokens of an era of the store begin at its number times this. What was
# written since the copy that a store was restored from is lost, so a number from the
# row alone may have been used.
TOKENS_PER_ERA = 1_000_000


class Call(Enum):
    """Call to the store that a lease needs."""

    READ = auto()
    WRITE = auto()


@define(eq=False)
class QuotaLease:
    """The lease of one zone as one process sees it.

    Parameters
    ----------
    host_id : str
        This host.
    incarnation : int
        This process.
    token_life_s : float
        Time for which a granted token may be used, in seconds.
    is_first_start : bool
        Whether no process of the system ran before.

    Attributes
    ----------
    fencing_token : int
        Fencing token of the lease, while this process holds it.
    term : int
        Rises when this process becomes the holder, or does so again after a gap.
    era : int
        Newest era of the store that was seen.
    """

    host_id: str
    incarnation: int
    token_life_s: float
    is_first_start: bool = False
    fencing_token: int = 0
    term: int = 0
    era: int = 0
    # Highest fencing token of the zone that was seen anywhere.
    _highest_token: int = 0
    _stored: StoredQuotaLease | None = None
    # Era and version of the row that was last read, and since when it has been there.
    _seen_key: tuple[int, int] | None = None
    _seen_at: float = 0.0
    _read_at: float = -math.inf
    _refused_at: float = -math.inf
    _valid_until: float = -math.inf
    _grants_from: float = math.inf
    _renew_at: float = -math.inf
    _next_call_at: float = -math.inf
    _sent_at: float | None = None
    _written_row: QuotaLeaseRow | None = None

    def holds(self, now: float) -> bool:
        """Return whether this process holds the lease."""
        return now < self._valid_until

    def may_grant(self, now: float) -> bool:
        """Return whether this process may grant tokens."""
        return self._grants_from <= now < self._valid_until

    def observe_token(self, fencing_token: int) -> None:
        """Record a fencing token of this zone that was seen."""
        self._highest_token = max(self._highest_token, fencing_token)

    def on_refusal(self, now: float) -> None:
        """Record that the known holder no longer grants: its row may be free."""
        self._refused_at = now

    def get_stored_row(self) -> QuotaLeaseRow | None:
        """Return the row that was last read or written, if it is known."""
        return None if self._stored is None else self._stored.row

    def decide(
        self, now: float, is_candidate: bool, known_incarnation: int = 0
    ) -> Call | None:
        """Return the call to make now; ``on_result`` or ``on_failure`` must follow.

        Parameters
        ----------
        is_candidate : bool
            Whether this host may take the lease.
        known_incarnation : int
            Incarnation of the newest process on the host that the row names; an
            earlier one has ended.
        """
        if self._sent_at is not None:
            if now - self._sent_at < CALL_TIMEOUT_S:
                return None
            self.on_failure(self._sent_at, now)
        holds = self.holds(now)
        if now < self._next_call_at or not (holds or is_candidate):
            return None
        stored = self._stored
        if not holds and self._valid_until > -math.inf:
            # Numbers of versions may have been issued again since the lease ended.
            self._valid_until = -math.inf
            stored = self._stored = None
        if stored is None:
            call = Call.READ
        elif holds:
            call = Call.WRITE if now >= self._renew_at else None
        elif self._may_take(stored, known_incarnation, now):
            call = Call.WRITE
        else:
            was_refused = now - self._refused_at < REFUSAL_LIFETIME_S
            interval_s = RETRY_INTERVAL_S if was_refused else READ_INTERVAL_S
            call = Call.READ if now - self._read_at >= interval_s else None
        self._sent_at = None if call is None else now
        return call

    def make_row(self) -> tuple[QuotaLeaseRow, int]:
        """Return the row to write for ``Call.WRITE``, and the version it replaces."""
        stored, now = self._stored, self._sent_at
        fencing_token = self.fencing_token
        if not self.holds(now) or _is_void(stored, self.era):
            token = stored.row.fencing_token if stored.row is not None else 0
            token = max(token, self._highest_token, self.era * TOKENS_PER_ERA)
            fencing_token = token + 1
        self._written_row = QuotaLeaseRow(
            self.host_id, self.incarnation, fencing_token, self.era
        )
        return self._written_row, stored.version

    def make_release(self) -> tuple[QuotaLeaseRow, int] | None:
        """End the lease now; return the row that says so and the version it replaces.

        Returns None if there is nothing to write.
        """
        stored, self._stored = self._stored, None
        self._valid_until = -math.inf
        if stored is None or not self._is_own(stored.row):
            return None
        return evolve(stored.row, host_id="", incarnation=0), stored.version

    def get_sent_at(self) -> float | None:
        """Return when the present call was sent, by which its answer is known."""
        return self._sent_at

    def on_failure(self, sent_at: float, now: float) -> None:
        """Handle a call that failed; a write may have been applied all the same."""
        if sent_at != self._sent_at:
            return
        self._sent_at = self._stored = None
        self._next_call_at = now + RETRY_INTERVAL_S

    def on_result(self, sent_at: float, result: StoredQuotaLease, now: float) -> None:
        """Handle the answer to the call that was sent at a time."""
        if sent_at != self._sent_at:
            # Answered after it had been given up.
            return
        self._sent_at = None
        if result.era < self.era:
            self._stored = None
            return
        self.era = result.era
        if result.is_written:
            self._on_written(result, sent_at)
            return
        self._stored, self._read_at = result, now
        key = (result.era, result.version)
        if key != self._seen_key:
            self._seen_key, self._seen_at = key, now
        if result.row is not None:
            self.observe_token(result.row.fencing_token)
        if not _is_void(result, self.era) and not self._is_own(result.row):
            # Another process has taken the lease over.
            self._valid_until = -math.inf

    def _on_written(self, result: StoredQuotaLease, sent_at: float) -> None:
        row = self._written_row
        self._stored = evolve(result, row=row)
        if not self.holds(sent_at):
            self.term += 1
            # Tokens that an earlier process granted may be used until then.
            self._grants_from = sent_at + self.token_life_s
        self.fencing_token = row.fencing_token
        self.observe_token(row.fencing_token)
        self._valid_until = sent_at + LEASE_S
        is_current = row.era == self.era
        self._renew_at = sent_at + RENEWAL_INTERVAL_S if is_current else sent_at

    def _is_own(self, row: QuotaLeaseRow | None) -> bool:
        return row is not None and (row.host_id, row.incarnation) == (
            self.host_id,
            self.incarnation,
        )

    def _may_take(
        self, stored: StoredQuotaLease, known_incarnation: int, now: float
    ) -> bool:
        row = stored.row
        if now - self._seen_at >= LEASE_S + self.token_life_s:
            return True
        if row is None:
            # In a later era the row may be one that was lost.
            return self.era == 0 or self.is_first_start
        if _is_void(stored, self.era):
            return False
        return row.host_id in ("", self.host_id) or row.incarnation < known_incarnation


def _is_void(stored: StoredQuotaLease, era: int) -> bool:
    """Return whether a row was written in an earlier era, or lost in a restoration."""
    return stored.row is None or stored.row.era < era
