"""HTTP client of the command-line tool, and the entry point to its reactor."""

import json
import signal
from collections.abc import Awaitable, Callable, Sequence
from typing import Any
from urllib.parse import quote, urlencode, urlsplit

import treq
from attrs import define, field, frozen
from twisted.internet import reactor
from twisted.internet.defer import CancelledError
from twisted.internet.error import (
    ConnectError,
    ConnectingCancelledError,
    DNSLookupError,
)
from twisted.internet.task import react
from twisted.web.client import (
    Agent,
    HTTPConnectionPool,
    RequestNotSent,
    ResponseFailed,
)

from bamboocove.errors import ErrorKind, ErrorResult

CONNECT_TIMEOUT_S = 5
# Exceeds the time that a node needs to publish a revision to a slow store.
REPLY_TIMEOUT_S = 30
EXIT_INTERRUPTED = 128 + signal.SIGINT
EXIT_TERMINATED = 128 + signal.SIGTERM
UNREACHABLE_ERRORS = (
    ConnectError,
    DNSLookupError,
    ConnectingCancelledError,
    RequestNotSent,
)


@frozen
class Reply:
    """HTTP response of a node.

    Parameters
    ----------
    node : str
        URL of the node.
    status : int
        HTTP status.
    headers : dict of str to str
        Last value of each header, by lower-case name.
    body : bytes
        Response body.
    """

    node: str
    status: int
    headers: dict[str, str]
    body: bytes

    def parse_json(self) -> Any | ErrorResult:
        """Return the decoded JSON body, or ``INVALID_MESSAGE`` if it is not JSON."""
        try:
            return json.loads(self.body)
        except ValueError:
            reason = f"{self.node} does not answer in JSON; is it an admin port?"
            return ErrorResult(ErrorKind.INVALID_MESSAGE, reason)


def check_node_url(url: str) -> str | ErrorResult:
    """Return a node URL without trailing slashes, or ``BAD_REQUEST`` if invalid.

    Examples
    --------
    >>> check_node_url("http://10.0.0.5:8080/")
    'http://10.0.0.5:8080'
    >>> bool(check_node_url("10.0.0.5:8080"))
    False
    """
    try:
        parts = urlsplit(url)
        valid = parts.scheme in ("http", "https") and bool(parts.hostname)
        # Accessing the port raises ValueError if it is not a valid number.
        valid = valid and parts.port != 0 and not (parts.query or parts.fragment)
    except ValueError:
        valid = False
    if not valid:
        reason = f"{url!r} is not a node; write it as http://HOST:PORT"
        return ErrorResult(ErrorKind.BAD_REQUEST, reason)
    return url.rstrip("/")


def describe_failure(error: BaseException) -> str:
    """Return a one-line description of an HTTP client error."""
    if isinstance(error, ResponseFailed) and error.reasons:
        return describe_failure(error.reasons[0].value)
    return " ".join(str(error).split()) or type(error).__name__


