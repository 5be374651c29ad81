"""Publishes configuration texts that operators edited."""

from collections.abc import Awaitable, Callable, Collection, Mapping
from typing import Any
from uuid import uuid4

from attrs import define

from bamboocove.coordination.edits import PlannedEdit, StaleEdit, prepare_edit
from bamboocove.coordination.publishing import (
    PublishedConfig,
    publish,
    read_history,
    read_published,
)
from bamboocove.errors import ErrorKind, ErrorResult
from bamboocove.events import format_event
from bamboocove.protocol.rows import HistoryRecord
from bamboocove.protocol.text_source import TextProblem
from bamboocove.state.config import Config
from bamboocove.transport.admin_operations import TextConflict
from bamboocove.transport.platform import ObjectClient, TableClient

# An edit competes with the steps of moves, which publish a revision about once
# in 5 s; four conflicts in a row indicate another cause.
MAX_PUBLISH_ATTEMPTS = 4


EditResult = PlannedEdit | TextConflict | list[TextProblem] | ErrorResult


@define(eq=False)
class ConfigEditor:
    """Publishes an edited text as the next revision, retrying on conflicts.

    Parameters
    ----------
    table, objects : TableClient, ObjectClient
        Clients of the platform's table and object services.
    offer : callable
        Activates a published configuration and distributes it to the peers.
    get_announced : callable
        Returns the versions announced by workers, by service.
    run_blocking : callable
        Runs a function with arguments off the event loop and returns an
        awaitable of its result. Parsing the text of a large deployment on the
        event loop would delay calls.
    """

    table: TableClient
    objects: ObjectClient
    offer: Callable[[Config], object]
    get_announced: Callable[[], Mapping[str, Collection[str]]]
    run_blocking: Callable[..., Awaitable[Any]]

    async def apply(
        self, data: bytes, base: int, author: str, now: float
    ) -> EditResult:
        """Publish an edited text as the next revision.

        Parameters
        ----------
        data : bytes
            Encoded configuration text.
        base : int
            Text revision that the edit is based on.
        author : str
            Operator's name, which is stored in the history.
        now : float
            Unix time in seconds.

        Returns
        -------
        result : PlannedEdit, TextConflict, list of TextProblem or ErrorResult
            The published edit, or the reason why nothing was published.
            ``STORE_UNKNOWN`` means that the edit may have been published.
        """
        result: EditResult = ErrorResult(ErrorKind.CONFLICT, "no attempt was made")
        for _ in range(MAX_PUBLISH_ATTEMPTS):
            head = await read_published(self.table, self.objects)
            if isinstance(head, ErrorResult):
                return head
            result = await self._try_apply(head, data, base, author, now)
            if not _is_conflict(result):
                return result
        return result

    async def _try_apply(
        self, head: PublishedConfig, data: bytes, base: int, author: str, now: float
    ) -> EditResult:
        edit = await self.run_blocking(
            prepare_edit, head.config, data, base, now, self.get_announced()
        )
        if isinstance(edit, StaleEdit):
            latest_author = await self._find_author(edit.text_revision)
            return TextConflict(edit.text_revision, latest_author, edit.difference)
        if not isinstance(edit, PlannedEdit):
            return edit
        if edit.config is head.config:
            return edit
        return await self._publish(head, edit, author, now)

    async def _publish(
        self, head: PublishedConfig, edit: PlannedEdit, author: str, now: float
    ) -> PlannedEdit | ErrorResult:
        revision = edit.config.revision
        record = HistoryRecord(
            revision=revision,
            author=author,
            at=now,
            summary="; ".join(edit.difference),
            events=(
                format_event(701, author=author, revision=revision),
                *_format_move_events(head.config, edit.config),
            ),
        )
        published = await publish(
            self.table, self.objects, head, edit.config, record, uuid4().hex
        )
        if isinstance(published, ErrorResult):
            return published
        self.offer(published.config)
        return edit

    async def _find_author(self, text_revision: int) -> str:
        records = await read_history(self.table, text_revision - 1, 1)
        if isinstance(records, ErrorResult) or not records:
            return "unknown"
        return records[0].author


def _format_move_events(old: Config, new: Config) -> list[str]:
    """Return the log events of the moves that an edit adds or withdraws."""
    events = []
    for move_id, move in sorted(new.moves_by_id.items()):
        before = old.moves_by_id.get(move_id)
        if before is None:
            service, version = move.service, move.to_version
            events.append(
                format_event(501, move_id=move_id, service=service, version=version)
            )
        elif move.is_ended and not before.is_ended:
            events.append(format_event(505, move_id=move_id, reason=move.reason))
    return events


def _is_conflict(result: EditResult) -> bool:
    return isinstance(result, ErrorResult) and result.kind is ErrorKind.CONFLICT
