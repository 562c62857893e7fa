"""What a host knows of the targets, from their entries in the store."""

import enum
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from datetime import timedelta

from almonddock_core.placement import TargetHealth

#: How long a target stays usable without its entry. An entry that its target
#: cannot renew in an outage of the store lapses: the store removes it. Targets
#: write their entries again within about two seconds of the store's return.
LAPSE_GRACE_S = 2.2
LAPSE_GRACE = timedelta(seconds=LAPSE_GRACE_S)

#: Removals seen so soon after the store's return may be entries that lapsed
#: during the outage, of targets that still run.
LAPSE_DETECTION_WINDOW = timedelta(seconds=2)

#: The most targets without an entry of which a host remembers that they leave
#: or rest; the oldest are forgotten first.
MAX_REMEMBERED = 1024


class TargetState(enum.Enum):
    """The state that a target reports in its entry."""

    READY = 'ready'
    DRAINING = 'draining'


@dataclass(frozen=True, slots=True)
class TargetEntry:
    """The entry that one target last wrote to the store."""

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
    #: The start of this incarnation in Unix milliseconds; None if unknown.
    started_ms: int | None
    #: The version of its software; empty if unknown.
    version: str = ''
    #: Counts the entries that this incarnation has written; None if unknown.
    sequence: int | None = field(default=None, compare=False)


@dataclass(slots=True)
class KnownTarget:
    """One incarnation of a target, with its health as replies show it."""

    entry: TargetEntry
    health: TargetHealth
    #: When the target stops being cold.
    cold_until: timedelta
    #: Until when the target stays usable although its entry was removed;
    #: None unless the entry may have lapsed during an outage of the store.
    lapse_ends: timedelta | None = None
    #: Whether the target was warm before it turned cold.
    was_warm: bool = False
    #: Set once another target answered at this address.
    replaced: bool = False
    #: Set once the table no longer lists the target.
    dropped: bool = False
    #: Set once a reply said that the target leaves.
    leaving: bool = False
    #: Until when the target wants no requests of this host.
    rests_until: timedelta = timedelta()

    def is_usable(self, now: timedelta) -> bool:
        """Whether new work may be sent to the target."""
        if self.replaced or self.leaving or now < self.rests_until:
            return False
        if self.entry.state is not TargetState.READY:
            return False
        return self.lapse_ends is None or now < self.lapse_ends

    def extend_cold(self, cold_for: timedelta, now: timedelta) -> None:
        """Records that the target stays cold for this long at least."""
        if self.cold_until <= now < now + cold_for:
            self.was_warm = True
        self.cold_until = max(self.cold_until, now + cold_for)


@dataclass(frozen=True, slots=True)
class TargetChange:
    """A change in what is known of one target, for the log."""

    target_id: str
    service: str
    #: The state in a new entry, or ``lapsed`` or ``gone`` after a removal.
    change: str


