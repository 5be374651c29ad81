"""Steps of a move: when traffic advances, waits or goes back."""

import math

from attrs import evolve, frozen

from bamboocove.coordination.analysis import STEP_SHARES
from bamboocove.coordination.verdicts import Verdict
from bamboocove.errors import ErrorKind, ErrorResult
from bamboocove.state.config import Config, Move

# Share that may be reached without evidence.
SHARE_MAX_WITHOUT_EVIDENCE = 0.10
# Time on a step after which the next one up to that share is taken without
# evidence, and its largest part of the time between start and deadline.
STEP_S_WITHOUT_EVIDENCE = 60.0
STEP_FRACTION_WITHOUT_EVIDENCE = 0.05
# Least time on each step; the default of the setting [moves] step_s.
STEP_S = 5.0
# Time on a step after which good evidence collected on it outweighs earlier
# signs of harm, which fade slowly on routes with few calls.
SUSPECT_S = 120.0
# Time after 100% during which the old version stays available.
WATCH_S = 300.0
# Without any calls, the steps above 10% are taken in the last part of the time.
NO_TRAFFIC_RESERVE_FRACTION = 0.1
# Part of the reporting nodes whose brakes together repeat or end a step; one
# node alone may be at fault itself.
BRAKED_FRACTION_MIN = 0.5
BRAKED_NODES_MIN = 2
# Repetitions of steps for brakes before the move is reverted.
REPEATS_MAX = 2
# Kinds that leave the share and the time on the step as they are.
KINDS_WITHOUT_STEP_CHANGE = ("keep", "hold", "resume", "warn")
LAST_STEP = len(STEP_SHARES) - 1

# A table and not an automat machine: the phase is restored from the
# configuration at each decision, by any node, whereas an automat machine starts
# in its initial state and keeps its state in an object.
NEXT_PHASES: dict[str, frozenset[str]] = {
    "waiting": frozenset({"waiting", "stepping", "reverted", "expired"}),
    "stepping": frozenset(
        {"stepping", "holding", "finishing", "reverted", "expired"},
    ),
    "holding": frozenset({"stepping", "holding", "finishing", "reverted", "expired"}),
    "finishing": frozenset({"finishing", "done", "reverted", "expired"}),
    "done": frozenset(),
    "reverted": frozenset(),
    "expired": frozenset(),
}


@frozen
class WorkerCounts:
    """Workers of the service of a move.

    Parameters
    ----------
    old : int
        Workers of the old version on live members, in whatever state.
    new_ready : int
        Ready workers of the new version.
    nodes : int
        Live nodes, which all report calls.
    """

    old: int
    new_ready: int
    nodes: int = 0


@frozen
class BrakeCounts:
    """Local brakes of a move.

    Parameters
    ----------
    braked, reporting : int
        Nodes whose brake is set, and nodes that reported on this step.
    repeats : int
        How often a step was repeated because of brakes.
    """

    braked: int = 0
    reporting: int = 0
    repeats: int = 0

    @property
    def is_widespread(self) -> bool:
        """Whether so many brakes are set that no single node is the cause."""
        least = max(BRAKED_NODES_MIN, BRAKED_FRACTION_MIN * self.reporting)
        return self.braked >= least


@frozen
class Decision:
    """What becomes of a move.

    Parameters
    ----------
    kind : str
        ``keep``, ``advance``, ``hold``, ``resume``, ``warn``, ``repeat``,
        ``step_back``, ``finish``, ``revert`` or ``expire``. ``keep`` publishes nothing.
    phase : str
        Phase of the move afterwards.
    step : int
        Step afterwards.
    share : float
        Share of calls of the new version afterwards.
    reason : str
        For a person.
    warning : str
        Why the deadline cannot be met at the present rate; empty if it can.
    """

    kind: str
    phase: str
    step: int
    share: float
    reason: str
    warning: str = ""


def count_workers_used(share: float, old_workers: int) -> int:
    """Return how many workers of the new version receive traffic.

    The load of each is then at least that of an old worker once the share is
    worth one worker, so that a version that is bad only under load shows it.

    Examples
    --------
    >>> [count_workers_used(share, 5) for share in (0.0, 0.01, 0.25, 0.5, 1.0)]
    [0, 1, 1, 2, 5]
    """
    if share <= 0.0:
        return 0
    # The product of a share and a count may fall just short of a whole number.
    return max(1, math.floor(share * old_workers + 1e-9))


