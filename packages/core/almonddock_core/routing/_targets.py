"""What a host knows of the targets, from their entries in the store."""

import enum
from collections.abc import Iterable
from dataclasses import dataclass, field
from datetime import timedelta

from almonddock_core.placement import TargetHealth

#: How long after the store's return a lapsed entry may still come back
#: (users' letter 2: within about two seconds).
LAPSE_RETURN_S = 2.2
LAPSE_RETURN = timedelta(seconds=LAPSE_RETURN_S)

#: Removals seen so soon after the store's return may be lapses.
LAPSE_WINDOW = timedelta(seconds=2)


class TargetState(enum.Enum):
    """What a target says of itself."""

    READY = 'ready'
    DRAINING = 'draining'


@dataclass(frozen=True, slots=True)
class TargetEntry:
    """What one target last said of itself in the store."""

    target_id: str
    service: str
    #: IP address and port.
    host: str
    port: int
    data_centre: str
    #: Requests that the target works on at once.
    slots: int
    state: TargetState
    #: How much longer the target stays cold after this entry was written.
    cold_for: timedelta
    #: The start of this incarnation in Unix milliseconds; None if not said.
    born: int | None


@dataclass(slots=True)
class KnownTarget:
    """One incarnation of a target with what replies have shown of it."""

    entry: TargetEntry
    health: TargetHealth
    #: When the target stops being cold.
    cold_until: timedelta
    #: Set while a removed entry may be a lapse that is about to return.
    lapse_ends: timedelta | None = None
    #: Whether the target was warm before it turned cold.
    was_warm: bool = False
    #: Set once another target answered at this address.
    replaced: bool = False
    #: Set once the table no longer lists the target.
    dropped: bool = False

    def is_usable(self, now: timedelta) -> bool:
        """Whether new work may be sent to the target."""
        if self.replaced or self.entry.state is not TargetState.READY:
            return False
        return self.lapse_ends is None or now < self.lapse_ends


@dataclass(frozen=True, slots=True)
class TargetChange:
    """A change of belief about one target, for the log."""

    target_id: str
    service: str
    change: str


@dataclass(slots=True)
class TargetTable:
    """Targets by service, kept from entries and their removal."""

    #: Data centres that get no new work.
    drained: frozenset[str] = frozenset()
    _targets: dict[str, KnownTarget] = field(default_factory=dict)
    _services: dict[str, list[KnownTarget]] = field(default_factory=dict)
    _store_back: timedelta | None = None

    def __len__(self) -> int:
        """The number of targets known."""
        return len(self._targets)

    def list_all(self) -> list[KnownTarget]:
        """Returns every target, usable or not."""
        return list(self._targets.values())

    def knows(self, entry: TargetEntry) -> bool:
        """Whether an entry says nothing new."""
        known = self._targets.get(entry.target_id)
        if known is None or known.lapse_ends is not None:
            return False
        return known.entry == entry

    def find_usable(
        self,
        target_id: str,
        now: timedelta,
    ) -> KnownTarget | None:
        """Returns a target that may get new work, by its id."""
        target = self._targets.get(target_id)
        if target is None or not target.is_usable(now):
            return None
        drained = target.entry.data_centre in self.drained
        return None if drained else target

    def list_usable(self, service: str, now: timedelta) -> list[KnownTarget]:
        """Returns the targets of a service that may get new work."""
        return [
            target
            for target in self._services.get(service, ())
            if target.is_usable(now)
            and target.entry.data_centre not in self.drained
        ]

    def note_store_back(self, now: timedelta) -> None:
        """Notes that the store answers again after an outage."""
        self._store_back = now

    def put(self, entry: TargetEntry, now: timedelta) -> TargetChange | None:
        """Takes an entry; returns what changed, if anything did."""
        known = self._targets.get(entry.target_id)
        if known is None or _is_restarted(known.entry, entry):
            return self._add(entry, now)
        known.lapse_ends = None
        before = known.entry
        if before == entry:
            return None
        if before.service != entry.service or _is_moved(before, entry):
            return self._add(entry, now)
        known.entry = entry
        if known.cold_until <= now < now + entry.cold_for:
            known.was_warm = True
        known.cold_until = max(known.cold_until, now + entry.cold_for)
        if before.state is entry.state:
            return None
        return _describe(entry, entry.state.value)

    def remove(self, target_id: str, now: timedelta) -> TargetChange | None:
        """Takes the removal of an entry, which may be a lapse."""
        known = self._targets.get(target_id)
        if known is None:
            return None
        if self._may_be_lapse(now):
            if known.lapse_ends is None:
                known.lapse_ends = now + LAPSE_RETURN
            return _describe(known.entry, 'lapsed')
        self._drop(known)
        return _describe(known.entry, 'gone')

    def replace_all(
        self,
        entries: Iterable[TargetEntry],
        now: timedelta,
    ) -> list[TargetChange]:
        """Takes all entries that the store holds, in place of those known."""
        listed = {entry.target_id: entry for entry in entries}
        missing = [
            target_id for target_id in self._targets if target_id not in listed
        ]
        changes = [self.remove(target_id, now) for target_id in missing]
        changes.extend(self.put(entry, now) for entry in listed.values())
        return [change for change in changes if change is not None]

    def forget_lapsed(self, now: timedelta) -> list[TargetChange]:
        """Drops targets whose lapsed entries did not come back in time."""
        lapsed = [
            target
            for target in self._targets.values()
            if target.lapse_ends is not None and target.lapse_ends <= now
        ]
        for target in lapsed:
            self._drop(target)
        return [_describe(target.entry, 'gone') for target in lapsed]

    def _may_be_lapse(self, now: timedelta) -> bool:
        back = self._store_back
        return back is not None and now - back < LAPSE_WINDOW

    def _add(self, entry: TargetEntry, now: timedelta) -> TargetChange:
        known = self._targets.get(entry.target_id)
        if known is not None:
            self._drop(known)
        added = KnownTarget(
            entry=entry,
            health=TargetHealth(slots=entry.slots),
            cold_until=now + entry.cold_for,
        )
        self._targets[entry.target_id] = added
        self._services.setdefault(entry.service, []).append(added)
        return _describe(entry, entry.state.value)

    def _drop(self, known: KnownTarget) -> None:
        known.dropped = True
        del self._targets[known.entry.target_id]
        self._services[known.entry.service].remove(known)


def _is_restarted(before: TargetEntry, entry: TargetEntry) -> bool:
    return before.born != entry.born


def _is_moved(before: TargetEntry, entry: TargetEntry) -> bool:
    return (before.host, before.port) != (entry.host, entry.port)


def _describe(entry: TargetEntry, change: str) -> TargetChange:
    return TargetChange(entry.target_id, entry.service, change)
