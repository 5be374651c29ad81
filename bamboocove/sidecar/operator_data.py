"""Applies configurations, orders, host records and rules to the tasks of a node."""

from typing import Any

from attrs import define

from bamboocove.coordination.regions import check_regions
from bamboocove.protocol.mesh_messages import HostRecords
from bamboocove.sidecar.logs import log
from bamboocove.sidecar.store import OperatorUpdate
from bamboocove.state.codec import to_plain
from bamboocove.state.mesh import HostRecord, MeshConfig, VersionRule
from bamboocove.transport.server_connection import IDLE_TIMEOUT_S


@define(eq=False, slots=False)
class OperatorData:
    """Puts the operator's data and the records of hosts in force at a node.

    Parameters
    ----------
    application : SidecarApplication
        The node.
    """

    application: Any

    def apply_update(self, update: OperatorUpdate) -> None:
        """Apply the configuration and the orders of one read of the store."""
        application = self.application
        application.store_restore.tick()
        # First, since a node serves as soon as it has a configuration.
        application.evacuation.apply_update(update)
        if update.config is not None:
            application.use_config(update.config, "store")
        now = application.clock.seconds()
        for order in update.orders:
            if application.moves.apply_order(order, now):
                message = application.moves.make_rules_message()
                application.dissemination.broadcast(message)
        # Only after the update was applied: an exception leaves the proof out.
        application.key_proofs.record_update(update)

    def use_config(self, config: MeshConfig, source: str) -> None:
        """Put a configuration in force if it is valid and newer than the present one.

        Parameters
        ----------
        config : MeshConfig
            The configuration.
        source : {"store", "peer"}
            Where it came from.
        """
        application = self.application
        before = application.config
        if config.version <= before.version:
            return
        error = check_regions(config, application.settings.regions_by_zone)
        if error is None:
            error = application.outbound.router.use_config(config)
        if error is not None:
            log("config.refused", version=config.version, reason=error.reason)
            return
        log(
            "config.applied",
            version=config.version,
            before=before.version,
            routes=len(config.routes_by_name),
            source=source,
        )
        if not before.version:
            application.outbound.router.configured_at = application.clock.seconds()
        application.config = config
        self._use_in_tasks(before, config)
        application.dissemination.propagate_config(before, config, source)
        application.lifecycle.serve()

    def _use_in_tasks(self, before: MeshConfig, config: MeshConfig) -> None:
        application = self.application
        if config.accounts_by_name != before.accounts_by_name:
            application.inbound.use_accounts(config.accounts_by_name)
        application.quotas.use_config(config)
        for server in application.servers:
            # Callers reuse connections for as long as the configuration says.
            server.idle_timeout_s = max(IDLE_TIMEOUT_S, config.idle_timeout_s)
        settings = application.settings
        application.inbound.use_services(
            config.services_by_name, settings.service, settings.bounds
        )

    def apply_hosts(self, records: list[HostRecord]) -> None:
        """Merge host records of the store; a reader passes on those that are new."""
        changed = self.application.hosts.merge_records(records)
        if changed:
            plain = [to_plain(record) for record in changed]
            self.forward_in_zone(HostRecords(plain))

    def forward_in_zone(self, message: Any) -> None:
        """Send a message to the nodes of the zone if this node is a reader."""
        dissemination = self.application.dissemination
        if dissemination.is_reader():
            dissemination.broadcast_in_zone(message)

    def apply_rules(self, rules: list[VersionRule]) -> None:
        """Apply version rules of the store."""
        now = self.application.clock.seconds()
        for rule in rules:
            self.application.moves.apply_rule(rule, True, now)
