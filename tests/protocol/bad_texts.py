"""A good text, and bad ones with the problem that each must be refused for.

Each entry holds the bytes and line, column, word, a part of the message and a
part of the remedy of its only problem.
"""

from bamboocove.protocol.text_source import MAX_DEPTH

GOOD = """\
tenant: kozje-mleko
services:
  orders:
    version: v1
    depends_on: [ledger]
    routes:
      read-order: {path: /orders, methods: [GET], class: prompt, timeout: 300ms}
      confirm: {path: /confirmations, methods: [POST], timeout: 2s}
  ledger: {version: "1.10"}
moves:
  - service: orders
    to: v2
    by: 2026-12-05T06:00:00+01:00
"""


def make_text(services="a: {version: v1}", moves="[]"):
    return f"tenant: t\nservices:\n  {services}\nmoves: {moves}\n".encode()


def make_route(route):
    return make_text(f"a: {{version: v1, routes: {{r: {route}}}}}")


BAD_TEXTS = {
    "unknown service": (
        make_text("a: {version: v1, depends_on: [ordrs]}\n  orders: {version: v1}"),
        (3, 33, "ordrs", "unknown service 'ordrs'", "did you mean orders?"),
    ),
    "unknown route": (
        make_text(
            "a: {version: v1, routes: {r: {path: /r, depends_on: [b/tux]}}}\n"
            "  b: {version: v1, routes: {tax: {path: /tax}}}"
        ),
        (3, 56, "b/tux", "unknown route", "did you mean tax?"),
    ),
    "call chain that returns": (
        make_text(
            "a: {version: v1, depends_on: [b]}\n"
            "  b: {version: v1, depends_on: [c]}\n"
            "  c: {version: v1, depends_on: [b]}"
        ),
        (4, 33, "c", "b -> c -> b", "remove one"),
    ),
    "service that calls itself": (
        make_text("a: {version: v1, depends_on: [a]}"),
        (3, 33, "a", "a -> a", "own depends_on"),
    ),
    "route that calls itself by way of another": (
        make_text(
            "a: {version: v1, routes: {r: {path: /r, depends_on: [a/q]}, "
            "q: {path: /q, depends_on: [a/r]}}}"
        ),
        (3, 56, "a/q", "a/r -> a/q -> a/r", "remove one"),
    ),
    "dependency twice": (
        make_text("a: {version: v1, depends_on: [b, b]}\n  b: {version: v1}"),
        (3, 36, "b", "lists b twice", "remove one"),
    ),
    "duplicate service": (
        make_text("a: {version: v1}\n  a: {version: v2}"),
        (4, 3, "a", "already in services, at line 3", "rename"),
    ),
    "duplicate top-level key": (
        make_text() + b"tenant: u\n",
        (5, 1, "tenant", "already in the text, at line 1", "rename"),
    ),
    "duplicate field": (
        make_text("a: {version: v1, version: v2}"),
        (3, 20, "version", "already in service a", "rename"),
    ),
    "unknown field": (
        make_text("a: {version: v1, rutes: {}}"),
        (3, 20, "rutes", "unknown field 'rutes'", "did you mean routes?"),
    ),
    "merge key": (
        make_text("a: {version: v1, <<: {}}"),
        (3, 20, "<<", "unknown field", "use one of"),
    ),
    "routes that cannot be told apart": (
        make_text(
            "a: {version: v1, routes: {r: {path: /x, methods: [GET, PUT]}, "
            "q: {path: /x, methods: [PUT]}}}"
        ),
        (3, 65, "q", "both match PUT /x", "different paths or methods"),
    ),
    "duration without unit": (
        make_route("{path: /x, timeout: 300}"),
        (3, 52, "300", "not a duration", "300ms"),
    ),
    "duration out of range": (
        make_route("{path: /x, timeout: 2000m}"),
        (3, 52, "2000m", "out of range", "60m"),
    ),
    "method in lower case": (
        make_route("{path: /x, methods: [get]}"),
        (3, 53, "get", "not a method", "did you mean GET?"),
    ),
    "method twice": (
        make_route("{path: /x, methods: [GET, GET]}"),
        (3, 58, "GET", "method GET is listed twice", "remove one"),
    ),
    "no methods": (
        make_route("{path: /x, methods: []}"),
        (3, 52, "", "no methods", "at least one"),
    ),
    "unknown class": (
        make_route("{path: /x, class: promt}"),
        (3, 50, "promt", "not a request class", "did you mean prompt?"),
    ),
    "idempotent is no flag": (
        make_route("{path: /x, idempotent: yes}"),
        (3, 55, "yes", "neither true nor false", "write true or false"),
    ),
    "path without slash": (
        make_route("{path: x}"),
        (3, 39, "x", "does not start with /", "/orders"),
    ),
    "path with an empty segment": (
        make_route("{path: /x/}"),
        (3, 39, "/x/", "empty segment", "last /"),
    ),
    "path with a query": (
        make_route("{path: '/x?y'}"),
        (3, 39, "/x?y", "not allowed", "without a query"),
    ),
    "path with ..": (
        make_route("{path: /x/../y}"),
        (3, 39, "/x/../y", "segment . or ..", "write the path out"),
    ),
    "route without path": (
        make_route("{methods: [GET]}"),
        (3, 32, "path", "has no path", "add path:"),
    ),
    "timestamp without zone": (
        make_text(moves="[{service: a, to: v2, by: 2026-12-05T06:00:00}]"),
        (4, 34, "2026-12-05T06:00:00", "no time zone", "+01:00"),
    ),
    "timestamp that is none": (
        make_text(moves="[{service: a, to: v2, by: tomorrow}]"),
        (4, 34, "tomorrow", "not a timestamp", "2026-12-05T06"),
    ),
    "timestamp of no day": (
        make_text(moves="[{service: a, to: v2, by: 2026-02-30T06:00:00Z}]"),
        (4, 34, "2026-02-30T06:00:00Z", "no date", "correct"),
    ),
    "timestamp out of range": (
        make_text(moves="[{service: a, to: v2, by: 0001-01-01T00:00:00+14:00}]"),
        (4, 34, "0001-01-01T00:00:00+14:00", "out of range", "2000"),
    ),
    "move to the version already running": (
        make_text(moves="[{service: a, to: v1, by: 2026-12-05T06:00:00Z}]"),
        (4, 26, "v1", "the version it already has", "remove the move"),
    ),
    "two moves of one service": (
        make_text(
            moves="\n - {service: a, to: v2, by: 2026-12-05T06:00:00Z}"
            "\n - {service: a, to: v3, by: 2026-12-05T06:00:00Z}"
        ),
        (6, 14, "a", "second move of a", "keep one"),
    ),
    "two moves with one identifier": (
        make_text(
            "a: {version: v1}\n  a-b: {version: v1}",
            "\n - {service: a, to: b-c, by: 2026-12-05T06:00:00Z}"
            "\n - {service: a-b, to: c, by: 2026-12-05T06:00:00Z}",
        ),
        (7, 30, "2026-12-05T06:00:00Z", "share a-b-c-20261205T0600", "by a minute"),
    ),
    "move of an unknown service": (
        make_text(moves="[{service: b1, to: v2, by: 2026-12-05T06:00:00Z}]"),
        (4, 19, "b1", "unknown service 'b1'", "add it under services"),
    ),
    "anchor": (
        b"tenant: &t x\nservices: {a: {version: *t}}\n",
        (1, 9, "&t", "anchor &t", "write the value out"),
    ),
    "alias": (
        b"tenant: x\nservices: {a: {version: *t}}\n",
        (2, 25, "*t", "alias *t", "write the value out"),
    ),
    "tag": (
        b"tenant: !!python/object:os.system x\nservices: {a: {version: v1}}\n",
        (1, 9, "!!python/object:os.system", "tag", "remove the tag"),
    ),
    "not UTF-8": (
        b"tenant: t\nservices: \xff\n",
        (2, 11, "\\xff", "not UTF-8", "save the file as UTF-8"),
    ),
    "UTF-16": (
        GOOD.encode("utf-16"),
        (1, 1, "", "UTF-16", "save the file as UTF-8"),
    ),
    "empty file": (b"", (1, 1, "", "empty", "docs/text.md")),
    "only a comment": (b"# nothing\n", (1, 1, "", "empty", "docs/text.md")),
    "NUL": (b"tenant: t\nserv\x00ices: {}\n", (2, 5, "U+0000", "control", "delete")),
    "byte order mark inside": (
        b"tenant: \xef\xbb\xbft\n",
        (1, 9, "U+FEFF", "control", "delete"),
    ),
    "deep nesting": (
        b"tenant: t\nservices: " + b"{a: " * 40 + b"}" * 40,
        (2, 11 + 4 * (MAX_DEPTH - 1), "{", "nested more than", "docs/text.md"),
    ),
    "second document": (
        make_text() + b"---\ntenant: u\n",
        (5, 1, "---", "second YAML document", "one document"),
    ),
    "not a mapping": (b"- a\n", (1, 1, "", "not a mapping", "start with")),
    "bracket left open": (
        b"tenant: t\nservices: {a: [\n",
        (3, 1, "", "not valid YAML", "check"),
    ),
    "tab": (b"tenant:\n\tx: y\n", (2, 1, "", "not valid YAML", "check")),
    "service name with a dot": (
        make_text("a.b: {version: v1}"),
        (3, 3, "a.b", "not a name", "letters, digits"),
    ),
    "service name too long": (
        make_text("a" * 64 + ": {version: v1}"),
        (3, 3, "a" * 40 + "...", "64 characters", "at most 63"),
    ),
    "name with a letter outside ASCII": (
        "tenant: mlečna\nservices: {a: {version: v1}}\n".encode(),
        (1, 9, "mle\\u010dna", "not a name", "letters, digits"),
    ),
    "version with a slash": (
        make_text("a: {version: v/1}"),
        (3, 16, "v/1", "not a version", "letters, digits"),
    ),
    "empty version": (
        make_text("a: {version: }"),
        (3, 16, "", "version is empty", "write a value"),
    ),
    "list for a word": (
        make_text("a: {version: [v1]}"),
        (3, 16, "", "a list, not a word", "one word"),
    ),
    "word for a list": (
        make_text("a: {version: v1, depends_on: b}"),
        (3, 32, "b", "a word, not a list", "[a, b]"),
    ),
    "word for a mapping": (
        make_text("a: v1"),
        (3, 6, "v1", "a word, not a mapping", "key: value"),
    ),
    "key that is no word": (
        make_text("[a]: {version: v1}"),
        (3, 3, "", "is not a word", "one word"),
    ),
    "no services": (b"tenant: t\n", (1, 1, "services", "no services", "add services")),
    "services empty": (
        b"tenant: t\nservices: {}\n",
        (2, 11, "", "services is empty", "at least one"),
    ),
}
