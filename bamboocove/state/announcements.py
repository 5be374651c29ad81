"""Registry of the workers that announce themselves to the node on their host."""

from attrs import define, evolve, field

from bamboocove.state.members import WorkerRecord

ANNOUNCEMENT_TTL_S = 6.0
# The record of a worker that is down is kept this long, so that peers learn of
# the state before the record disappears.
DOWN_RECORD_TTL_S = 60.0


@define
class Announcements:
    """Announced workers by address, with the time of the last announcement.

    Parameters
    ----------
    records_by_address : dict of (str, int) to WorkerRecord
        Newest announcement of each worker.
    seen_at_by_address : dict of (str, int) to float
        Monotonic time in seconds.
    """

    records_by_address: dict[tuple[str, int], WorkerRecord] = field(factory=dict)
    seen_at_by_address: dict[tuple[str, int], float] = field(factory=dict)

    def announce(self, record: WorkerRecord, now: float) -> bool:
        """Store an announcement and return whether the record changed."""
        self.seen_at_by_address[record.address] = now
        changed = self.records_by_address.get(record.address) != record
        self.records_by_address[record.address] = record
        return changed

    def expire(self, now: float) -> bool:
        """Mark silent workers as down, and remove those silent for longer.

        Returns
        -------
        changed : bool
            Whether any record changed.
        """
        changed = False
        for address, seen_at in list(self.seen_at_by_address.items()):
            silence_s = now - seen_at
            record = self.records_by_address[address]
            if silence_s > DOWN_RECORD_TTL_S:
                del self.records_by_address[address], self.seen_at_by_address[address]
                changed = True
            elif silence_s > ANNOUNCEMENT_TTL_S and record.state != "down":
                self.records_by_address[address] = evolve(record, state="down")
                changed = True
        return changed

    def get_records(self) -> tuple[WorkerRecord, ...]:
        """Return all records, sorted by address."""
        return tuple(record for _, record in sorted(self.records_by_address.items()))

    def get_services(self) -> frozenset[str]:
        """Return the services whose workers run on this host."""
        return frozenset(record.service for record in self.records_by_address.values())
