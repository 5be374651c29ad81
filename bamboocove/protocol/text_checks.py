"""Checks on a parsed text: unknown references, dependency cycles, deadlines."""

from collections import deque
from collections.abc import Callable, Collection, Container, Iterable, Mapping

from bamboocove.protocol.text_document import Dependency, MoveEntry, TextDocument
from bamboocove.protocol.text_source import TextProblem
from bamboocove.protocol.text_values import format_time

Suggest = Callable[[str, Collection[str], str], str]
READ_METHODS = ("GET", "HEAD", "OPTIONS")
MAX_CHAIN_SHOWN = 10
ANY_ROUTE_SUFFIX = "/*"
# Edges by caller and target, each with the entry of the text that defines it.
CallGraph = dict[str, dict[str, Dependency | None]]


def _check_dependency(
    document: TextDocument, owner: str, dependency: Dependency, suggest: Suggest
) -> TextProblem | None:
    routes = document.names_seen.get(dependency.service)
    place = dependency.place
    if routes is None:
        return TextProblem(
            place.line,
            place.column,
            dependency.service,
            f"{owner} depends on unknown service {dependency.service!r}",
            suggest(
                dependency.service,
                document.names_seen,
                "add it or remove the dependency",
            ),
        )
    if dependency.route is not None and dependency.route not in routes:
        return TextProblem(
            place.line,
            place.column,
            dependency.word,
            f"{owner} depends on unknown route {dependency.word!r}",
            suggest(dependency.route, routes, "add it or remove the dependency"),
        )
    return None


def _iterate_dependencies(
    document: TextDocument,
) -> Iterable[tuple[str, tuple[Dependency, ...]]]:
    for service, dependencies in document.dependencies_by_service.items():
        yield service, dependencies
        for route, own in document.route_dependencies_by_service[service].items():
            yield f"{service}/{route}", own


def _build_call_graph(document: TextDocument) -> CallGraph:
    """Return the call graph of services and routes.

    A route with its own ``depends_on`` is a node ``service/route`` and calls
    exactly what it lists. The node ``service`` represents all other routes of
    the service, each of which may call whatever the service lists. The node
    ``service/*`` represents any route of the service as a target; it keeps the
    number of edges close to the number of words in the text.
    """
    graph: CallGraph = {}
    for service in document.dependencies_by_service:
        own = document.route_dependencies_by_service[service]
        routes = document.names_seen[service]
        nodes = [f"{service}/{route}" for route in own]
        if not routes or routes - set(own):
            nodes.insert(0, service)
        graph.update((node, {}) for node in nodes)
        graph[service + ANY_ROUTE_SUFFIX] = dict.fromkeys(nodes)
    for owner, dependencies in _iterate_dependencies(document):
        if owner not in graph:
            continue
        for dependency in dependencies:
            target = _find_target(document, dependency)
            if target in graph:
                graph[owner].setdefault(target, dependency)
    return graph


def _find_target(document: TextDocument, dependency: Dependency) -> str:
    if dependency.route is None:
        return dependency.service + ANY_ROUTE_SUFFIX
    own = document.route_dependencies_by_service.get(dependency.service, {})
    return dependency.word if dependency.route in own else dependency.service


def find_components(graph: Mapping[str, Iterable[str]]) -> list[list[str]]:
    """Return the strongly connected components of a directed graph.

    This is Tarjan's algorithm without recursion, so that a long chain does not
    exhaust the stack.

    Examples
    --------
    >>> find_components({"a": ["b"], "b": ["a"], "c": ["a"]})
    [['b', 'a'], ['c']]
    """
    index_by_node: dict[str, int] = {}
    low_link: dict[str, int] = {}
    stack: list[str] = []
    on_stack = set()
    components = []
    for root in graph:
        if root in index_by_node:
            continue
        work = [(root, iter(graph[root]))]
        index_by_node[root] = low_link[root] = len(index_by_node)
        stack.append(root)
        on_stack.add(root)
        while work:
            node, targets = work[-1]
            for target in targets:
                if target not in index_by_node:
                    index_by_node[target] = low_link[target] = len(index_by_node)
                    stack.append(target)
                    on_stack.add(target)
                    work.append((target, iter(graph[target])))
                    break
                if target in on_stack:
                    low_link[node] = min(low_link[node], index_by_node[target])
            else:
                work.pop()
                if work:
                    low_link[work[-1][0]] = min(low_link[work[-1][0]], low_link[node])
                if low_link[node] == index_by_node[node]:
                    component = []
                    while not component or component[-1] != node:
                        component.append(stack.pop())
                        on_stack.discard(component[-1])
                    components.append(component)
    return components


