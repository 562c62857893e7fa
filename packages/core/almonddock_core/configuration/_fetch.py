"""Collecting the documents of one newer root."""

from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass
from datetime import timedelta

from almonddock_core.configuration._actions import Fetch, Source
from almonddock_core.configuration._documents import (
    Digest,
    Root,
    compute_digest,
    decode_bucket,
    decode_root,
)
from almonddock_core.configuration._messages import DocumentReply
from almonddock_core.model import Revision

#: Documents asked for in one request.
_BATCH = 256


@dataclass(frozen=True, slots=True)
class _Asked:
    """An outstanding request to one source."""

    digests: frozenset[Digest]
    deadline: timedelta


class DocumentFetch:
    """Collects a tree of documents, the root first, from several sources.

    Only documents that are not in force already are asked for, each from
    one source at a time; a source that fails is tried last.
    """

    def __init__(
        self,
        revision: Revision,
        digest: Digest,
        known: Mapping[Digest, bytes],
    ) -> None:
        self.revision = revision
        self.digest = digest
        #: Documents at hand: those in force and those fetched.
        self.documents: dict[Digest, bytes] = dict(known)
        #: Whoever may have the documents, the best first.
        self.sources: list[Source] = []
        self._asked: dict[Source, _Asked] = {}
        self._root: Root | None = None
        self._buckets: dict[Digest, dict[str, Digest]] = {}

    def add_source(self, source: Source) -> None:
        """Adds a source that has this root in force."""
        if source not in self.sources:
            self.sources.append(source)

    def add_document(self, document: bytes) -> None:
        """Keeps a document that came without being asked for."""
        self.documents[compute_digest(document)] = document

    def receive(self, source: Source, reply: DocumentReply) -> None:
        """Takes a reply; documents that were not asked for are dropped."""
        asked = self._asked.pop(source, None)
        if asked is None:
            return
        for document in reply.documents:
            digest = compute_digest(document)
            if digest in asked.digests:
                self.documents[digest] = document
        if reply.missing or not reply.documents:
            self._demote(source, drop=bool(reply.missing))

    def expire(self, now: timedelta) -> None:
        """Gives up requests that were not answered in time."""
        for source, asked in tuple(self._asked.items()):
            if asked.deadline <= now:
                self._asked.pop(source)
                self._demote(source, drop=False)

    def ask(self, now: timedelta, timeout: timedelta) -> Iterator[Fetch]:
        """Yields a request to each idle source for what is still needed."""
        outstanding = {
            digest for one in self._asked.values() for digest in one.digests
        }
        needed = [one for one in self.list_needed() if one not in outstanding]
        for source in tuple(self.sources):
            if source in self._asked or not needed:
                continue
            batch = tuple(needed[:_BATCH])
            needed = needed[_BATCH:]
            self._asked[source] = _Asked(frozenset(batch), now + timeout)
            yield Fetch(source, batch)

    def list_needed(self) -> list[Digest]:
        """Returns what is missing of the first level that lacks any.

        Raises ValueError when a document is not what its place needs.
        """
        if self.digest not in self.documents:
            return [self.digest]
        if self._root is None:
            self._root = decode_root(self.documents[self.digest])
        needed = self._list_missing(self._root.buckets.values())
        return needed or self._list_missing(self.collect_snapshot().values())

    def collect_snapshot(self) -> dict[str, Digest]:
        """Returns the digests by service; all buckets must be there."""
        snapshot: dict[str, Digest] = {}
        for digest in self.collect_root().buckets.values():
            if digest not in self._buckets:
                document = self.documents[digest]
                self._buckets[digest] = decode_bucket(document)
            snapshot.update(self._buckets[digest])
        return snapshot

    def collect_root(self) -> Root:
        """Returns the root, which must be there."""
        if self._root is None:
            self._root = decode_root(self.documents[self.digest])
        return self._root

    def _list_missing(self, digests: Iterable[Digest]) -> list[Digest]:
        unique = dict.fromkeys(digests)
        return [one for one in unique if one not in self.documents]

    def _demote(self, source: Source, *, drop: bool) -> None:
        if source in self.sources:
            self.sources.remove(source)
            if not drop:
                self.sources.append(source)
