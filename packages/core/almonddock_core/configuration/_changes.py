"""Compares snapshots, applies changes to them and finds conflicts."""

from collections.abc import Mapping
from dataclasses import dataclass, field

from almonddock_core.configuration._documents import Digest, Snapshot

#: The key of ``data-centres.json`` in snapshots. It cannot collide with a
#: service, because service names do not start with a dot.
DATA_CENTRES = '.data-centres'


@dataclass(frozen=True, slots=True)
class Changes:
    """The differences that turn one snapshot into another."""

    #: New digests by service name; None removes the service.
    digests: Mapping[str, Digest | None] = field(default_factory=dict)

    def __bool__(self) -> bool:
        """Returns whether anything changes."""
        return bool(self.digests)


@dataclass(frozen=True, slots=True, order=True)
class ServiceConflict:
    """A conflict: a service that two operators changed differently."""

    service: str
    #: The digest in this publish; empty if it removes the service.
    wanted: str
    #: The active digest; empty if the service was removed.
    found: str


def compare(before: Snapshot, after: Snapshot) -> Changes:
    """Returns the changes from one snapshot to another."""
    return Changes(
        {
            name: after.get(name)
            for name in sorted(before.keys() | after.keys())
            if before.get(name) != after.get(name)
        },
    )


def apply_changes(snapshot: Snapshot, changes: Changes) -> dict[str, Digest]:
    """Returns the snapshot with the changes applied."""
    merged = {**snapshot, **changes.digests}
    return {
        name: digest for name, digest in merged.items() if digest is not None
    }


def find_conflicts(own: Changes, other: Changes) -> tuple[ServiceConflict, ...]:
    """Returns the services that both change to different contents."""
    return tuple(
        ServiceConflict(
            name, own.digests[name] or '', other.digests[name] or ''
        )
        for name in sorted(own.digests.keys() & other.digests.keys())
        if own.digests[name] != other.digests[name]
    )