def _find_shortest_cycle(graph: CallGraph, start: str, members: set[str]) -> list[str]:
    """Return the shortest cycle through a node, found by breadth-first search."""
    previous: dict[str, str] = {}
    queue = deque([start])
    while queue:
        node = queue.popleft()
        for target in graph[node]:
            if target == start:
                chain = [node]
                while chain[-1] != start:
                    chain.append(previous[chain[-1]])
                return [*reversed(chain), start]
            if target in members and target not in previous:
                previous[target] = node
                queue.append(target)
    return [start, start]


def find_cycles(document: TextDocument) -> list[TextProblem]:
    """Report one dependency cycle for each strongly connected component.

    Services that only lead into a cycle are not reported.
    """
    graph = _build_call_graph(document)
    position_by_node = {node: number for number, node in enumerate(graph)}
    problems = []
    for component in find_components(graph):
        callers = [node for node in component if not node.endswith(ANY_ROUTE_SUFFIX)]
        if len(component) == 1 and component[0] not in graph[component[0]]:
            continue
        start = min(callers, key=position_by_node.__getitem__)
        chain = _find_shortest_cycle(graph, start, set(component))
        dependency = graph[chain[0]][chain[1]]
        shown = [node for node in chain if not node.endswith(ANY_ROUTE_SUFFIX)]
        if len(shown) > MAX_CHAIN_SHOWN:
            shown = [*shown[: MAX_CHAIN_SHOWN - 1], "...", shown[-1]]
        problems.append(
            TextProblem(
                dependency.place.line,
                dependency.place.column,
                dependency.word,
                f"call chain returns to its start: {' -> '.join(shown)}",
                "remove one of these dependencies, or give the routes that "
                "do not take part their own depends_on",
            )
        )
    return problems


def check_references(document: TextDocument, suggest: Suggest) -> list[TextProblem]:
    """Report unknown names in ``depends_on``, and dependency cycles."""
    problems = []
    for owner, dependencies in _iterate_dependencies(document):
        for dependency in dependencies:
            problem = _check_dependency(document, owner, dependency, suggest)
            if problem is not None:
                problems.append(problem)
    return problems + find_cycles(document)


def find_past_deadlines(
    moves: Iterable[MoveEntry], now: float, ended_ids: Container[str] = ()
) -> list[TextProblem]:
    """Report deadlines in the past, except those of moves that have ended.

    Parameters
    ----------
    moves : iterable of MoveEntry
        Moves of a text.
    now : float
        Current Unix time in seconds.
    ended_ids : container of str
        Identifiers of ended moves, which the text may still contain.
    """
    return [
        TextProblem(
            move.by_place.line,
            move.by_place.column,
            format_time(move.deadline),
            f"deadline {format_time(move.deadline)} of {move.service} is in the past",
            "write a later time, or remove the move",
        )
        for move in moves
        if move.deadline <= now and move.move_id not in ended_ids
    ]


def find_non_idempotent_reads(document: TextDocument) -> list[str]:
    """Return a warning for each route whose read methods need an idempotency key."""
    return [
        f"route {service.name}/{route.name} is not idempotent, so its "
        f"{' and '.join(reads)} calls need Idempotency-Key; "
        "give them a route of their own or write idempotent: true"
        for service in document.services_by_name.values()
        for route in service.routes
        if not route.idempotent
        and (reads := [method for method in route.methods if method in READ_METHODS])
    ]