@define
class NodeClient:
    """Sends requests to the first node that can be reached.

    Parameters
    ----------
    nodes : sequence of str
        Node URLs, in the order in which they are tried.
    reactor : IReactorTCP
        Reactor that runs the connections and timeouts.
    reply_timeout_s : float
        Timeout in seconds for the response headers, and again for the body.
    """

    nodes: Sequence[str]
    reactor: Any
    reply_timeout_s: float = REPLY_TIMEOUT_S
    _agent: Agent = field(init=False)

    def __attrs_post_init__(self) -> None:
        # Agent retries a request when the node closes a persistent connection while
        # the request is sent. Connections are not reused, so that no request is
        # sent twice.
        pool = HTTPConnectionPool(self.reactor, persistent=False)
        self._agent = Agent(self.reactor, connectTimeout=CONNECT_TIMEOUT_S, pool=pool)

    async def send(
        self,
        method: str,
        path: str,
        query: dict[str, Any] | None = None,
        body: bytes = b"",
        headers: dict[str, str] | None = None,
    ) -> Reply | ErrorResult:
        """Send a request to the first reachable node and return its reply.

        Returns
        -------
        reply : Reply or ErrorResult
            ``NO_UPSTREAM`` if no node could be reached, so the request was not run;
            ``UPSTREAM_LOST`` if a node was reached but did not answer. The request
            may have run then and is not sent to another node.
        """
        target = quote(path, safe="/:@!$&'()*+,;=~-._%?")
        if query:
            target += "?" + urlencode(query)
        reasons = []
        for node in self.nodes:
            try:
                return await self._send_to(node, method, target, body, headers)
            except UNREACHABLE_ERRORS as error:
                reasons.append(f"{node}: {describe_failure(error)}")
            except (ResponseFailed, CancelledError, ConnectionError) as error:
                reason = f"{node} did not answer: {describe_failure(error)}"
                return ErrorResult(ErrorKind.UPSTREAM_LOST, reason)
        reason = f"no node can be reached ({'; '.join(reasons)})"
        return ErrorResult(ErrorKind.NO_UPSTREAM, reason)

    async def _send_to(
        self,
        node: str,
        method: str,
        target: str,
        body: bytes,
        headers: dict[str, str] | None,
    ) -> Reply:
        response = await treq.request(
            method,
            node + target,
            data=body or None,
            headers=headers or {},
            agent=self._agent,
            reactor=self.reactor,
            timeout=self.reply_timeout_s,
            allow_redirects=False,
        )
        content = treq.content(response)
        content.addTimeout(self.reply_timeout_s, self.reactor)
        data = await content
        headers_by_name = {
            name.decode("ascii", "replace").lower(): values[-1].decode(
                "utf-8", "replace"
            )
            for name, values in response.headers.getAllRawHeaders()
        }
        return Reply(node, response.code, headers_by_name, data)

    async def get_json(
        self, path: str, query: dict[str, Any] | None = None
    ) -> Any | ErrorResult:
        """Send a GET request and return the JSON body, or the error of the node."""
        reply = await self.send("GET", path, query)
        if isinstance(reply, ErrorResult):
            return reply
        body = reply.parse_json()
        if isinstance(body, ErrorResult) or reply.status == 200:
            return body
        return parse_error(reply, body)


def parse_error(reply: Reply, body: Any) -> ErrorResult:
    """Return the error in the JSON body of an unsuccessful reply."""
    fields = body if isinstance(body, dict) else {}
    try:
        kind = ErrorKind(fields.get("error"))
    except ValueError:
        kind = ErrorKind.INVALID_MESSAGE
    reason = fields.get("reason") or f"status {reply.status}"
    return ErrorResult(kind, f"{reply.node}: {reason}")


def note_unknown_outcome(error: ErrorResult) -> ErrorResult:
    """Add to the reason that the outcome is unknown, if the request was sent."""
    if error.kind is not ErrorKind.UPSTREAM_LOST:
        return error
    return ErrorResult(error.kind, f"{error.reason}; the outcome is unknown")


def run_on_reactor(main: Callable[[Any], Awaitable[int]]) -> int:
    """Run a coroutine on the reactor and return its exit status.

    Returns
    -------
    status : int
        130 after Ctrl-C and 143 after SIGTERM, as shells report them.
    """
    statuses = []
    received_signals = []

    async def run(clock: Any) -> None:
        statuses.append(await main(clock))

    def interrupt(number: int, frame: Any) -> None:
        received_signals.append(number)
        reactor.callFromThread(reactor.stop)

    # Twisted installs its own SIGINT handler only in place of Python's default one.
    # With Twisted's handler the process would exit with status 0.
    previous_handler = signal.signal(signal.SIGINT, interrupt)
    try:
        react(run, ())
    except SystemExit as exit_error:
        # Stopping the reactor closes the connections, which can also complete the
        # coroutine. The interrupt takes precedence over its status.
        if received_signals:
            return EXIT_INTERRUPTED
        if statuses:
            return statuses[0]
        return exit_error.code or EXIT_TERMINATED
    finally:
        signal.signal(signal.SIGINT, previous_handler)
    return 0
