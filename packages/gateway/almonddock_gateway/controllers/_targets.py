"""Maintains the table of the targets listed in the store."""

from collections.abc import Callable, Iterator

from almonddock_core.model import AlmonddockError, Clock
from almonddock_core.routing import TargetEntry, TargetTable
from almonddock_gateway.settings import StoreKeys
from almonddock_gateway.store import StoreItem, StoreView
from almonddock_gateway.telemetry import Telemetry

#: Decodes the entry of a target, given its id and the stored bytes.
DecodeTarget = Callable[[str, bytes], TargetEntry]


class TargetController:
    """Keeps the target table consistent with the store."""

    def __init__(
        self,
        keys: StoreKeys,
        decode: DecodeTarget,
        table: TargetTable,
        clock: Clock,
        telemetry: Telemetry,
    ) -> None:
        #: Whether the targets were read from the store at least once.
        self.has_snapshot = False
        #: The revisions in the last batch of changes that rewrote an entry
        #: without changing it.
        self.confirmed: set[int] = set()
        self._prefix = keys.target_prefix
        self._decode = decode
        self._table = table
        self._clock = clock
        self._telemetry = telemetry
        self._unreadable: set[str] = set()

    def record_store_recovery(self) -> None:
        """Starts the period in which expired entries may return."""
        self._table.record_store_recovery(self._clock.now())

    def apply_snapshot(self, view: StoreView) -> None:
        """Replaces the known entries with those in the store."""
        entries = tuple(self._decode_all(view))
        changes = self._table.replace_all(entries, self._clock.now())
        self._telemetry.log_target_changes(changes, view.revision)
        self.has_snapshot = True

    def apply_changes(self, view: StoreView) -> None:
        """Applies added, changed and removed entries in order."""
        self.confirmed = set()
        for item in view.items:
            if item.key.startswith(self._prefix):
                self._apply_change(item)

    def drop_lapsed(self) -> None:
        """Removes targets whose expired entries did not return."""
        changes = self._table.drop_lapsed(self._clock.now())
        self._telemetry.log_target_changes(changes, 0)

    def _apply_change(self, item: StoreItem) -> None:
        now = self._clock.now()
        target_id = item.key.removeprefix(self._prefix)
        entry = self._decode_item(item)
        if entry is None:
            change = self._table.remove(target_id, now)
        else:
            if self._table.is_current(entry):
                self.confirmed.add(item.revision)
            change = self._table.put(entry, now)
        if change is not None:
            self._telemetry.log_target_changes((change,), item.revision)

    def _decode_all(self, view: StoreView) -> Iterator[TargetEntry]:
        for item in view.items:
            if item.key.startswith(self._prefix):
                entry = self._decode_item(item)
                if entry is not None:
                    yield entry

    def _decode_item(self, item: StoreItem) -> TargetEntry | None:
        if item.content is None:
            return None
        target_id = item.key.removeprefix(self._prefix)
        try:
            return self._decode(target_id, item.content)
        except AlmonddockError as fault:
            if target_id not in self._unreadable:
                self._unreadable.add(target_id)
                self._telemetry.log_event(
                    'target_unreadable',
                    target=target_id,
                    store_revision=item.revision,
                    reason=fault.message,
                )
        return None
