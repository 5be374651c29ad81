"""Descriptions of configuration changes, and warnings, as lines for an operator."""

from collections.abc import Collection, Mapping

from bamboocove.protocol.text_checks import find_non_idempotent_reads
from bamboocove.protocol.text_document import TextDocument
from bamboocove.protocol.text_values import format_time
from bamboocove.state.config import Config, Move, Route, Service


def _describe_list(label: str, old: Collection[str], new: Collection[str]) -> list[str]:
    added = [f"+{item}" for item in new if item not in old]
    removed = [f"-{item}" for item in old if item not in new]
    return [f"{label} {' '.join(removed + added)}"] if added or removed else []


def _describe_route(service: str, old: Route, new: Route) -> list[str]:
    changes = _describe_list("methods", old.methods, new.methods)
    for label, attribute in (
        ("path", "path"),
        ("class", "request_class"),
        ("idempotent", "idempotent"),
        ("timeout_s", "timeout_s"),
    ):
        before, after = getattr(old, attribute), getattr(new, attribute)
        if before != after:
            changes.append(f"{label} {before} -> {after}")
    return [f"route {service}/{new.name}: {', '.join(changes)}"] if changes else []


def _describe_service(old: Service, new: Service) -> list[str]:
    lines = []
    if old.version != new.version:
        lines.append(f"service {new.name}: version {old.version} -> {new.version}")
    label = f"service {new.name}: depends_on"
    lines += _describe_list(label, old.depends_on, new.depends_on)
    old_routes = {route.name: route for route in old.routes}
    new_routes = {route.name: route for route in new.routes}
    for name, route in new_routes.items():
        if name in old_routes:
            lines += _describe_route(new.name, old_routes[name], route)
        else:
            methods = " ".join(route.methods)
            lines.append(f"route {new.name}/{name} added: {methods} {route.path}")
    lines += [
        f"route {new.name}/{name} removed"
        for name in old_routes
        if name not in new_routes
    ]
    return lines


def _describe_move(old: Move, new: Move) -> list[str]:
    label = f"move {new.move_id}"
    lines = []
    if old.deadline != new.deadline:
        before, after = format_time(old.deadline), format_time(new.deadline)
        lines.append(f"{label}: deadline {before} -> {after}")
    if old.phase != new.phase:
        reason = f" ({new.reason})" if new.reason else ""
        lines.append(f"{label}: {old.phase} -> {new.phase}{reason}")
    if old.share != new.share:
        lines.append(f"{label}: share {old.share:.0%} -> {new.share:.0%}")
    return lines


def describe_difference(old: Config, new: Config) -> list[str]:
    """Return the changes from one configuration to another, one line each."""
    lines = []
    if old.tenant != new.tenant:
        lines.append(f"tenant {old.tenant or '(none)'} -> {new.tenant or '(none)'}")
    for name, service in new.services_by_name.items():
        before = old.services_by_name.get(name)
        if before is not None:
            lines += _describe_service(before, service)
            continue
        routes = len(service.routes)
        lines.append(
            f"service {name} added: version {service.version}, routes {routes}"
        )
    lines += [
        f"service {name} removed"
        for name in old.services_by_name
        if name not in new.services_by_name
    ]
    for move_id, move in new.moves_by_id.items():
        before = old.moves_by_id.get(move_id)
        if before is not None:
            lines += _describe_move(before, move)
            continue
        lines.append(
            f"move {move_id} added: {move.service} {move.from_version} -> "
            f"{move.to_version} by {format_time(move.deadline)}"
        )
    lines += [
        f"move {move_id} dropped from the record"
        for move_id in old.moves_by_id
        if move_id not in new.moves_by_id
    ]
    return lines


def find_warnings(
    document: TextDocument,
    config: Config,
    announced_by_service: Mapping[str, Collection[str]],
) -> list[str]:
    """Return warnings about an edit that may be applied.

    Parameters
    ----------
    document : TextDocument
        The parsed text of the edit.
    config : Config
        The configuration that results from the edit.
    announced_by_service : mapping of str to collection of str
        Versions that workers announce.
    """
    warnings = find_non_idempotent_reads(document)
    for service in config.services_by_name.values():
        announced = announced_by_service.get(service.name, ())
        if service.version not in announced:
            warnings.append(f"no worker announces {service.name} {service.version} yet")
        move = config.get_open_move(service.name)
        if move is not None and move.to_version not in announced:
            warnings.append(
                f"no worker announces {service.name} {move.to_version} yet; "
                f"move {move.move_id} waits"
            )
    open_services = {move.service for move in config.get_open_moves()}
    warnings += [
        f"move of {listed.service} to {listed.to_version} has ended and has no effect; "
        "give it a new deadline to start it again"
        for listed in document.moves
        if listed.service not in open_services
        and config.services_by_name[listed.service].version != listed.to_version
    ]
    return warnings