@dataclass(slots=True)
class TargetTable:
    """Targets by service, updated from store entries and their removal."""

    #: Data centres that get no new work.
    drained: frozenset[str] = frozenset()
    #: Whether a target's version may get new work.
    is_version_allowed: Callable[[TargetEntry, timedelta], bool] = (
        lambda entry, now: True
    )
    #: The targets of each service, usable or not.
    by_service: dict[str, list[KnownTarget]] = field(default_factory=dict)
    _targets: dict[str, KnownTarget] = field(default_factory=dict)
    #: Dropped targets that had said that they leave or rest. A target whose
    #: entry comes back may still run.
    _unwilling: dict[str, KnownTarget] = field(default_factory=dict)
    #: The last entries of dropped targets. A store that is restored from a
    #: copy may list them again.
    _dropped: dict[str, TargetEntry] = field(default_factory=dict)
    _store_recovered_at: timedelta | None = None

    def __len__(self) -> int:
        """The number of targets known."""
        return len(self._targets)

    def list_all(self) -> list[KnownTarget]:
        """Returns every target, usable or not."""
        return list(self._targets.values())

    def is_current(self, entry: TargetEntry) -> bool:
        """Whether the table already holds this entry unchanged."""
        known = self._targets.get(entry.target_id)
        if known is None or known.lapse_ends is not None:
            return False
        return known.entry == entry

    def find(self, target_id: str) -> KnownTarget | None:
        """Returns a target by its id, usable or not."""
        return self._targets.get(target_id)

    def find_usable(
        self,
        target_id: str,
        now: timedelta,
    ) -> KnownTarget | None:
        """Returns a target that may get new work, by its id."""
        target = self._targets.get(target_id)
        if target is None or not self.is_usable(target, now):
            return None
        return target

    def is_usable(self, target: KnownTarget, now: timedelta) -> bool:
        """Whether a target may get new work, also once it is not listed."""
        if target.dropped or target.entry.data_centre in self.drained:
            return False
        if not self.is_version_allowed(target.entry, now):
            return False
        return target.is_usable(now)

    def list_usable(self, service: str, now: timedelta) -> list[KnownTarget]:
        """Returns the targets of a service that may get new work."""
        return [
            target
            for target in self.by_service.get(service, ())
            if self.is_usable(target, now)
        ]

    def find_rest_end(self, service: str, now: timedelta) -> timedelta:
        """Returns when the first target of a service has rested.

        Returns ``now`` if none of them rests.
        """
        ends = (
            target.rests_until
            for target in self.by_service.get(service, ())
            if target.rests_until > now
        )
        return min(ends, default=now)

    def record_store_recovery(self, now: timedelta) -> None:
        """Records that the store answers again after an outage."""
        self._store_recovered_at = now

    def put(self, entry: TargetEntry, now: timedelta) -> TargetChange | None:
        """Adds or updates a target; returns the change to log, if any."""
        known = self._targets.get(entry.target_id)
        if known is None or _is_restarted(known.entry, entry):
            return self._add(entry, now)
        known.lapse_ends = None
        before = known.entry
        if before == entry:
            known.entry = entry
            return None
        if before.service != entry.service or _is_moved(before, entry):
            return self._add(entry, now)
        known.entry = entry
        known.extend_cold(entry.cold_for, now)
        if before.state is entry.state:
            return None
        return _describe(entry, entry.state.value)

    def remove(self, target_id: str, now: timedelta) -> TargetChange | None:
        """Drops a target, but later if its entry may only have lapsed."""
        known = self._targets.get(target_id)
        if known is None:
            return None
        if self._may_be_lapse(now):
            if known.lapse_ends is None:
                known.lapse_ends = now + LAPSE_GRACE
            return _describe(known.entry, 'lapsed')
        self._drop(known, now)
        return _describe(known.entry, 'gone')

    def replace_all(
        self,
        entries: Iterable[TargetEntry],
        now: timedelta,
    ) -> list[TargetChange]:
        """Replaces the known entries with all entries of the store.

        Ignores those that their targets have replaced or taken back since.
        """
        listed = {entry.target_id: entry for entry in entries}
        missing = [
            target_id for target_id in self._targets if target_id not in listed
        ]
        changes = [self.remove(target_id, now) for target_id in missing]
        changes.extend(
            self.put(entry, now)
            for entry in listed.values()
            if not self._is_outdated(entry)
        )
        return [change for change in changes if change is not None]

    def drop_lapsed(self, now: timedelta) -> list[TargetChange]:
        """Drops targets whose lapsed entries did not come back in time."""
        lapsed = [
            target
            for target in self._targets.values()
            if target.lapse_ends is not None and target.lapse_ends <= now
        ]
        for target in lapsed:
            self._drop(target, now)
        return [_describe(target.entry, 'gone') for target in lapsed]

    def _is_outdated(self, entry: TargetEntry) -> bool:
        """Whether its incarnation has written or removed an entry since."""
        known = self._targets.get(entry.target_id)
        if known is not None:
            later = _count_later(entry, known.entry)
            return later is not None and later < 0
        dropped = self._dropped.get(entry.target_id)
        later = None if dropped is None else _count_later(entry, dropped)
        return later is not None and later <= 0

    def _may_be_lapse(self, now: timedelta) -> bool:
        recovered = self._store_recovered_at
        return (
            recovered is not None and now - recovered < LAPSE_DETECTION_WINDOW
        )

    def _add(self, entry: TargetEntry, now: timedelta) -> TargetChange:
        known = self._targets.get(entry.target_id)
        if known is not None:
            self._drop(known, now)
        self._dropped.pop(entry.target_id, None)
        added = KnownTarget(
            entry=entry,
            health=TargetHealth(slots=entry.slots),
            cold_until=now + entry.cold_for,
        )
        self._restore_will(added)
        self._targets[entry.target_id] = added
        self.by_service.setdefault(entry.service, []).append(added)
        return _describe(entry, entry.state.value)

    def _drop(self, known: KnownTarget, now: timedelta) -> None:
        target_id = known.entry.target_id
        known.dropped = True
        del self._targets[target_id]
        self.by_service[known.entry.service].remove(known)
        if known.leaving or now < known.rests_until:
            self._unwilling[target_id] = known
        self._dropped[target_id] = known.entry
        for remembered in (self._unwilling, self._dropped):
            if len(remembered) > MAX_REMEMBERED:
                remembered.pop(next(iter(remembered)))

    def _restore_will(self, added: KnownTarget) -> None:
        """Applies what the same run of a target had said in its replies."""
        before = self._unwilling.pop(added.entry.target_id, None)
        if before is None or _is_restarted(before.entry, added.entry):
            return
        if not _is_moved(before.entry, added.entry):
            added.leaving = before.leaving
            added.rests_until = before.rests_until


def _is_restarted(before: TargetEntry, entry: TargetEntry) -> bool:
    return before.started_ms != entry.started_ms


def _count_later(entry: TargetEntry, other: TargetEntry) -> int | None:
    """Returns a number above 0 if an entry was written after another one.

    Returns one below 0 if it was written before, 0 for the same entry, and
    None if that is not known.
    """
    if entry.started_ms is None or other.started_ms is None:
        return None
    if _is_restarted(other, entry):
        return entry.started_ms - other.started_ms
    if entry.sequence is None or other.sequence is None:
        return None
    return entry.sequence - other.sequence


def _is_moved(before: TargetEntry, entry: TargetEntry) -> bool:
    return (before.host, before.port) != (entry.host, entry.port)


def _describe(entry: TargetEntry, change: str) -> TargetChange:
    return TargetChange(entry.target_id, entry.service, change)
