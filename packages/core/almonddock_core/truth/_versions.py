"""Tracks which index versions each target holds."""

from collections.abc import Iterable
from dataclasses import dataclass, field
from datetime import timedelta

from almonddock_core.model import IndexVersion, TargetId

#: How long a status endpoint may lag behind a reply of the same target.
STATUS_LAG = timedelta(seconds=10)

#: How long the evidence of a reply is kept before a status or the default
#: applies.
EVIDENCE_LIFETIME = timedelta(minutes=1)


@dataclass(frozen=True, slots=True)
class _Evidence:
    """Whether a reply showed that the target holds a version."""

    held: bool
    replied_at: timedelta


@dataclass(slots=True)
class _Record:
    """The evidence from one target."""

    replies: dict[IndexVersion, _Evidence] = field(default_factory=dict)
    status: frozenset[IndexVersion] | None = None
    status_at: timedelta = timedelta()

    def holds(self, version: IndexVersion) -> bool:
        """Returns whether the target holds the version, True by default."""
        evidence = self.replies.get(version)
        if self.status is None:
            return evidence is None or evidence.held
        if evidence and self.status_at < evidence.replied_at + STATUS_LAG:
            return evidence.held
        return version in self.status


class VersionTable:
    """Tracks which targets hold which index versions.

    A target without evidence is assumed to hold the versions that the
    configuration lists. A reply takes precedence over a status read up to
    ``STATUS_LAG`` later, because status endpoints lag. Call :meth:`tick`
    about once a second.
    """

    def __init__(self) -> None:
        self._records: dict[TargetId, _Record] = {}
        self._generation = 0

    @property
    def generation(self) -> int:
        """A number that grows whenever a result of :meth:`holds` changes."""
        return self._generation

    def holds(self, target: TargetId, version: IndexVersion) -> bool:
        """Returns whether the target is assumed to hold the version."""
        record = self._records.get(target)
        return record is None or record.holds(version)

    def record_held(
        self,
        target: TargetId,
        version: IndexVersion,
        now: timedelta,
    ) -> None:
        """Records a reply that was read from ``version``."""
        self._note(target, version, _Evidence(held=True, replied_at=now))

    def record_missing(
        self,
        target: TargetId,
        version: IndexVersion,
        now: timedelta,
    ) -> None:
        """Records that the target refused ``version`` as not held."""
        self._note(target, version, _Evidence(held=False, replied_at=now))

    def record_status(
        self,
        target: TargetId,
        versions: Iterable[IndexVersion],
        now: timedelta,
    ) -> None:
        """Records the versions that the status endpoint listed."""
        record = self._records.setdefault(target, _Record())
        status = frozenset(versions)
        known = status | (record.status or frozenset()) | record.replies.keys()
        before = [record.holds(version) for version in known]
        unchanged = record.status == status
        record.status = status
        record.status_at = now
        if not unchanged or before != [record.holds(one) for one in known]:
            self._generation += 1

    def forget(self, target: TargetId) -> None:
        """Removes the evidence from a target, such as a replaced one."""
        if self._records.pop(target, None):
            self._generation += 1

    def tick(self, now: timedelta) -> None:
        """Removes the evidence of replies older than the lifetime."""
        for record in self._records.values():
            expired = [
                version
                for version, evidence in record.replies.items()
                if now - evidence.replied_at >= EVIDENCE_LIFETIME
            ]
            for version in expired:
                before = record.holds(version)
                record.replies.pop(version)
                self._generation += record.holds(version) != before

    def _note(
        self,
        target: TargetId,
        version: IndexVersion,
        evidence: _Evidence,
    ) -> None:
        record = self._records.setdefault(target, _Record())
        before = record.holds(version)
        record.replies[version] = evidence
        if evidence.held != before:
            self._generation += 1
