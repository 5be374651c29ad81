"""Decides when a move takes its next step, waits, goes back or ends."""

import math

from attrs import evolve, frozen

from bamboocove.coordination.analysis import STEP_SHARES
from bamboocove.coordination.verdicts import Verdict
from bamboocove.errors import ErrorKind, ErrorResult
from bamboocove.state.config import Config, Move

# Largest share that a move may reach without evidence.
SHARE_MAX_WITHOUT_EVIDENCE = 0.10
# Time on a step after which the next one up to that share is taken without
# evidence: this many seconds, but at most this fraction of the time between
# start and deadline.
STEP_S_WITHOUT_EVIDENCE = 60.0
STEP_FRACTION_WITHOUT_EVIDENCE = 0.05
# Minimum time on each step; the default of the setting [moves] step_s.
STEP_S = 5.0
# Time on a step after which a good verdict allows the next step although the
# version is suspect. Earlier evidence that it is bad decays slowly on routes
# with few calls.
SUSPECT_S = 120.0
# Time at a share of 100% during which the old version stays available.
WATCH_S = 300.0
# Without any calls, the steps above 10% are taken in the last fraction of the
# time between start and deadline.
NO_TRAFFIC_RESERVE_FRACTION = 0.1
# Fraction and number of the reporting nodes whose brakes must be set to repeat or
# end a step, because the cause of a single brake may be the node itself.
BRAKED_FRACTION_MIN = 0.5
BRAKED_NODES_MIN = 2
# Repetitions of steps because of brakes before a move is reverted.
REPEATS_MAX = 2
# Decisions that change neither the share nor the start of the step.
KINDS_WITHOUT_STEP_CHANGE = ("keep", "hold", "resume", "warn")
LAST_STEP = len(STEP_SHARES) - 1

# Allowed transitions between phases. This is a table and not an automat machine:
# any node restores the phase from the configuration at each decision, whereas an
# automat machine starts in its initial state and keeps its state in an object.
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
    """Numbers of workers and nodes that a decision depends on.

    Parameters
    ----------
    old : int
        Workers of the old version on live members, in any state.
    new_ready : int
        Ready workers of the new version.
    nodes : int
        Live nodes. Each reports the calls that it dispatched.
    """

    old: int
    new_ready: int
    nodes: int = 0


@frozen
class BrakeCounts:
    """Numbers of local brakes that a decision depends on.

    Parameters
    ----------
    braked, reporting : int
        Nodes whose brake is set, and nodes that reported on this step.
    repeats : int
        Steps repeated so far because of brakes.
    """

    braked: int = 0
    reporting: int = 0
    repeats: int = 0

    @property
    def is_widespread(self) -> bool:
        """Whether so many brakes are set that a single node cannot be the cause."""
        nodes_min = max(BRAKED_NODES_MIN, BRAKED_FRACTION_MIN * self.reporting)
        return self.braked >= nodes_min


@frozen
class Decision:
    """Next state of a move.

    Parameters
    ----------
    kind : str
        ``keep``, ``advance``, ``hold``, ``resume``, ``warn``, ``repeat``,
        ``step_back``, ``finish``, ``revert`` or ``expire``. ``keep`` publishes nothing.
    phase : str
        New phase of the move.
    step : int
        New step.
    share : float
        New share of calls that the new version gets, from 0 to 1.
    reason : str
        Explanation for operators.
    warning : str
        Why the deadline is missed at the current rate of calls; empty if it is not.
    """

    kind: str
    phase: str
    step: int
    share: float
    reason: str
    warning: str = ""


def count_workers_used(share: float, old_workers: int) -> int:
    """Return how many workers of the new version receive traffic.

    Once the share is worth one worker, the load of each is at least that of an
    old worker, so that a version that is bad only under load is detected early.

    Examples
    --------
    >>> [count_workers_used(share, 5) for share in (0.0, 0.01, 0.25, 0.5, 1.0)]
    [0, 1, 1, 2, 5]
    """
    if share <= 0.0:
        return 0
    # The floating-point product may be slightly less than a whole number.
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