def _keep(move: Move) -> Decision:
    return Decision("keep", move.phase, move.step, move.share, move.reason)


def _advance(move: Move, step: int, reason: str) -> Decision:
    phase = "finishing" if step == LAST_STEP else "stepping"
    return Decision("advance", phase, step, STEP_SHARES[step], reason)


def _hold(move: Move, reason: str) -> Decision:
    if move.phase == "finishing" or (move.phase, move.reason) == ("holding", reason):
        return _keep(move)
    return Decision("hold", "holding", move.step, move.share, reason)


def _collect(move: Move) -> Decision:
    if move.phase != "holding":
        return _keep(move)
    return Decision("resume", "stepping", move.step, move.share, "collecting evidence")


def _end(move: Move, kind: str, reason: str) -> Decision:
    phase = {"revert": "reverted", "expire": "expired"}[kind]
    return Decision(kind, phase, move.step, 0.0, reason)


def plan_move(
    move: Move,
    verdict: Verdict,
    now: float,
    workers: WorkerCounts,
    brakes: BrakeCounts = BrakeCounts(),
    remaining_s: float = 0.0,
    step_s: float = STEP_S,
    watch_s: float = WATCH_S,
) -> Decision:
    """Decide the next step of a move.

    Parameters
    ----------
    move : Move
        The move as it is published.
    verdict : Verdict
        Verdict on its present step.
    now : float
        Unix time in seconds.
    workers : WorkerCounts
        Workers that are known.
    brakes : BrakeCounts
        Local brakes that nodes reported.
    remaining_s : float
        Seconds in which the remaining steps can be earned; 0 if unknown.
    step_s : float
        Least time on each step.
    watch_s : float
        Time after 100% during which the old version stays available.
    """
    if move.is_ended:
        return _keep(move)
    if verdict.kind == "bad":
        return _end(move, "revert", verdict.reason)
    if brakes.is_widespread and move.step >= 0:
        return _answer_brakes(move, brakes)
    if move.phase == "finishing" or move.step >= LAST_STEP:
        return _plan_watch(move, verdict, now, workers, step_s, watch_s)
    if now >= move.deadline:
        reason = verdict.reason
        if move.step < 0:
            reason = f"no worker of {move.to_version} announced itself"
        return _end(move, "expire", f"deadline passed at {move.share:.0%}: {reason}")
    decision = _plan_step(move, verdict, now, workers, brakes, step_s)
    warning = _warn(move, verdict, now, remaining_s, step_s)
    return evolve(decision, warning=warning)


def _answer_brakes(move: Move, brakes: BrakeCounts) -> Decision:
    reason = f"brakes set on {brakes.braked} of {brakes.reporting} nodes"
    if brakes.repeats >= REPEATS_MAX:
        return _end(move, "revert", reason)
    step = min(move.step, LAST_STEP - 1)
    phase = "finishing" if move.phase == "finishing" else "holding"
    return Decision("repeat", phase, step, STEP_SHARES[step], reason)


def _plan_watch(
    move: Move,
    verdict: Verdict,
    now: float,
    workers: WorkerCounts,
    step_s: float,
    watch_s: float,
) -> Decision:
    age = now - move.changed_at
    if move.step == LAST_STEP:
        if verdict.is_suspect:
            step = LAST_STEP - 1
            reason = "more bad calls than the old version had; comparing again"
            return Decision("step_back", "finishing", step, STEP_SHARES[step], reason)
        if age < watch_s or workers.new_ready < max(1, workers.old):
            return _keep(move)
        reason = f"no worse than {move.from_version} for {age:.0f} s at 100%"
        if verdict.has_no_traffic:
            reason = f"all nodes report no calls for {age:.0f} s at 100%"
        return Decision("finish", "done", LAST_STEP, 1.0, reason)
    if verdict.kind == "good" and not verdict.is_suspect and age >= step_s:
        return _advance(move, LAST_STEP, verdict.reason)
    if now >= move.deadline and age >= watch_s:
        return _end(move, "expire", f"not shown good after 100%: {verdict.reason}")
    return _keep(move)


