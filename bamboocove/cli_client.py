"""HTTP client of the operator tool, and the reactor that it runs on."""

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
# Longer than a node takes to publish with a slow store.
REPLY_TIMEOUT_S = 30
EXIT_INTERRUPTED = 128 + signal.SIGINT
EXIT_TERMINATED = 128 + signal.SIGTERM
NOT_REACHED = (ConnectError, DNSLookupError, ConnectingCancelledError, RequestNotSent)


@frozen
class Reply:
    """What a node answered.

    Parameters
    ----------
    node : str
        URL of the node.
    status : int
        HTTP status.
    headers : dict of str to str
        Headers by name in lower case.
    body : bytes
        Body.
    """

    node: str
    status: int
    headers: dict[str, str]
    body: bytes

    def read_json(self) -> Any | ErrorResult:
        """Return the body as JSON."""
        try:
            return json.loads(self.body)
        except ValueError:
            reason = f"{self.node} does not answer in JSON; is it an admin port?"
            return ErrorResult(ErrorKind.INVALID_MESSAGE, reason)


def check_node_url(url: str) -> str | ErrorResult:
    """Return a URL of a node without its last slash.

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
        # Reading the port checks that it is a number.
        valid = valid and parts.port != 0 and not (parts.query or parts.fragment)
    except ValueError:
        valid = False
    if not valid:
        reason = f"{url!r} is not a node; write it as http://HOST:PORT"
        return ErrorResult(ErrorKind.BAD_REQUEST, reason)
    return url.rstrip("/")


def describe_failure(error: BaseException) -> str:
    """Return one line for an error of the HTTP client."""
    if isinstance(error, ResponseFailed) and error.reasons:
        return describe_failure(error.reasons[0].value)
    return " ".join(str(error).split()) or type(error).__name__


@define
class NodeClient:
    """Sends requests to the first node that can be reached.

    Parameters
    ----------
    nodes : sequence of str
        URLs, in the order in which they are tried.
    clock : IReactorTCP
        The reactor.
    reply_timeout_s : float
        Time for one reply.
    """

    nodes: Sequence[str]
    clock: Any
    reply_timeout_s: float = REPLY_TIMEOUT_S
    _agent: Agent = field(init=False)

    def __attrs_post_init__(self) -> None:
        # A connection that is kept may be closed by the node as a request is
        # sent, and Agent would repeat it; calls are never repeated here.
        pool = HTTPConnectionPool(self.clock, persistent=False)
        self._agent = Agent(self.clock, connectTimeout=CONNECT_TIMEOUT_S, pool=pool)

    async def send(
        self,
        method: str,
        path: str,
        query: dict[str, Any] | None = None,
        body: bytes = b"",
        headers: dict[str, str] | None = None,
    ) -> Reply | ErrorResult:
        """Send one request; the next node is tried if one cannot be reached.

        Returns
        -------
        reply : Reply or ErrorResult
            ``NO_UPSTREAM`` if no node was reached, so nothing was run;
            ``UPSTREAM_LOST`` if a node was reached but did not answer. The
            request is not sent again then.
        """
        target = quote(path, safe="/:@!$&'()*+,;=~-._%?")
        if query:
            target += "?" + urlencode(query)
        reasons = []
        for node in self.nodes:
            try:
                return await self._send_to(node, method, target, body, headers)
            except NOT_REACHED as error:
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
            reactor=self.clock,
            timeout=self.reply_timeout_s,
            allow_redirects=False,
        )
        content = treq.content(response)
        content.addTimeout(self.reply_timeout_s, self.clock)
        data = await content
        found = {
            name.decode("ascii", "replace").lower(): values[-1].decode(
                "utf-8", "replace"
            )
            for name, values in response.headers.getAllRawHeaders()
        }
        return Reply(node, response.code, found, data)

    async def get_json(
        self, path: str, query: dict[str, Any] | None = None
    ) -> Any | ErrorResult:
        """Return the JSON body of a GET, or the error that was answered."""
        reply = await self.send("GET", path, query)
        if isinstance(reply, ErrorResult):
            return reply
        body = reply.read_json()
        if isinstance(body, ErrorResult) or reply.status == 200:
            return body
        return read_error(reply, body)


def read_error(reply: Reply, body: Any) -> ErrorResult:
    """Return the error that a node answered."""
    fields = body if isinstance(body, dict) else {}
    try:
        kind = ErrorKind(fields.get("error"))
    except ValueError:
        kind = ErrorKind.INVALID_MESSAGE
    reason = fields.get("reason") or f"status {reply.status}"
    return ErrorResult(kind, f"{reply.node}: {reason}")


def add_outcome(error: ErrorResult) -> ErrorResult:
    """Say that a request may have taken effect, if it was sent."""
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
    interrupted = []

    async def run(clock: Any) -> None:
        statuses.append(await main(clock))

    def interrupt(number: int, frame: Any) -> None:
        interrupted.append(number)
        reactor.callFromThread(reactor.stop)

    # Twisted leaves a handler alone that is not Python's default. Its own would
    # end with the status of success.
    previous = signal.signal(signal.SIGINT, interrupt)
    try:
        react(run, ())
    except SystemExit as ended:
        # Stopping closes connections, so the coroutine may have ended as well.
        if interrupted:
            return EXIT_INTERRUPTED
        if statuses:
            return statuses[0]
        return ended.code or EXIT_TERMINATED
    finally:
        signal.signal(signal.SIGINT, previous)
    return 0
