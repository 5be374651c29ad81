"""What the operators' text says, with the places of its words."""

from attrs import define, field, frozen

from bamboocove.protocol.text_values import make_move_id
from bamboocove.state.config import Service


@frozen
class Place:
    """Line and column of a word, both counted from 1."""

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
        Route that is called; None for any.
    place : Place
        Where it stands.
    """

    service: str
    route: str | None
    place: Place

    @property
    def word(self) -> str:
        """The entry as the text has it."""
        return self.service if self.route is None else f"{self.service}/{self.route}"


@frozen
class ListedMove:
    """One entry of ``moves``.

    Parameters
    ----------
    service, to_version : str
        What moves.
    deadline : float
        Unix time in seconds.
    service_place, to_place, by_place : Place
        Where the words stand.
    """

    service: str
    to_version: str
    deadline: float
    service_place: Place = Place()
    to_place: Place = Place()
    by_place: Place = Place()

    @property
    def move_id(self) -> str:
        """Identifier of the move that this entry asks for."""
        return make_move_id(self.service, self.to_version, self.deadline)


@define
class TextDocument:
    """A text without problems.

    Parameters
    ----------
    tenant : str
        Organisation that runs the deployment.
    services_by_name : dict of str to Service
        Services in the order of the text. ``depends_on`` holds what the
        service and its routes depend on, without the service itself.
    moves : list of ListedMove
        Moves in the order of the text, at most one of each service.
    dependencies_by_service : dict of str to tuple of Dependency
        What a service depends on as a whole.
    route_dependencies_by_service : dict of str to dict
        The entries of each route that has a list of its own, by route.
    tenant_place, services_place : Place
        Where the tenant and the services stand.
    places_by_service, version_places_by_service : dict of str to Place
        Where the names and versions stand.
    names_seen : dict of str to frozenset of str
        Names of all services and their routes, those with problems included.
    move_places_by_service : dict of str to Place
        Where the first move of each service stands.
    moves_by_id : dict of str to ListedMove
        First move of each identifier.
    """

    tenant: str = ""
    services_by_name: dict[str, Service] = field(factory=dict)
    moves: list[ListedMove] = field(factory=list)
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
    moves_by_id: dict[str, ListedMove] = field(factory=dict)