def _plan_step(
    move: Move,
    verdict: Verdict,
    now: float,
    workers: WorkerCounts,
    brakes: BrakeCounts,
    step_s: float,
) -> Decision:
    if move.step < 0:
        if not workers.new_ready:
            return _keep(move)
        return _advance(move, 0, f"first worker of {move.to_version} ready")
    step = move.step + 1
    needed = count_workers_used(STEP_SHARES[step], workers.old)
    if workers.new_ready < needed:
        return _hold(move, f"{workers.new_ready} of {needed} new workers ready")
    age = now - move.changed_at
    if age < step_s:
        return _collect(move)
    if verdict.is_suspect and (verdict.kind != "good" or age < SUSPECT_S):
        return _hold(move, "more bad calls on the new version, not yet proof")
    if brakes.braked and verdict.kind != "good":
        return _hold(move, f"brakes set on {brakes.braked} nodes")
    if verdict.kind == "good":
        return _advance(move, step, verdict.reason)
    total_s = move.deadline - move.started_at
    if STEP_SHARES[step] <= SHARE_MAX_WITHOUT_EVIDENCE:
        wait_s = max(
            step_s,
            min(STEP_S_WITHOUT_EVIDENCE, STEP_FRACTION_WITHOUT_EVIDENCE * total_s),
        )
        if age >= wait_s:
            return _advance(move, step, f"no sign of harm after {age:.0f} s")
        return _collect(move)
    if verdict.has_no_traffic and brakes.reporting >= max(1, workers.nodes):
        steps_left = LAST_STEP - move.step
        reserve_s = max(
            NO_TRAFFIC_RESERVE_FRACTION * total_s, (steps_left + 1) * step_s
        )
        if now >= move.deadline - reserve_s:
            reason = "all nodes report no calls, so none at risk; deadline is near"
            return _advance(move, step, reason)
        return _hold(move, "all nodes report no calls; waiting until near the deadline")
    if verdict.kind == "no_evidence" and age >= STEP_S_WITHOUT_EVIDENCE:
        if not verdict.route:
            return _hold(move, verdict.reason)
        where = f"{verdict.route} ({verdict.request_class})"
        return _hold(move, f"too few calls on route {where}")
    return _collect(move)


def _warn(
    move: Move, verdict: Verdict, now: float, remaining_s: float, step_s: float
) -> str:
    left_s = move.deadline - now
    if move.step < 0 and left_s < (move.deadline - move.started_at) / 2:
        return f"no worker of {move.to_version} after half of the time"
    least_s = (LAST_STEP - move.step) * step_s
    if max(remaining_s, least_s) <= left_s:
        return ""
    where = f"; slowest is route {verdict.route}" if verdict.route else ""
    return f"needs about {max(remaining_s, least_s):.0f} s of {left_s:.0f} s{where}"


def apply_decision(
    config: Config, move: Move, decision: Decision, now: float
) -> Config | ErrorResult:
    """Return the next revision, with a decision in force.

    ``changed_at`` is set when the step changes or is repeated, and when the
    move ends, so that a hold does not restart the least time on a step.

    Returns
    -------
    config : Config or ErrorResult
        ``STALE`` if the configuration holds another state of the move,
        ``INVALID_CONFIG`` if the phase cannot follow.
    """
    if config.moves_by_id.get(move.move_id) != move:
        return ErrorResult(ErrorKind.STALE, f"move {move.move_id} has changed")
    if decision.phase not in NEXT_PHASES[move.phase]:
        reason = f"phase {decision.phase} cannot follow {move.phase}"
        return ErrorResult(ErrorKind.INVALID_CONFIG, reason)
    changed = evolve(
        move,
        phase=decision.phase,
        step=decision.step,
        share=decision.share,
        reason=decision.reason,
        changed_at=move.changed_at
        if decision.kind in KINDS_WITHOUT_STEP_CHANGE
        else now,
    )
    moves = dict(config.moves_by_id)
    if changed.is_ended:
        # Only the last ended move of each service is kept.
        for other in config.moves_by_id.values():
            if other.service == move.service and other.is_ended:
                del moves[other.move_id]
    moves[move.move_id] = changed
    services = dict(config.services_by_name)
    if changed.phase == "done":
        service = services[move.service]
        services[move.service] = evolve(service, version=move.to_version)
    return evolve(
        config,
        revision=config.revision + 1,
        services_by_name=services,
        moves_by_id=moves,
    )