def _wait_for_evidence(move: Move) -> Decision:
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
    """Return the decision on the next step of a move.

    Parameters
    ----------
    move : Move
        The published move.
    verdict : Verdict
        Verdict on its current step.
    now : float
        Unix time in seconds.
    workers : WorkerCounts
        Workers known to the coordinator.
    brakes : BrakeCounts
        Local brakes that nodes reported.
    remaining_s : float
        Estimated seconds until there is evidence for all remaining steps; 0 if
        unknown.
    step_s : float
        Minimum time on each step in seconds.
    watch_s : float
        Seconds at a share of 100% during which the old version stays available.
    """
    if move.is_ended:
        return _keep(move)
    if verdict.kind == "bad":
        return _end(move, "revert", verdict.reason)
    if brakes.is_widespread and move.step >= 0:
        return _plan_after_brakes(move, brakes)
    if move.phase == "finishing" or move.step >= LAST_STEP:
        return _plan_watch(move, verdict, now, workers, step_s, watch_s)
    if now >= move.deadline:
        reason = verdict.reason
        if move.step < 0:
            reason = f"no worker of {move.to_version} announced itself"
        return _end(move, "expire", f"deadline passed at {move.share:.0%}: {reason}")
    decision = _plan_step(move, verdict, now, workers, brakes, step_s)
    warning = _format_deadline_warning(move, verdict, now, remaining_s, step_s)
    return evolve(decision, warning=warning)


def _plan_after_brakes(move: Move, brakes: BrakeCounts) -> Decision:
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
    step_age_s = now - move.changed_at
    if move.step == LAST_STEP:
        if verdict.is_suspect:
            step = LAST_STEP - 1
            reason = "more bad calls than the old version had; comparing again"
            return Decision("step_back", "finishing", step, STEP_SHARES[step], reason)
        if step_age_s < watch_s or workers.new_ready < max(1, workers.old):
            return _keep(move)
        reason = f"no worse than {move.from_version} for {step_age_s:.0f} s at 100%"
        if verdict.has_no_traffic:
            reason = f"all nodes report no calls for {step_age_s:.0f} s at 100%"
        return Decision("finish", "done", LAST_STEP, 1.0, reason)
    if verdict.kind == "good" and not verdict.is_suspect and step_age_s >= step_s:
        return _advance(move, LAST_STEP, verdict.reason)
    if now >= move.deadline and step_age_s >= watch_s:
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
    step_age_s = now - move.changed_at
    if step_age_s < step_s:
        return _wait_for_evidence(move)
    if verdict.is_suspect and (verdict.kind != "good" or step_age_s < SUSPECT_S):
        return _hold(move, "more bad calls on the new version, not yet proof")
    if brakes.braked and verdict.kind != "good":
        return _hold(move, f"brakes set on {brakes.braked} nodes")
    if verdict.kind == "good":
        return _advance(move, step, verdict.reason)
    duration_s = move.deadline - move.started_at
    if STEP_SHARES[step] <= SHARE_MAX_WITHOUT_EVIDENCE:
        wait_s = max(
            step_s,
            min(STEP_S_WITHOUT_EVIDENCE, STEP_FRACTION_WITHOUT_EVIDENCE * duration_s),
        )
        if step_age_s >= wait_s:
            return _advance(move, step, f"no sign of harm after {step_age_s:.0f} s")
        return _wait_for_evidence(move)
    if verdict.has_no_traffic and brakes.reporting >= max(1, workers.nodes):
        steps_left = LAST_STEP - move.step
        reserve_s = max(
            NO_TRAFFIC_RESERVE_FRACTION * duration_s, (steps_left + 1) * step_s
        )
        if now >= move.deadline - reserve_s:
            reason = "all nodes report no calls, so none at risk; deadline is near"
            return _advance(move, step, reason)
        return _hold(move, "all nodes report no calls; waiting until near the deadline")
    if verdict.kind == "no_evidence" and step_age_s >= STEP_S_WITHOUT_EVIDENCE:
        if not verdict.route:
            return _hold(move, verdict.reason)
        where = f"{verdict.route} ({verdict.request_class})"
        return _hold(move, f"too few calls on route {where}")
    return _wait_for_evidence(move)


def _format_deadline_warning(
    move: Move, verdict: Verdict, now: float, remaining_s: float, step_s: float
) -> str:
    left_s = move.deadline - now
    if move.step < 0 and left_s < (move.deadline - move.started_at) / 2:
        return f"no worker of {move.to_version} after half of the time"
    min_s = (LAST_STEP - move.step) * step_s
    if max(remaining_s, min_s) <= left_s:
        return ""
    slowest = f"; slowest is route {verdict.route}" if verdict.route else ""
    return f"needs about {max(remaining_s, min_s):.0f} s of {left_s:.0f} s{slowest}"


def apply_decision(
    config: Config, move: Move, decision: Decision, now: float
) -> Config | ErrorResult:
    """Return the next revision of the configuration, with a decision applied.

    ``changed_at`` is set when the step changes or is repeated, and when the
    move ends. A hold does not set it, so that the minimum time on the step does
    not start again.

    Returns
    -------
    config : Config or ErrorResult
        ``STALE`` if the configuration contains another state of the move,
        ``INVALID_CONFIG`` if the phase cannot follow the current one.
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
