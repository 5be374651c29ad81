"""Planning of edits: the configuration that an operator's text asks for."""

from collections.abc import Collection, Mapping

from attrs import evolve, frozen

from bamboocove.coordination.differences import describe_difference, find_warnings
from bamboocove.protocol.text import parse_text
from bamboocove.protocol.text_checks import find_past_deadlines
from bamboocove.protocol.text_document import MoveEntry, Place, TextDocument
from bamboocove.protocol.text_source import TextProblem
from bamboocove.protocol.text_values import make_move_id
from bamboocove.state.config import Config, Move, Service, find_dangling_references

WITHDRAWN = "withdrawn"


def _make_problem(place: Place, word: str, message: str, remedy: str) -> TextProblem:
    return TextProblem(place.line, place.column, word, message, remedy)


def _find_ended_move(config: Config, listed: MoveEntry) -> Move | None:
    """Return the ended move that an entry of the text refers to, if any.

    A move keeps its identifier when its deadline changes, so the entry is
    also compared with the identifier that follows from the last deadline.
    Otherwise applying the same text again would restart a reverted move.
    """
    if _find_open_move(config, listed) is not None:
        return None
    for move in config.moves_by_id.values():
        if not move.is_ended or move.service != listed.service:
            continue
        last_id = make_move_id(move.service, move.to_version, move.deadline)
        if listed.move_id in (move.move_id, last_id):
            return move
    return None


def _find_open_move(config: Config, listed: MoveEntry) -> Move | None:
    move = config.get_open_move(listed.service)
    return move if move and move.to_version == listed.to_version else None


def _keep_running_version(config: Config, service: Service) -> Service:
    """Return a service of the text with the version that is in force."""
    running = config.services_by_name.get(service.name)
    return service if running is None else evolve(service, version=running.version)


def _check_version(
    config: Config, document: TextDocument, service: Service
) -> TextProblem | None:
    running = config.services_by_name.get(service.name)
    if running is None or running.version == service.version:
        return None
    name, version = service.name, service.version
    place = document.version_places_by_service.get(name, Place())
    move = config.get_open_move(name)
    if move is not None and move.to_version == version:
        return _make_problem(
            place,
            version,
            f"the move of {name} to {version} is not done (phase {move.phase})",
            f"write version: {running.version} until it is",
        )
    for listed in document.moves:
        if (listed.service, listed.to_version) != (name, running.version):
            continue
        ended = _find_ended_move(config, listed)
        if ended is None or ended.from_version == version:
            # Valid if the entry is the move that finished; any other entry is
            # refused by _check_move.
            return None
    return _make_problem(
        place,
        version,
        f"version of {name} changes from {running.version} to {version} without a move",
        f"write version: {running.version} and list a move to {version}",
    )


def _check_removed_service(
    config: Config, document: TextDocument, name: str
) -> TextProblem | None:
    place = document.services_place
    move = config.get_open_move(name)
    if move is not None:
        message = f"service {name} is removed while it moves to {move.to_version}"
        remedy = "withdraw the move first, in an edit of its own"
        return _make_problem(place, name, message, remedy)
    users = [
        service.name
        for service in document.services_by_name.values()
        if name in service.depends_on
    ]
    if users:
        message = f"service {name} is removed but {', '.join(users)} depend on it"
        remedy = f"remove {name} from their depends_on"
        return _make_problem(place, name, message, remedy)
    return None


def _check_move(config: Config, listed: MoveEntry, now: float) -> TextProblem | None:
    """Check a listed move that has not ended."""
    open_move = _find_open_move(config, listed)
    if open_move is not None and open_move.deadline == listed.deadline:
        return None
    past = find_past_deadlines([listed], now)
    if past:
        return past[0]
    if open_move is not None:
        return None
    service = config.services_by_name.get(listed.service)
    if service is not None and service.version == listed.to_version:
        message = f"{listed.service} already runs {listed.to_version}"
        remedy = f"remove the move and write version: {listed.to_version}"
        return _make_problem(listed.to_place, listed.to_version, message, remedy)
    taken = config.moves_by_id.get(listed.move_id)
    if taken is not None:
        message = f"identifier {listed.move_id} belongs to a move of {taken.service}"
        remedy = "change the deadline by a minute"
        return _make_problem(listed.by_place, listed.move_id, message, remedy)
    return None


def _find_problems(
    config: Config, document: TextDocument, now: float
) -> list[TextProblem]:
    problems = []
    if config.tenant and config.tenant != document.tenant:
        message = f"text is of {document.tenant}, this deployment is {config.tenant}"
        remedy = "apply it to the nodes of its own tenant"
        problems.append(
            _make_problem(document.tenant_place, document.tenant, message, remedy)
        )
    for name in config.services_by_name:
        if name not in document.services_by_name:
            problems.append(_check_removed_service(config, document, name))
    for service in document.services_by_name.values():
        problems.append(_check_version(config, document, service))
    for listed in document.moves:
        if _find_ended_move(config, listed) is None:
            problems.append(_check_move(config, listed, now))
    found = [problem for problem in problems if problem is not None]
    return sorted(found, key=lambda problem: (problem.line, problem.column))


