"""Applies the configuration and the list of drained data centres."""

from collections.abc import Callable
from datetime import timedelta

from almonddock_core.dispatch import DispatchContext
from almonddock_core.model import AlmonddockError, Clock, get_era
from almonddock_core.routing import RoutingTable
from almonddock_gateway.entry import EntryState
from almonddock_gateway.settings import StoreKeys
from almonddock_gateway.store import StoreItem, StoreView
from almonddock_gateway.telemetry import Telemetry

#: How long a data centre stays drained that a restored store does not list,
#: unless its removal is written, and how long a lower version in it proves
#: nothing: longer than operators take to repeat what was lost.
REPEAT_PERIOD_S = 60
REPEAT_PERIOD = timedelta(seconds=REPEAT_PERIOD_S)

#: Decodes the configuration that operators write.
DecodeTable = Callable[[bytes], RoutingTable]


class ConfigurationController:
    """Puts each newer configuration in force, never an older one."""

    def __init__(
        self,
        keys: StoreKeys,
        decode: DecodeTable,
        state: EntryState,
        context: DispatchContext,
        clock: Clock,
        telemetry: Telemetry,
    ) -> None:
        self._keys = keys
        self._decode = decode
        self._state = state
        self._context = context
        self._clock = clock
        self._telemetry = telemetry
        # The era of the last snapshot, and until when operators may repeat what
        # the store lost before it.
        self._era = 0
        self._repeat_until = timedelta()
        # The drained data centres that a restored store lacks, and until when
        # they are believed.
        self._unconfirmed: dict[str, timedelta] = {}
        # The revision of the store with the last configuration read.
        self._revision = 0
        # The revision of the last one that was put away.
        self._put_away = 0
        # The last revision that was read with the one in force.
        self._confirmed = 0
        #: Whether that could be read.
        self.is_readable = True

    def apply_snapshot(self, view: StoreView) -> None:
        """Applies the configuration and the drained data centres."""
        drained = frozenset(
            name
            for item in view.items
            if (name := self._parse_drained_name(item))
        )
        self._keep_drained(drained, get_era(view.revision))
        self._set_drained(drained.union(self._unconfirmed), view.revision)
        for item in view.items:
            self._apply_configuration(item)

    def apply_changes(self, view: StoreView) -> None:
        """Applies changes in the order in which they were made."""
        for item in view.items:
            self._apply_configuration(item)
            name = self._parse_drained_name(item)
            if not name:
                continue
            drained = self._context.targets.drained
            self._unconfirmed.pop(name, None)
            if item.content is None:
                drained -= {name}
            else:
                drained |= {name}
            self._set_drained(drained, item.revision)
        self._drop_unconfirmed(view.revision)

    def is_newest(self, view: StoreView) -> bool:
        """Whether a view shows that no newer configuration is in force.

        It does not if the one in force was not read in its era: the store has
        lost that version, and may have lost later ones with it. Operators write
        them again; after the time for that the store is believed.
        """
        if not self.is_readable or view.has_more:
            return False
        era = get_era(view.revision)
        if self._state.table is None or era == get_era(self._confirmed):
            return True
        return era == self._era and self._clock.now() >= self._repeat_until

    def _keep_drained(self, drained: frozenset[str], era: int) -> None:
        """Keeps what a snapshot of a later era lacks.

        The store may have lost the operator's request, who repeats it.
        """
        if era > self._era:
            self._repeat_until = self._clock.now() + REPEAT_PERIOD
            before = self._context.targets.drained
            known = dict.fromkeys(before, self._repeat_until)
            self._unconfirmed = known | self._unconfirmed
        self._era = era
        for name in drained:
            self._unconfirmed.pop(name, None)

    def _drop_unconfirmed(self, revision: int) -> None:
        """Serves data centres again whose request was not repeated."""
        now = self._clock.now()
        lapsed = {
            name for name, until in self._unconfirmed.items() if now >= until
        }
        for name in lapsed:
            self._unconfirmed.pop(name)
        self._set_drained(self._context.targets.drained - lapsed, revision)

    def _parse_drained_name(self, item: StoreItem) -> str:
        prefix = self._keys.drained_prefix
        if not item.key.startswith(prefix):
            return ''
        return item.key.removeprefix(prefix)

    def _set_drained(self, drained: frozenset[str], revision: int) -> None:
        before = self._context.targets.drained
        if drained == before:
            return
        self._context.targets.drained = drained
        self._telemetry.log_event(
            'data_centres_drained',
            drained=sorted(drained),
            before=sorted(before),
            store_revision=revision,
        )

    def _apply_configuration(self, item: StoreItem) -> None:
        if item.key != self._keys.configuration or item.content is None:
            return
        if item.revision == self._revision:
            self._log_put_away(item, None)
            return
        before = self._state.table
        try:
            table = self._decode(item.content)
        except AlmonddockError as fault:
            self._note_read(item, is_readable=False)
            self._telemetry.log_event(
                'configuration_unreadable',
                store_revision=item.revision,
                reason=fault.message,
                in_force=before.version if before else None,
            )
            return
        if before is None or self._replaces(table, item.revision, before):
            self._put_in_force(table, item.revision)
        elif table == before:
            self._confirmed = max(item.revision, self._confirmed)
        else:
            self._log_put_away(item, table.version)
        self._note_read(item, is_readable=True)

    def _replaces(
        self, table: RoutingTable, revision: int, before: RoutingTable
    ) -> bool:
        """Whether a configuration is newer than the one in force.

        The operator may give the number of a version that the store has lost
        to another one.
        """
        if table.version != before.version:
            return table.version > before.version
        is_later = get_era(revision) > get_era(self._confirmed)
        return is_later and table != before

    def _log_put_away(self, item: StoreItem, version: int | None) -> None:
        """Logs once that a configuration changes nothing here, and why.

        ``version`` is None if it was not decoded, because a configuration of
        the same revision was.
        """
        if item.revision == self._put_away:
            return
        self._put_away = item.revision
        in_force = self._state.table
        self._telemetry.log_event(
            'configuration_put_away',
            version=version,
            in_force=in_force.version if in_force else None,
            store_revision=item.revision,
            reason='same revision' if version is None else 'not newer',
        )

    def _note_read(self, item: StoreItem, *, is_readable: bool) -> None:
        if item.revision >= self._revision:
            self._revision = item.revision
            self.is_readable = is_readable

    def _put_in_force(self, table: RoutingTable, revision: int) -> None:
        before = self._state.table
        self._state.table = table
        self._confirmed = revision
        self._context.apply_configuration(table)
        self._telemetry.log_event(
            'configuration_in_force',
            version=table.version,
            before=before.version if before else None,
            routes=sum(len(found) for found in table.routes.values()),
            store_revision=revision,
        )
