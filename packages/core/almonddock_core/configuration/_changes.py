"""Differences between snapshots, and merging them."""

from collections.abc import Mapping
from dataclasses import dataclass, field

from almonddock_core.configuration._documents import Digest, Snapshot

#: The name that stands for ``data-centres.json`` in snapshots; no service
#: can have it, since names do not start with a dot.
DATA_CENTRES = '.data-centres'


@dataclass(frozen=True, slots=True)
class Changes:
    """What turns one snapshot into another."""

    #: New digests by name; None removes the service.
    digests: Mapping[str, Digest | None] = field(default_factory=dict)

    def __bool__(self) -> bool:
        """Returns whether anything changes."""
        return bool(self.digests)


@dataclass(frozen=True, slots=True, order=True)
class Difference:
    """One service that two operators changed in different ways."""

    service: str
    #: What this publish wants; empty when it removes the service.
    wanted: str
    #: What is in force; empty when the service was removed.
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


def apply(snapshot: Snapshot, changes: Changes) -> dict[str, Digest]:
    """Returns the snapshot with the changes made."""
    merged = {**snapshot, **changes.digests}
    return {name: one for name, one in merged.items() if one is not None}


def find_clashes(own: Changes, other: Changes) -> tuple[Difference, ...]:
    """Returns the services that both change, and differently."""
    return tuple(
        Difference(name, own.digests[name] or '', other.digests[name] or '')
        for name in sorted(own.digests.keys() & other.digests.keys())
        if own.digests[name] != other.digests[name]
    )
