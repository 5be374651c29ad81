"""Parsed form of the operators' text, with source positions."""

from attrs import define, field, frozen

from bamboocove.protocol.text_values import make_move_id
from bamboocove.state.config import Service


@frozen
class Place:
    """Source position: line and column of a word, both counted from 1."""

    line: int = 1
    column: int = 1


@frozen
class Dependency:
    """One entry of a ``depends_on`` list.

    Parameters
    ----------
    service : str
        Service that is called.
    route : str or None
        Route that is called; None for any route.
    place : Place
        Position of the entry.
    """

    service: str
    route: str | None
    place: Place

    @property
    def word(self) -> str:
        """The entry as written in the text."""
        return self.service if self.route is None else f"{self.service}/{self.route}"


@frozen
class MoveEntry:
    """One entry of ``moves``.

    Parameters
    ----------
    service, to_version : str
        Service to move, and its target version.
    deadline : float
        Unix time in seconds by which all traffic must reach the version.
    service_place, to_place, by_place : Place
        Positions of the values of ``service``, ``to`` and ``by``.
    """

    service: str
    to_version: str
    deadline: float
    service_place: Place = Place()
    to_place: Place = Place()
    by_place: Place = Place()

    @property
    def move_id(self) -> str:
        """Identifier of the move that this entry requests."""
        return make_move_id(self.service, self.to_version, self.deadline)


@define
class TextDocument:
    """Parsed content of the operators' text.

    Parameters
    ----------
    tenant : str
        Organisation that runs the deployment.
    services_by_name : dict of str to Service
        Services in the order of the text. ``depends_on`` holds what the
        service and its routes depend on, without the service itself.
    moves : list of MoveEntry
        Moves in the order of the text, at most one for each service.
    dependencies_by_service : dict of str to tuple of Dependency
        Entries of the ``depends_on`` list of each service itself.
    route_dependencies_by_service : dict of str to dict
        For each service, the entries of its routes that have their own
        ``depends_on`` list, by route.
    tenant_place, services_place : Place
        Positions of the tenant and of the services mapping.
    places_by_service, version_places_by_service : dict of str to Place
        Positions of the names and versions of services.
    names_seen : dict of str to frozenset of str
        Route names by service name, including those with problems.
    move_places_by_service : dict of str to Place
        Position of the first move of each service.
    moves_by_id : dict of str to MoveEntry
        First move with each identifier.
    """

    tenant: str = ""
    services_by_name: dict[str, Service] = field(factory=dict)
    moves: list[MoveEntry] = field(factory=list)
    dependencies_by_service: dict[str, tuple[Dependency, ...]] = field(factory=dict)
    route_dependencies_by_service: dict[str, dict[str, tuple[Dependency, ...]]] = field(
        factory=dict
    )
    tenant_place: Place = Place()
    services_place: Place = Place()
    places_by_service: dict[str, Place] = field(factory=dict)
    version_places_by_service: dict[str, Place] = field(factory=dict)
    names_seen: dict[str, frozenset[str]] = field(factory=dict)
    move_places_by_service: dict[str, Place] = field(factory=dict)
    moves_by_id: dict[str, MoveEntry] = field(factory=dict)
