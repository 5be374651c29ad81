"""Tells a version that fails with client errors from callers that cause them.

A status from 300 to 499 may be the fault of the caller or of the version: a version
that has lost a route answers 404. Callers differ between hosts, and hosts of one zone
send more to the workers of that zone, so the rates of two versions are not comparable
as a whole. The node of a caller therefore tells with each request how often the other
versions have answered its own requests of that route so. The node beside the worker
counts the client errors above that as failures of the version.
"""

from attrs import define, field

FIRST_STATUS, LAST_STATUS = 300, 499
# Smallest weight of a new response in the rate of a route.
MIN_WEIGHT = 0.02
# Multiple of the expected client errors that a version may return.
TOLERANCE = 2.0
# Client errors of a route that may be expected in advance.
MAX_EXPECTED = 5.0
# Routes, services and versions for which a rate is kept, the latest ones.
MAX_RATES = 2000
# A lower rate is not worth telling.
MIN_RATE = 0.002


def is_client_error(status: int) -> bool:
    """Return whether a status is neither a success nor a server error."""
    return FIRST_STATUS <= status <= LAST_STATUS


@define
class _Rate:
    responses: int = 0
    value: float = 0.0


@define
class ClientErrorRates:
    """Rates of client errors by route and version, as callers of this host see them."""

    _rates_by_key: dict[tuple[str, str], dict[str, _Rate]] = field(factory=dict)

    def record(self, route: str, service: str, version: str, status: int) -> None:
        """Add the response of a worker."""
        by_key = self._rates_by_key
        rates_by_version = by_key.get((route, service))
        if rates_by_version is None:
            if len(by_key) >= MAX_RATES:
                del by_key[next(iter(by_key))]
            rates_by_version = by_key[route, service] = {}
        rate = rates_by_version.get(version)
        if rate is None:
            # Only the versions of the present move and the one before matter.
            while len(rates_by_version) >= 3:
                del rates_by_version[next(iter(rates_by_version))]
            rate = rates_by_version[version] = _Rate()
        rate.responses += 1
        weight = max(MIN_WEIGHT, 1 / rate.responses)
        rate.value += weight * (is_client_error(status) - rate.value)

    def get_expected(self, route: str, service: str, version: str) -> float:
        """Return the rate of client errors that a version is expected to return.

        It is the highest one of the other versions; 0 without any.

        Examples
        --------
        >>> rates = ClientErrorRates()
        >>> for status in (200, 404, 200, 200):
        ...     rates.record("read", "orders", "v1", status)
        >>> rates.get_expected("read", "orders", "v2")
        0.25
        >>> rates.get_expected("read", "orders", "v1")
        0.0
        """
        rates_by_version = self._rates_by_key.get((route, service))
        if not rates_by_version:
            return 0.0
        others = (r.value for v, r in rates_by_version.items() if v != version)
        rate = max(others, default=0.0)
        return rate if rate >= MIN_RATE else 0.0


@define
class ExpectedClientErrors:
    """Client errors that the worker on this host may return, by route."""

    _expected_by_route: dict[str, float] = field(factory=dict)

    def is_failure(self, route: str, expected_rate: float, status: int) -> bool:
        """Return whether a response is a client error that was not expected.

        Parameters
        ----------
        route : str
            Name of the route.
        expected_rate : float
            Rate that the node of the caller expects, from 0 to 1.
        status : int
            Status of the response.

        Examples
        --------
        >>> errors = ExpectedClientErrors()
        >>> [errors.is_failure("read", 0.25, status) for status in (200, 404, 404)]
        [False, False, True]
        """
        expected = self._expected_by_route.get(route, 0.0) + TOLERANCE * expected_rate
        expected = min(MAX_EXPECTED, expected)
        is_failure = False
        if is_client_error(status):
            is_failure = expected < 1.0
            expected = max(0.0, expected - 1.0)
        self._expected_by_route[route] = expected
        return is_failure


def format_rate(rate: float) -> bytes:
    """Return a rate as the value of a header field.

    Examples
    --------
    >>> format_rate(0.25), parse_rate(b"0.250"), parse_rate(b"x"), parse_rate(b"7")
    (b'0.250', 0.25, 0.0, 0.0)
    """
    return b"%.3f" % rate


def parse_rate(value: bytes | None) -> float:
    """Return the rate of a header field; 0 if there is none or it is not valid."""
    try:
        rate = float(value or 0.0)
    except ValueError:
        return 0.0
    return rate if 0.0 <= rate <= 1.0 else 0.0