def _withdraw_move(move: Move, now: float) -> Move:
    return evolve(move, phase="reverted", share=0.0, reason=WITHDRAWN, changed_at=now)


def _plan_moves(config: Config, document: TextDocument, now: float) -> dict[str, Move]:
    """Return the open moves after the edit and the last ended one per service."""
    kept_by_id = {}
    for listed in document.moves:
        move = _find_open_move(config, listed)
        if move is not None:
            kept_by_id[move.move_id] = evolve(move, deadline=listed.deadline)
    moves = {}
    for move_id, move in config.moves_by_id.items():
        if move.service not in document.services_by_name:
            continue
        if not move.is_ended:
            move = kept_by_id.get(move_id) or _withdraw_move(move, now)
        moves[move_id] = move
    for listed in document.moves:
        if _find_open_move(config, listed) or _find_ended_move(config, listed):
            continue
        running = config.services_by_name.get(
            listed.service, document.services_by_name[listed.service]
        )
        moves[listed.move_id] = Move(
            move_id=listed.move_id,
            service=listed.service,
            from_version=running.version,
            to_version=listed.to_version,
            deadline=listed.deadline,
            started_at=now,
            changed_at=now,
        )
    return _keep_last_ended(moves)


def _keep_last_ended(moves: Mapping[str, Move]) -> dict[str, Move]:
    last_by_service: dict[str, Move] = {}
    for move in moves.values():
        last = last_by_service.get(move.service)
        if move.is_ended and (last is None or move.changed_at >= last.changed_at):
            last_by_service[move.service] = move
    return {
        move_id: move
        for move_id, move in moves.items()
        if not move.is_ended or last_by_service[move.service] is move
    }


def draft_config(config: Config, document: TextDocument, now: float) -> Config:
    """Return the configuration that a text asks for, without validating it.

    Returns
    -------
    config : Config
        The next revision; the same object if the text changes nothing.
    """
    services = {
        name: _keep_running_version(config, service)
        for name, service in document.services_by_name.items()
    }
    moves = _plan_moves(config, document, now)
    # dict ignores order when compared, so reordering services is no change.
    unchanged = (
        config.tenant == document.tenant
        and dict(config.services_by_name) == services
        and dict(config.moves_by_id) == moves
    )
    if unchanged:
        return config
    revision = config.revision + 1
    return Config(revision, document.tenant, revision, services, moves)


def plan_edit(
    config: Config, document: TextDocument, now: float
) -> Config | list[TextProblem]:
    """Validate an edit and return the configuration that results from it.

    Parameters
    ----------
    config : Config
        The configuration in force.
    document : TextDocument
        The parsed text.
    now : float
        Unix time in seconds.

    Returns
    -------
    config : Config or list of TextProblem
        The next revision, or all problems for which the edit is refused. If
        the text changes nothing, the same object is returned and there is
        nothing to publish.
    """
    problems = _find_problems(config, document, now)
    if problems:
        return problems
    planned = draft_config(config, document, now)
    return [
        _make_problem(document.services_place, "", text, "correct the reference")
        for text in find_dangling_references(planned)
    ] or planned


@frozen
class PlannedEdit:
    """An edit that passed all checks and may be published.

    Parameters
    ----------
    config : Config
        Configuration to publish; the base itself if the text changes nothing.
    difference : list of str
        The changes, one line each.
    warnings : list of str
        Findings that do not prevent the edit from being applied.
    """

    config: Config
    difference: list[str]
    warnings: list[str]


@frozen
class StaleEdit:
    """An edit that was based on an outdated text.

    Parameters
    ----------
    text_revision : int
        Revision at which the text last changed.
    difference : list of str
        What the refused text would change now, including the reversal of
        changes that another operator published in the meantime.
    """

    text_revision: int
    difference: list[str]


def prepare_edit(
    config: Config,
    data: bytes,
    base: int,
    now: float,
    announced_by_service: Mapping[str, Collection[str]],
) -> PlannedEdit | StaleEdit | list[TextProblem]:
    """Parse a text and plan the edit.

    Parameters
    ----------
    config : Config
        The newest published configuration.
    data : bytes
        The text.
    base : int
        Text revision that the operator's text was made from. Move steps raise
        the revision but not the text revision, so they never make an edit
        stale.
    now : float
        Unix time in seconds.
    announced_by_service : mapping of str to collection of str
        Versions that workers announce.
    """
    document = parse_text(data)
    if isinstance(document, list):
        return document
    if base != config.text_revision:
        draft = draft_config(config, document, now)
        return StaleEdit(config.text_revision, describe_difference(config, draft))
    planned = plan_edit(config, document, now)
    if isinstance(planned, list):
        return planned
    warnings = find_warnings(document, planned, announced_by_service)
    return PlannedEdit(planned, describe_difference(config, planned), warnings)
