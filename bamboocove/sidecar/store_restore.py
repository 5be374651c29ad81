"""What a node does after the platform's store was restored from a copy.

The store then lacks the latest rows. Each node writes its own record again. The nodes
that read the store also write the version rules, and the records of stopped hosts of
their zone, which nobody else would write.
"""

from typing import Any

from attrs import define

from bamboocove.errors import ErrorResult
from bamboocove.events import run_logged
from bamboocove.protocol.control_messages import StoreEraNotice
from bamboocove.sidecar.logs import log
from bamboocove.state.mesh import HostRecord, VersionRule

# Time over which the readers spread their check of the restored rows, in seconds.
CHECK_SPREAD_S = 1.0
# Delay of a second check, in seconds. A write that was sent before the restore, with a
# version that was issued again, may replace a newer row until then: the time limits of
# a call add up to 11.5 s.
SECOND_CHECK_DELAY_S = 12.0
RETRY_DELAY_S = 0.5


@define(eq=False, slots=False)
class StoreRestore:
    """Follows the era of the store, and writes lost rows again in a new one.

    Parameters
    ----------
    application : SidecarApplication
        The node.
    era : int or None
        Newest known era; None until it is known.
    """

    application: Any
    era: int | None = None

    def tick(self) -> None:
        """Observe the era that the answers of the store have named."""
        era = self.application.store.era
        if era is not None:
            self.observe(era, "store")

    def take_notice(self, notice: StoreEraNotice) -> None:
        """Observe the era that another node has read."""
        era = notice.store_era
        if isinstance(era, int) and not isinstance(era, bool) and era >= 0:
            self.observe(era, "peer")

    def make_notice(self) -> StoreEraNotice | None:
        """Return a message with the era; None while the store was never restored."""
        return StoreEraNotice(self.era) if self.era else None

    def observe(self, era: int, source: str) -> None:
        """Write lost rows again if the era is higher than the known one.

        Parameters
        ----------
        era : int
            Era of the store.
        source : {"store", "peer"}
            Where it came from.
        """
        before = self.era
        if before is not None and era <= before:
            return
        self.era = era
        application = self.application
        application.store.learn_era(era)
        if before is None:
            return
        log("store.era-changed", era=era, before=before, source=source)
        application.watch.write_again()
        if not application.watch.is_reading:
            return
        application.dissemination.broadcast(StoreEraNotice(era))
        first_s = CHECK_SPREAD_S * application.random.random()
        second_s = first_s + SECOND_CHECK_DELAY_S
        for delay_s, is_last in ((first_s, False), (second_s, True)):
            application.clock.callLater(delay_s, self._start_check, era, is_last)

    def _start_check(self, era: int, is_last: bool) -> None:
        application = self.application
        is_reading = application.watch.is_reading and not application.is_draining
        if era == self.era and is_reading:
            run_logged(self._check(era, is_last))

    async def _check(self, era: int, is_last: bool) -> None:
        application = self.application
        rules = await application.store.read_rules()
        records = await application.store.read_hosts()
        if isinstance(rules, ErrorResult) or isinstance(records, ErrorResult):
            delay_s = RETRY_DELAY_S * (1.0 + application.random.random())
            application.clock.callLater(delay_s, self._start_check, era, is_last)
            return
        services = self._restore_rules(rules)
        hosts = await self._restore_records(records, is_last)
        if services or hosts:
            log("store.records-restored", services=services, hosts=hosts)

    def _restore_rules(self, rules: list[VersionRule]) -> list[str]:
        """Have the rules written that the store lacks; return their services."""
        application = self.application
        for rule in rules:
            application.moves.apply_rule(rule, True, application.clock.seconds())
        return application.rule_table.forget_unstored(rules)

    async def _restore_records(
        self, stored: list[HostRecord], includes_running: bool
    ) -> list[str]:
        """Write the newer records of stopped hosts, or of all; return these hosts."""
        application = self.application
        age_keys_by_id = {record.host_id: record.age_key for record in stored}
        restored = []
        for record in list(application.fleet.records_by_id.values()):
            if (
                record.zone != application.settings.zone
                or (
                    application.fleet.is_reachable(record.host_id)
                    and not includes_running
                )
                or age_keys_by_id.get(record.host_id, (-1, -1)) >= record.age_key
            ):
                continue
            result = await application.store.write_host(record)
            if isinstance(result, HostRecord) and result.age_key < record.age_key:
                # It is that of an earlier process, and its revision is known now.
                result = await application.store.write_host(record)
            if isinstance(result, int):
                restored.append(record.host_id)
        return restored
