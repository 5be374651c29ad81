"""Observations of a soak run: requests, disruptions, configurations, drains."""

from attrs import define, field, frozen

from bamboocove.platform.standin_worker import Arrival

# Time-outs of the routes, the longer one of those whose requests take seconds.
ROUTE_TIMEOUT_S = 1.5
LONG_TIMEOUT_S = 4.0


@define(eq=False)
class ClientRequest:
    """One request of a client and its outcome.

    Parameters
    ----------
    attempt_id, host_id, kind, target, digest : str
        Identifier, host of the client, kind, path and checksum of the body. The
        kind is ``"read"`` (may be repeated), ``"pay"`` (runs at most once) or
        ``"probe"`` (shows which configuration the node applies).
    start_number : int
        Start number of the node process that it was sent to.
    sent_at, ended_at : float
        Seconds of the local clock; ``ended_at`` is 0 until the request ends.
    status : int
        Status of the response; 0 if there was none.
    problem : str
        What is wrong with the response, or why there was none.
    route : int
        Number of the route that a probe requests; 0 for other kinds.
    timeout_s : float
        Time-out of its route, in seconds.
    is_sent : bool
        Whether it was sent; not so if there was no connection.
    is_signed : bool
        Whether the response bears the signature of a worker.
    """

    attempt_id: str
    host_id: str
    kind: str
    target: str
    digest: str
    start_number: int
    sent_at: float
    ended_at: float = 0.0
    status: int = 0
    problem: str = ""
    route: int = 0
    timeout_s: float = ROUTE_TIMEOUT_S
    is_sent: bool = True
    is_signed: bool = False


@frozen
class Disruption:
    """A fault or a planned operation.

    Parameters
    ----------
    kind : str
        Kind of the fault or operation.
    subject : str
        What it affects, such as a host, ``"store"``, or ``"*"`` for all hosts.
    start, end : float
        Seconds of the local clock.
    is_planned : bool
        Whether it is normal work of an operator rather than a fault.
    """

    kind: str
    subject: str
    start: float
    end: float
    is_planned: bool = False


@frozen
class ConfigChange:
    """An acknowledged configuration that added one route and may have removed one.

    ``removed_route`` is 0 if none was removed.
    """

    added_route: int
    removed_route: int
    acknowledged_at: float


@frozen
class AcknowledgedDrain:
    """A worker whose drain was acknowledged by its node."""

    worker_id: str
    acknowledged_at: float


@frozen
class NamedLimit:
    """A rate limit that a worker named in its responses.

    Parameters
    ----------
    worker_id, host_id : str
        The worker and its host.
    limit_per_s : float
        Requests per second that the worker took.
    start, end : float
        When it first and last named the limit, in seconds of the local clock.
    """

    worker_id: str
    host_id: str
    limit_per_s: float
    start: float
    end: float


@define(eq=False)
class Journal:
    """All observations of one run, each kind in the order of their time.

    Parameters
    ----------
    seed : int
        Seed of the run.
    requests, arrivals : list
        Requests as clients sent them, and as workers received them.
    disruptions : list
        Faults and planned operations.
    changes, drains : list
        Acknowledged configurations and drains.
    limits : list
        Rate limits that workers named.
    program_errors : list
        Log lines of nodes that tell of an exception in a task.
    faulty_version : (str, str)
        Service and version of a rollout whose workers return errors, if any.
    errors_at : list
        Times of the error responses of that version.
    unexpected_exits : list
        Reasons of node processes that exited on their own.
    rollout_state : str
        Last reported state of the rollout.
    recovery_deadline : float
        Time from which requests must be served again.
    peak_kib_by_host : dict
        Largest resident memory of each host's node processes, in KiB.
    """

    seed: int
    requests: list[ClientRequest] = field(factory=list)
    arrivals: list[Arrival] = field(factory=list)
    disruptions: list[Disruption] = field(factory=list)
    changes: list[ConfigChange] = field(factory=list)
    drains: list[AcknowledgedDrain] = field(factory=list)
    limits: list[NamedLimit] = field(factory=list)
    program_errors: list[str] = field(factory=list)
    faulty_version: tuple[str, str] = ("", "")
    errors_at: list[float] = field(factory=list)
    unexpected_exits: list[str] = field(factory=list)
    rollout_state: str = ""
    recovery_deadline: float = 0.0
    peak_kib_by_host: dict[str, int] = field(factory=dict)
