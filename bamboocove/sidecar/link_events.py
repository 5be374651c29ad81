"""What a node does when a link to another node opens, closes or falls silent."""

from typing import Any

from attrs import define

from bamboocove.protocol.mesh_messages import (
    Greeting,
    HostRecords,
    ReplyTerms,
    StateRequest,
    SuspectReport,
)
from bamboocove.state.codec import to_plain

# Shortest interval between requests for a configuration, in seconds.
CONFIG_REQUEST_INTERVAL_S = 0.5


@define(eq=False, slots=False)
class LinkEvents:
    """Handlers of the links of a node.

    Parameters
    ----------
    application : SidecarApplication
        The node.
    """

    application: Any
    _next_config_request_at: float = 0.0

    def make_greeting(self, is_dialled: bool) -> list[Any]:
        """Return the first messages on a link."""
        # Small, and without a request for state: after a restart of all nodes each
        # pair of them exchanges greetings.
        record = self.application.hosts.get_record()
        greeting = Greeting(record.host_id, record.incarnation)
        evacuation = self.application.evacuation.make_greeting()
        if not is_dialled:
            # The peer receives the record when this node dials it.
            return [greeting, *evacuation]
        return [greeting, ReplyTerms(), HostRecords([to_plain(record)]), *evacuation]

    def on_up(self, host_id: str) -> None:
        """Use a host again, and request the configuration if there is none yet."""
        application = self.application
        application.fleet.mark_reachable(host_id)
        now = application.clock.seconds()
        if not application.config.version and now >= self._next_config_request_at:
            # Lets a node that cannot reach the store serve once a peer has answered.
            self._next_config_request_at = now + CONFIG_REQUEST_INTERVAL_S
            application.hub.send(host_id, StateRequest(0))

    def on_down(self, host_id: str) -> None:
        """Place the requests at a host elsewhere, or fail them."""
        application = self.application
        now = application.clock.seconds()
        application.fleet.mark_unreachable(host_id, now)
        has_stopped = application.hub.has_stopped(host_id)
        application.outbound.on_host_lost(host_id, now, has_stopped)

    def on_ping_timeout(self, host_id: str) -> None:
        """Have the nodes of the zone probe a host that does not answer."""
        self.application.dissemination.broadcast_in_zone(SuspectReport(host_id))

    def on_suspect(self, host_id: str) -> None:
        """Send the idempotent requests at a silent host to other hosts, too."""
        now = self.application.clock.seconds()
        self.application.outbound.on_host_suspect(host_id, now)
