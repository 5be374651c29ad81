"""In-memory stand-in for the platform's store, with injectable faults."""

import base64
import json
from bisect import bisect_right
from typing import Any
from urllib.parse import parse_qs, urlsplit

from attrs import define, field

from bamboocove.transport.calls import CallServer
from bamboocove.transport.exchanges import Exchange
from bamboocove.transport.framing import Headers

MAX_BODY_BYTES = 1 << 20
PAGE_SIZE = 500
# Interval between the parts of a response that is sent slowly, in seconds.
PART_INTERVAL_S = 0.02


@define(eq=False, slots=False)
class StoreStandin:
    """Serves versioned rows in tables over HTTP, with long polls for changes.

    Parameters
    ----------
    clock : reactor
        Source of time and connections.
    page_size : int
        Most rows in one response.

    Attributes
    ----------
    fault : int, str or None
        An HTTP status to send for all requests, ``"silent"`` to send no response,
        or ``"lose"`` to apply writes and close the connection without a response.
    delay_s : float
        Delay before each response, in seconds.
    bytes_per_s : float
        Rate at which each response is sent, as over a slow network link; 0 for all at
        once.
    revision : int
        Version of the last change; each write or removal increments it.
    calls : int
        Requests received.
    rows : dict of (str, str) to (bytes or None, int)
        Value and version by table and key; the value is None after a removal.
    changes : list of (str, str, bytes or None, int)
        All changes in order: table, key, value and version. A watch returns each of
        them, also several of one row.
    era : int
        Number in the header field ``Store-Era`` of all responses; incremented by each
        restore from a copy.
    """

    clock: Any
    page_size: int = PAGE_SIZE
    revision: int = 10
    calls: int = 0
    fault: int | str | None = None
    delay_s: float = 0.0
    bytes_per_s: float = 0.0
    rows: dict[tuple[str, str], tuple[bytes | None, int]] = field(factory=dict)
    changes: list[tuple[str, str, bytes | None, int]] = field(factory=list)
    era: int = 0
    _first_revision: int = field(init=False)
    _changed_at: list[float] = field(factory=list)
    _oldest_revision: int = 0
    _watches: list[tuple[Exchange, dict[str, str]]] = field(factory=list)

    def __attrs_post_init__(self) -> None:
        self._first_revision = self.revision
        self.server = CallServer(self._receive, MAX_BODY_BYTES, self.clock)
        self.port: Any = None

    def listen(self, host: str = "127.0.0.1", port: int = 0) -> tuple[str, int]:
        """Start listening; return the address."""
        self.port = self.clock.listenTCP(port, self.server, interface=host)
        return self.address

    @property
    def address(self) -> tuple[str, int]:
        """Host and port that the server listens on."""
        listener = self.port.getHost()
        return listener.host, listener.port

    def close(self) -> None:
        """Close the port and all connections."""
        self.port.stopListening()
        for connection in list(self.server.connections):
            connection.abort()

    def put(self, table: str, key: str, value: bytes | None) -> int:
        """Write a row, or remove it if the value is None; return its version."""
        self.revision += 1
        self.rows[table, key] = (value, self.revision)
        self.changes.append((table, key, value, self.revision))
        self._changed_at.append(self.clock.seconds())
        watches, self._watches = self._watches, []
        for exchange, query in watches:
            self._serve_watch(exchange, query)
        return self.revision

    def get(self, table: str, key: str) -> bytes | None:
        """Return the value of a row, or None."""
        return self.rows.get((table, key), (None, 0))[0]

    def drop_history(self) -> None:
        """Drop the history, so that watches of earlier versions get status 410."""
        self._oldest_revision = self.revision
        self._cut_watches()

    def restore(self, seconds: float) -> None:
        """Go back to the state of some seconds ago, as from a copy of that age.

        The changes since then are lost, and their versions are given out again.
        """
        copied_at = self.clock.seconds() - seconds
        count = bisect_right(self._changed_at, copied_at)
        del self.changes[count:], self._changed_at[count:]
        self.rows = {
            (table, key): (value, revision)
            for table, key, value, revision in self.changes
        }
        self.revision = self.changes[-1][-1] if self.changes else self._first_revision
        self._oldest_revision = min(self._oldest_revision, self.revision)
        self.era += 1
        self._cut_watches()

    def _cut_watches(self) -> None:
        watches, self._watches = self._watches, []
        for exchange, _ in watches:
            exchange.abort()

    def _receive(self, exchange: Exchange) -> None:
        self.calls += 1
        parts: list[bytes] = []
        exchange.receive(
            parts.append,
            lambda: self.clock.callLater(
                self.delay_s, self._dispatch, exchange, b"".join(parts)
            ),
        )

    def _dispatch(self, exchange: Exchange, body: bytes) -> None:
        if self.fault == "silent":
            return
        if isinstance(self.fault, int):
            exchange.respond(self.fault, self._make_headers())
            return
        url = urlsplit(exchange.target.decode())
        query = {key: values[0] for key, values in parse_qs(url.query).items()}
        if url.path == "/api/rows-tx":
            status, document = self._apply_transaction(json.loads(body))
            if self.fault == "lose":
                exchange.abort()
                return
            self._respond(exchange, status, document)
        elif url.path == "/api/rows-get":
            self._respond(exchange, 200, self._read_page(query))
        elif url.path == "/api/rows-feed":
            self._serve_watch(exchange, query)
        else:
            exchange.respond(404, self._make_headers())

    def _make_headers(self) -> Headers:
        return [(b"store-era", b"%d" % self.era)]

    def _make_row(self, table: str, key: str) -> dict[str, Any]:
        return _format_row(table, key, *self.rows[table, key])

    def _read_page(self, query: dict[str, str]) -> dict[str, Any]:
        table = query["table"]
        keys = sorted(
            key
            for row_table, key in self.rows
            if row_table == table
            and key >= query.get("from", "")
            and ("to" not in query or key < query["to"])
            and self.rows[row_table, key][0] is not None
        )
        rows = [self._make_row(table, key) for key in keys[: self.page_size]]
        return {
            "rows": rows,
            "hasMore": len(keys) > self.page_size,
            **self._make_position(),
        }

    def _make_position(self) -> dict[str, Any]:
        return {"ver": self.revision, "nowS": self.clock.seconds()}

    def _serve_watch(self, exchange: Exchange, query: dict[str, str]) -> None:
        after = int(query["after"])
        if after < self._oldest_revision or after > self.revision:
            self._respond(exchange, 410, {"rows": [], **self._make_position()})
            return
        rows = [
            _format_row(*change)
            for change in self.changes
            if change[0] == query["table"] and change[-1] > after
        ]
        if rows or not int(query.get("waitMs", 0)):
            self._respond(exchange, 200, {"rows": rows, **self._make_position()})
            return
        watch = (exchange, query)
        self._watches.append(watch)
        wait_s = int(query["waitMs"]) / 1000
        timer = self.clock.callLater(wait_s, self._end_watch, watch)

        def cancel_watch(error: Any) -> None:
            if watch in self._watches:
                self._watches.remove(watch)
            if timer.active():
                timer.cancel()

        exchange.on_closed = cancel_watch

    def _end_watch(self, watch: tuple[Exchange, dict[str, str]]) -> None:
        if watch in self._watches:
            self._watches.remove(watch)
            self._respond(watch[0], 200, {"rows": [], **self._make_position()})

    def _apply_transaction(
        self, document: dict[str, Any]
    ) -> tuple[int, dict[str, Any]]:
        for condition in document["expectedRev"]:
            value, revision = self.rows.get(
                (condition["table"], condition["key"]), (None, 0)
            )
            if condition["ver"] != (0 if value is None else revision):
                rows = [
                    self._make_row(row["table"], row["key"])
                    for row in document["expectedRev"]
                    if self.get(row["table"], row["key"]) is not None
                ]
                return 412, {"rows": rows, "ver": self.revision}
        for write in document["writes"]:
            value = base64.b64decode(write["value"])
            self.put(write["table"], write["key"], value)
        for row in document["remove"]:
            self.put(row["table"], row["key"], None)
        return 200, {"ver": self.revision}

    def _respond(
        self, exchange: Exchange, status: int, document: dict[str, Any]
    ) -> None:
        if exchange.is_finished or exchange.is_closed:
            return
        body = json.dumps(document).encode()
        if not self.bytes_per_s:
            exchange.respond(status, self._make_headers(), body)
            return
        exchange.start(status, self._make_headers(), len(body))
        self._send_slowly(exchange, body)

    def _send_slowly(self, exchange: Exchange, body: bytes) -> None:
        size = int(self.bytes_per_s * PART_INTERVAL_S) + 1
        if len(body) <= size:
            exchange.finish(body)
        elif not exchange.is_closed:
            exchange.write(body[:size])
            self.clock.callLater(
                PART_INTERVAL_S, self._send_slowly, exchange, body[size:]
            )


def _format_row(
    table: str, key: str, value: bytes | None, revision: int
) -> dict[str, Any]:
    row = {"table": table, "part": "", "key": key, "ver": revision}
    if value is None:
        return {**row, "deleted": True}
    return {**row, "value": base64.b64encode(value).decode()}
