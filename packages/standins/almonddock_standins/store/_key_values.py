"""Keys, leases and revisions of the stand-in store."""

import copy
from collections.abc import Callable
from dataclasses import dataclass, field
from datetime import timedelta

MAX_VALUE_BYTES = 1_000_000

#: Key, value (None deletes the key) and lease (0 for none).
Write = tuple[bytes, bytes | None, int]


class StoreError(Exception):
    """The store refused a call and wrote nothing."""


@dataclass(frozen=True, slots=True)
class Entry:
    """One key with its value and revisions."""

    key: bytes
    stored: bytes
    create_revision: int
    mod_revision: int
    version: int
    lease: int = 0


@dataclass(frozen=True, slots=True)
class Event:
    """One change of one key; ``entry`` is None after a deletion."""

    key: bytes
    revision: int
    entry: Entry | None


Listener = Callable[[list[Event]], None]


@dataclass(slots=True)
class Lease:
    """A lease and the keys that are deleted when it ends."""

    ttl: timedelta
    expires: timedelta
    keys: set[bytes] = field(default_factory=set)


@dataclass(slots=True)
class _Contents:
    revision: int = 1
    entries: dict[bytes, Entry] = field(default_factory=dict)
    leases: dict[int, Lease] = field(default_factory=dict)
    events: list[Event] = field(default_factory=list)


class KeyValues:
    """Keys with a linear history of revisions; callers pass the time."""

    def __init__(self) -> None:
        self._contents = _Contents()
        self._listeners: list[Listener] = []

    @property
    def revision(self) -> int:
        """The revision of the last change."""
        return self._contents.revision

    def subscribe(self, listener: Listener) -> None:
        """Calls the listener with the events of each later change."""
        self._listeners.append(listener)

    def unsubscribe(self, listener: Listener) -> None:
        """Stops calling a listener."""
        self._listeners.remove(listener)

    def read(self, key: bytes, range_end: bytes = b'') -> list[Entry]:
        """Returns one entry, or all from ``key`` to below ``range_end``."""
        entries = self._contents.entries
        if not range_end:
            return [entries[key]] if key in entries else []
        return [
            entry
            for name, entry in sorted(entries.items())
            if name >= key and (range_end == b'\0' or name < range_end)
        ]

    def write(
        self,
        writes: list[Write],
    ) -> int:
        """Applies puts and deletions in one new revision."""
        self._check(writes)
        contents = self._contents
        events: list[Event] = []
        for key, stored, lease in writes:
            previous = contents.entries.pop(key, None)
            if previous is None and stored is None:
                continue
            events.append(self._apply(key, stored, lease, previous))
        if events:
            contents.revision += 1
            contents.events.extend(events)
            for listener in tuple(self._listeners):
                listener(events)
        return contents.revision

    def list_events(self, first_revision: int) -> list[Event]:
        """Returns past changes from a revision on."""
        return [
            event
            for event in self._contents.events
            if event.revision >= first_revision
        ]

    def grant(self, ttl: timedelta, now: timedelta) -> int:
        """Starts a lease and returns its id."""
        lease = max(self._contents.leases, default=0) + 1
        self._contents.leases[lease] = Lease(ttl, now + ttl)
        return lease

    def keep_alive(self, lease: int, now: timedelta) -> timedelta:
        """Extends a lease; returns its TTL, or zero when it has ended."""
        self.expire(now)
        found = self._contents.leases.get(lease)
        if found is None:
            return timedelta()
        found.expires = now + found.ttl
        return found.ttl

    def revoke(self, lease: int) -> None:
        """Ends a lease and deletes its keys."""
        found = self._contents.leases.pop(lease, None)
        if found is not None:
            self.write([(key, None, 0) for key in sorted(found.keys)])

    def expire(self, now: timedelta) -> None:
        """Revokes the leases whose TTL has passed."""
        for lease, found in tuple(self._contents.leases.items()):
            if found.expires <= now:
                self.revoke(lease)

    def copy_contents(self) -> '_Contents':
        """Returns a copy for :meth:`restore`."""
        return copy.deepcopy(self._contents)

    def restore(self, contents: '_Contents') -> None:
        """Restores an old copy, as operators do after a loss of data."""
        self._contents = copy.deepcopy(contents)

    def _check(self, writes: list[Write]) -> None:
        for _, stored, lease in writes:
            if stored is not None and len(stored) > MAX_VALUE_BYTES:
                raise StoreError('etcdserver: request is too large')
            if lease and lease not in self._contents.leases:
                raise StoreError('etcdserver: requested lease not found')

    def _apply(
        self,
        key: bytes,
        stored: bytes | None,
        lease: int,
        previous: Entry | None,
    ) -> Event:
        revision = self._contents.revision + 1
        leases = self._contents.leases
        if previous is not None and previous.lease in leases:
            leases[previous.lease].keys.discard(key)
        if stored is None:
            return Event(key, revision, None)
        if lease:
            leases[lease].keys.add(key)
        entry = Entry(
            key=key,
            stored=stored,
            create_revision=previous.create_revision if previous else revision,
            mod_revision=revision,
            version=previous.version + 1 if previous else 1,
            lease=lease,
        )
        self._contents.entries[key] = entry
        return Event(key, revision, entry)


def covers(key: bytes, range_end: bytes, name: bytes) -> bool:
    """Returns whether a range of keys includes ``name``."""
    if not range_end:
        return name == key
    return name >= key and (range_end == b'\0' or name < range_end)
