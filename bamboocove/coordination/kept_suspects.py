"""Blocked requests that the record of a host tells to all nodes.

Messages on crashes reach the nodes that run at that moment. The record of a host also
reaches those that start later, and outlasts all processes in the store. Few requests
are ever blocked, so a record seldom holds one.
"""

from collections.abc import Mapping

from attrs import define, field

from bamboocove.coordination.retry_limits import compute_keep_s

# Blocked requests in the record of a host, the latest ones.
MAX_KEPT = 16

# Number of crashes, and Unix time of the last one in milliseconds.
KeptSuspect = tuple[int, int]


@define
class KeptSuspects:
    """Blocked requests whose crashes this node has seen itself."""

    _suspects_by_fingerprint: dict[str, KeptSuspect] = field(factory=dict)

    def keep(self, fingerprint: str, crashes: int, unix_ms: int) -> None:
        """Keep a blocked request."""
        kept = self._suspects_by_fingerprint
        kept.pop(fingerprint, None)
        kept[fingerprint] = (crashes, unix_ms)
        if len(kept) > MAX_KEPT:
            del kept[next(iter(kept))]

    def merge(self, suspects_by_fingerprint: Mapping[str, KeptSuspect]) -> bool:
        """Add those that the process before has kept; return whether any is new."""
        kept = self._suspects_by_fingerprint
        new = {f: s for f, s in suspects_by_fingerprint.items() if f not in kept}
        for fingerprint, suspect in new.items():
            self.keep(fingerprint, *suspect)
        return bool(new)

    def drop(self, fingerprint: str) -> bool:
        """Forget a request that a worker has completed; return whether it was kept."""
        return self._suspects_by_fingerprint.pop(fingerprint, None) is not None

    def get(self, unix_ms: int) -> dict[str, KeptSuspect]:
        """Return the requests that still count at a Unix time in milliseconds.

        Examples
        --------
        >>> kept = KeptSuspects()
        >>> kept.keep("x", 2, 5_000)
        >>> kept.get(1_000_000), kept.get(1_300_000)
        ({'x': (2, 5000)}, {})
        """
        return {
            fingerprint: (crashes, last_ms)
            for fingerprint, (crashes, last_ms) in self._suspects_by_fingerprint.items()
            if unix_ms - last_ms <= 1000 * compute_keep_s(crashes)
        }
