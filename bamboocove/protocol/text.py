"""Parser of the operators' text, the YAML file that describes a deployment."""

from collections.abc import Callable
from typing import Any

import yaml

from bamboocove.protocol.text_checks import check_references
from bamboocove.protocol.text_document import (
    Dependency,
    MoveEntry,
    Place,
    TextDocument,
)
from bamboocove.protocol.text_reader import NULL_TAG, Reader
from bamboocove.protocol.text_source import TextProblem, compose_text, shorten
from bamboocove.protocol.text_values import (
    IDEMPOTENT_METHODS,
    InvalidValue,
    check_method,
    check_name,
    check_path,
    check_version,
    parse_duration,
    parse_timestamp,
)
from bamboocove.state.config import REQUEST_CLASSES, Route, Service

# Bounds the report on a generated text that is wrong at every line. More
# problems than this would not be read.
MAX_PROBLEMS = 200


def _get_place(node: yaml.Node) -> Place:
    return Place(node.start_mark.line + 1, node.start_mark.column + 1)


def _parse_bool(word: str) -> bool | InvalidValue:
    if word not in ("true", "false"):
        return InvalidValue(
            f"{shorten(word)!r} is neither true nor false", "write true or false"
        )
    return word == "true"


def _make_class_check(reader: Reader) -> Callable[[str], str | InvalidValue]:
    def check_class(word: str) -> str | InvalidValue:
        if word in REQUEST_CLASSES:
            return word
        default_remedy = f"use one of {', '.join(REQUEST_CLASSES)}"
        remedy = reader.suggest(word, REQUEST_CLASSES, default_remedy)
        return InvalidValue(f"{shorten(word)!r} is not a request class", remedy)

    return check_class


def _read_methods(reader: Reader, node: yaml.Node, label: str) -> tuple[str, ...]:
    methods = []
    for item in reader.read_list(node, f"methods of {label}"):
        method = reader.read_scalar(item, "method", check_method)
        if method in methods:
            reader.add_problem(item, f"method {method} is listed twice", "remove one")
        elif method is not None:
            methods.append(method)
    if isinstance(node, yaml.SequenceNode) and not node.value:
        reader.add_problem(
            node, f"{label} has no methods", "list at least one, as [GET]"
        )
    return tuple(methods)


def _check_dependency(word: str) -> str | InvalidValue:
    service, slash, route = word.partition("/")
    for name in (service, route) if slash else (service,):
        checked = check_name(name)
        if isinstance(checked, InvalidValue):
            return checked
    return word


def _read_dependencies(
    reader: Reader, node: yaml.Node, label: str, check: Callable[[str], Any]
) -> tuple[Dependency, ...]:
    dependencies = []
    seen = set()
    for item in reader.read_list(node, f"depends_on of {label}"):
        word = reader.read_scalar(item, "dependency", check)
        if word is None:
            continue
        if word in seen:
            reader.add_problem(item, f"{label} lists {word} twice", "remove one")
            continue
        seen.add(word)
        service, _, route = word.partition("/")
        dependencies.append(Dependency(service, route or None, _get_place(item)))
    return tuple(dependencies)


_ROUTE_FIELDS = ("path", "methods", "class", "idempotent", "timeout", "depends_on")


def _read_route(
    reader: Reader, service: str, key: yaml.ScalarNode, node: yaml.Node
) -> tuple[Route, tuple[Dependency, ...] | None] | None:
    name = reader.read_scalar(key, "route", check_name)
    label = f"route {service}/{name or '?'}"
    fields = reader.read_fields(node, label, _ROUTE_FIELDS, required=1)
    values = {}
    if "methods" in fields:
        values["methods"] = _read_methods(reader, fields["methods"], label)
    methods = values.get("methods", ("GET",))
    values["idempotent"] = all(method in IDEMPOTENT_METHODS for method in methods)
    for word, attribute, check in (
        ("path", "path", check_path),
        ("class", "request_class", _make_class_check(reader)),
        ("idempotent", "idempotent", _parse_bool),
        ("timeout", "timeout_s", parse_duration),
    ):
        if word in fields:
            value = reader.read_scalar(fields[word], word, check)
            if value is not None:
                values[attribute] = value
    dependencies = None
    if "depends_on" in fields:
        dependencies = _read_dependencies(
            reader, fields["depends_on"], label, _check_dependency
        )
    if name is None or "path" not in values or not methods:
        return None
    return Route(name=name, **values), dependencies


def _check_overlaps(
    reader: Reader, service: str, placed_routes: list[tuple[yaml.Node, Route]]
) -> None:
    """Report routes of one service that share both a method and a path."""
    owners = {}
    for key, route in placed_routes:
        for method in route.methods:
            other = owners.setdefault((route.path, method), route.name)
            if other != route.name:
                message = (
                    f"routes {other} and {route.name} of {service} both match "
                    f"{method} {route.path}"
                )
                reader.add_problem(key, message, "give them different paths or methods")
                break


_SERVICE_FIELDS = ("version", "depends_on", "routes")


