"""Steps of moves whose deadline is seconds rather than minutes away.

All nodes know the same outcomes (``version_comparison``) and take the same steps.
"""

import math
from collections.abc import Iterable
from zlib import crc32

from attrs import evolve, frozen

from bamboocove.state.mesh import MoveOrder, VersionRule

# Share of the new version on each step. The first one is low so that a version
# that turns bad within seconds gets far less than a tenth of all requests.
STEP_SHARES = (0.05, 0.15, 0.4, 1.0)
# Minimum duration of each step as a fraction of the move's duration. The first
# step is the longest, because versions often turn bad only after some seconds.
STEP_FRACTIONS = (0.3, 0.1, 0.1, 0.15)
# Outcomes of the new version that each step needs before the next one.
STEP_CALLS_MIN = (40, 60, 100, 60)
# Fraction of the move's duration after which steps take half the time, and need
# only as many outcomes as show the version harmless.
LATE_FRACTION = 0.6
# With fewer requests than this to both versions, late steps need no outcomes.
IDLE_CALLS = 20
# Largest share of the first step, which services with few requests need to get
# STEP_CALLS_MIN outcomes in time.
MAX_FIRST_SHARE = 0.15


@frozen
class MoveProgress:
    """Current step of a move.

    Parameters
    ----------
    step : int
        Index of the step; -1 before the first.
    step_started_at : float
        When the step began, in seconds of the local clock.
    new_calls_at_start : int
        Outcomes of the new version counted before the step began.
    share : float
        Share of requests that the new version gets, from 0 to 1.
    """

    step: int = -1
    step_started_at: float = 0.0
    new_calls_at_start: int = 0
    share: float = 0.0


@frozen
class MoveObservation:
    """Observed state that the next step of a move depends on.

    Parameters
    ----------
    age_s, duration_s : float
        Time since the move was ordered, and from the order to the deadline, in
        seconds.
    old_calls, new_calls : int
        Outcomes of the old and the new version since the move began.
    new_ready, old_ready : int
        Ready workers of the new and the old version.
    is_suspicious : bool
        Whether the new version looks worse than the old one.
    is_harmless : bool
        Whether the outcomes show that few requests to the new version can be bad.
    """

    age_s: float
    duration_s: float
    old_calls: int
    new_calls: int
    new_ready: int
    old_ready: int
    is_suspicious: bool
    is_harmless: bool


def _choose_first_share(observation: MoveObservation) -> float:
    rate = (observation.old_calls + observation.new_calls) / max(observation.age_s, 0.1)
    expected_calls = rate * STEP_FRACTIONS[0] * observation.duration_s
    needed = STEP_CALLS_MIN[0] / max(expected_calls, 1.0)
    return min(MAX_FIRST_SHARE, max(STEP_SHARES[0], needed))


def _has_outcomes(progress: MoveProgress, observation: MoveObservation) -> bool:
    """Return whether there are enough outcomes for the next step."""
    step_calls = observation.new_calls - progress.new_calls_at_start
    if step_calls >= STEP_CALLS_MIN[progress.step]:
        return True
    if observation.age_s <= LATE_FRACTION * observation.duration_s:
        return False
    calls = observation.old_calls + observation.new_calls
    return observation.is_harmless or calls < IDLE_CALLS


def advance(
    progress: MoveProgress, observation: MoveObservation, now: float
) -> MoveProgress:
    """Return the progress of a move without a regression, with a step if it is due."""
    last_step = len(STEP_SHARES) - 1
    if not observation.new_ready or progress.step >= last_step:
        return progress
    if progress.step < 0:
        share = _choose_first_share(observation)
        return MoveProgress(0, now, observation.new_calls, share)
    is_late = observation.age_s > LATE_FRACTION * observation.duration_s
    fraction = STEP_FRACTIONS[progress.step] * (0.5 if is_late else 1.0)
    if (
        observation.is_suspicious
        or now - progress.step_started_at < fraction * observation.duration_s
        or not _has_outcomes(progress, observation)
    ):
        return progress
    step = progress.step + 1
    if step == last_step and 2 * observation.new_ready < observation.old_ready:
        return progress
    share = max(progress.share, STEP_SHARES[step])
    return MoveProgress(step, now, observation.new_calls, share)


def is_complete(
    progress: MoveProgress, observation: MoveObservation, now: float
) -> bool:
    """Return whether the last step has lasted long enough to end the move."""
    last_step = len(STEP_SHARES) - 1
    return (
        progress.step == last_step
        and observation.new_ready > 0
        and not observation.is_suspicious
        and now - progress.step_started_at
        >= min(2.0, STEP_FRACTIONS[last_step] * observation.duration_s)
    )


def count_workers_used(share: float, old_ready: int) -> int:
    """Return how many workers of the new version get requests at a share.

    A small share goes to few workers, so that a version that is bad only under
    load is detected early.

    Examples
    --------
    >>> [count_workers_used(share, 5) for share in STEP_SHARES]
    [1, 1, 2, 5]
    """
    return max(1, math.ceil(share * old_ready - 1e-9))


def compute_rank(service: str, own_id: str, reachable_ids: Iterable[str]) -> int:
    """Return the position of a host among those that write a decision in turn."""
    host_ids = sorted(
        reachable_ids, key=lambda host_id: crc32(f"{service}/{host_id}".encode())
    )
    return host_ids.index(own_id) if own_id in host_ids else len(host_ids)


def start_move(rule: VersionRule, order: MoveOrder) -> VersionRule:
    """Return the rule of a service while a new order is carried out."""
    return evolve(
        rule,
        current="" if rule.current == order.to_version else rule.current,
        banned=tuple(v for v in rule.banned if v != order.to_version),
        to_version=order.to_version,
        order_revision=order.revision,
        state="running",
    )
