"""Publishing of operators' edits."""

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

# An edit competes with the steps of moves, which change the head about once
# in 5 s; four lost races in a row point at another cause.
PUBLISH_ATTEMPTS = 4


EditResult = PlannedEdit | TextConflict | list[TextProblem] | ErrorResult


@define(eq=False)
class Editor:
    """Publishes operators' edits.

    Parameters
    ----------
    table, objects : TableClient, ObjectClient
        The platform.
    offer : callable
        Puts a published configuration in force and spreads it.
    get_announced : callable
        Returns the versions that workers announce, by service.
    run_blocking : callable
        Runs a function with arguments and returns an awaitable of its result;
        a text of a large deployment takes long enough to parse to delay calls.
    """

    table: TableClient
    objects: ObjectClient
    offer: Callable[[Config], object]
    get_announced: Callable[[], Mapping[str, Collection[str]]]
    run_blocking: Callable[..., Awaitable[Any]]

    async def apply(
        self, data: bytes, base: int, author: str, now: float
    ) -> EditResult:
        """Publish an edit as the next revision.

        Parameters
        ----------
        data : bytes
            The text.
        base : int
            Text revision that the operator edited.
        author : str
            Who asks.
        now : float
            Unix time in seconds.

        Returns
        -------
        result : PlannedEdit, TextConflict, list of TextProblem or ErrorResult
            What was published, or why nothing was. ``STORE_UNKNOWN`` if the
            edit may have been published.
        """
        result: EditResult = ErrorResult(ErrorKind.CONFLICT, "no attempt was made")
        for _ in range(PUBLISH_ATTEMPTS):
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
            winner = await self._find_author(edit.text_revision)
            return TextConflict(edit.text_revision, winner, edit.difference)
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
                *_describe_moves(head.config, edit.config),
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


def _describe_moves(old: Config, new: Config) -> list[str]:
    """Return the events of moves that an edit adds or withdraws."""
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