def _read_service(
    reader: Reader, document: TextDocument, key: yaml.ScalarNode, node: yaml.Node
) -> None:
    name = reader.read_scalar(key, "service", check_name)
    label = f"service {name or '?'}"
    fields = reader.read_fields(node, label, _SERVICE_FIELDS, required=1)
    version = None
    if "version" in fields:
        version = reader.read_scalar(fields["version"], "version", check_version)
        document.version_places_by_service[name or ""] = _get_place(fields["version"])
    dependencies = ()
    if "depends_on" in fields:
        dependencies = _read_dependencies(
            reader, fields["depends_on"], label, check_name
        )
    placed_routes = []
    route_dependencies = {}
    pairs = ()
    if "routes" in fields:
        pairs = reader.read_pairs(fields["routes"], f"routes of {name or '?'}")
    for route_key, route_node in pairs:
        read = _read_route(reader, name or "?", route_key, route_node)
        if read is None:
            continue
        placed_routes.append((route_key, read[0]))
        if read[1] is not None:
            route_dependencies[read[0].name] = read[1]
    _check_overlaps(reader, name or "?", placed_routes)
    if name is None:
        return
    document.names_seen[name] = frozenset(
        route_key.value
        for route_key, _ in getattr(fields.get("routes"), "value", ())
        if isinstance(route_key, yaml.ScalarNode)
    )
    document.places_by_service[name] = _get_place(key)
    document.dependencies_by_service[name] = dependencies
    document.route_dependencies_by_service[name] = route_dependencies
    listed = (*dependencies, *(d for ds in route_dependencies.values() for d in ds))
    targets = dict.fromkeys(dependency.service for dependency in listed)
    targets.pop(name, None)
    document.services_by_name[name] = Service(
        name=name,
        version=version or "",
        depends_on=tuple(targets),
        routes=tuple(route for _, route in placed_routes),
    )


_MOVE_FIELDS = ("service", "to", "by")


def _read_move(
    reader: Reader, document: TextDocument, number: int, node: yaml.Node
) -> None:
    fields = reader.read_fields(node, f"move {number}", _MOVE_FIELDS, required=3)
    values = {}
    for word, check in (
        ("service", check_name),
        ("to", check_version),
        ("by", parse_timestamp),
    ):
        if word in fields:
            values[word] = reader.read_scalar(fields[word], word, check)
    service, to_version = values.get("service"), values.get("to")
    if service is not None:
        _check_move_service(reader, document, fields["service"], service)
    known = document.services_by_name.get(service)
    if known is not None and to_version is not None and known.version == to_version:
        message = f"move of {service} to {to_version}, the version it already has"
        reader.add_problem(
            fields["to"], message, "remove the move or name a new version"
        )
    if len(values) < 3 or None in values.values():
        return
    move = MoveEntry(
        service,
        to_version,
        values["by"],
        _get_place(fields["service"]),
        _get_place(fields["to"]),
        _get_place(fields["by"]),
    )
    other = document.moves_by_id.setdefault(move.move_id, move)
    if other.service != service:
        message = f"moves of {other.service} and {service} share {move.move_id}"
        remedy = "change the deadline of one by a minute"
        reader.add_problem(fields["by"], message, remedy)
    document.moves.append(move)


def _check_move_service(
    reader: Reader, document: TextDocument, node: yaml.Node, service: str
) -> None:
    if service not in document.names_seen:
        remedy = reader.suggest(
            service, document.names_seen, "add it under services or remove the move"
        )
        reader.add_problem(node, f"move of unknown service {service!r}", remedy)
    first = document.move_places_by_service.setdefault(service, _get_place(node))
    if first != _get_place(node):
        message = f"a second move of {service}; the first is at line {first.line}"
        reader.add_problem(node, message, "keep one of them")


def _read_document(reader: Reader, root: yaml.MappingNode) -> TextDocument:
    document = TextDocument()
    known = ("tenant", "services", "moves")
    fields = reader.read_fields(root, "the text", known, required=2)
    if "tenant" in fields:
        document.tenant = (
            reader.read_scalar(fields["tenant"], "tenant", check_name) or ""
        )
        document.tenant_place = _get_place(fields["tenant"])
    if "services" in fields:
        node = fields["services"]
        document.services_place = _get_place(node)
        for key, value in reader.read_pairs(node, "services"):
            _read_service(reader, document, key, value)
        if isinstance(node, yaml.MappingNode) and not node.value:
            reader.add_problem(node, "services is empty", "add at least one service")
    moves = fields.get("moves")
    if moves is not None and moves.tag != NULL_TAG:
        for number, node in enumerate(reader.read_list(moves, "moves"), start=1):
            _read_move(reader, document, number, node)
    reader.problems += check_references(document, reader.suggest)
    return document


def parse_text(data: bytes) -> TextDocument | list[TextProblem]:
    """Parse and validate the operators' text.

    Parameters
    ----------
    data : bytes
        The text, at most 4 MiB of UTF-8.

    Returns
    -------
    document : TextDocument or list of TextProblem
        The document, or all problems sorted by position. Deadlines in the past
        are not reported here, because a text may keep a move that has ended.
    """
    root = compose_text(data)
    if isinstance(root, TextProblem):
        return [root]
    reader = Reader()
    document = _read_document(reader, root)
    if not reader.problems:
        return document
    problems = sorted(
        reader.problems, key=lambda problem: (problem.line, problem.column)
    )
    if len(problems) > MAX_PROBLEMS:
        omitted = len(problems) - MAX_PROBLEMS
        problems = problems[:MAX_PROBLEMS]
        last = problems[-1]
        problems.append(
            TextProblem(
                last.line,
                last.column,
                "",
                f"{omitted} more problems follow",
                "correct the ones above and check again",
            )
        )
    return problems
