"""Fetches the documents of a newer root."""

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

#: The most documents in one request.
_MAX_BATCH = 256


@dataclass(frozen=True, slots=True)
class _Request:
    """An outstanding request to one source."""

    digests: frozenset[Digest]
    deadline: timedelta


class DocumentFetch:
    """Fetches a tree of documents from several sources, the root first.

    Only documents that are not available locally are requested, each from
    one source at a time. A source that times out or sends nothing moves to
    the end of the list; one that lacks a document is removed.
    """

    def __init__(
        self,
        revision: Revision,
        digest: Digest,
        known: Mapping[Digest, bytes],
    ) -> None:
        self.revision = revision
        self.digest = digest
        #: Available documents: the active ones and the fetched ones.
        self.documents: dict[Digest, bytes] = dict(known)
        #: Sources that may have the documents, the preferred one first.
        self.sources: list[Source] = []
        self._outstanding: dict[Source, _Request] = {}
        self._root: Root | None = None
        self._buckets: dict[Digest, dict[str, Digest]] = {}

    def add_source(self, source: Source) -> None:
        """Adds a source whose active root is the one to fetch."""
        if source not in self.sources:
            self.sources.append(source)

    def add_document(self, document: bytes) -> None:
        """Stores a document that was received without a request."""
        self.documents[compute_digest(document)] = document

    def receive(self, source: Source, reply: DocumentReply) -> None:
        """Handles a reply; drops documents that were not requested."""
        request = self._outstanding.pop(source, None)
        if request is None:
            return
        for document in reply.documents:
            digest = compute_digest(document)
            if digest in request.digests:
                self.documents[digest] = document
        if reply.missing or not reply.documents:
            self._demote(source, drop=bool(reply.missing))

    def expire(self, now: timedelta) -> None:
        """Drops requests that were not answered in time."""
        for source, request in tuple(self._outstanding.items()):
            if request.deadline <= now:
                self._outstanding.pop(source)
                self._demote(source, drop=False)

    def request_missing(
        self,
        now: timedelta,
        timeout: timedelta,
    ) -> Iterator[Fetch]:
        """Yields requests to the idle sources for documents still needed."""
        requested = {
            digest
            for request in self._outstanding.values()
            for digest in request.digests
        }
        needed = [
            digest for digest in self.list_needed() if digest not in requested
        ]
        for source in tuple(self.sources):
            if source in self._outstanding or not needed:
                continue
            batch = tuple(needed[:_MAX_BATCH])
            needed = needed[_MAX_BATCH:]
            self._outstanding[source] = _Request(
                frozenset(batch),
                now + timeout,
            )
            yield Fetch(source, batch)

    def list_needed(self) -> list[Digest]:
        """Returns the missing documents of the topmost incomplete level.

        Raises ValueError if a document is not a valid root or bucket.
        """
        if self.digest not in self.documents:
            return [self.digest]
        if self._root is None:
            self._root = decode_root(self.documents[self.digest])
        needed = self._list_missing(self._root.buckets.values())
        return needed or self._list_missing(self.collect_snapshot().values())

    def collect_snapshot(self) -> dict[str, Digest]:
        """Returns the digests by service; all buckets must be available."""
        snapshot: dict[str, Digest] = {}
        for digest in self.collect_root().buckets.values():
            if digest not in self._buckets:
                document = self.documents[digest]
                self._buckets[digest] = decode_bucket(document)
            snapshot.update(self._buckets[digest])
        return snapshot

    def collect_root(self) -> Root:
        """Returns the root, which must be available."""
        if self._root is None:
            self._root = decode_root(self.documents[self.digest])
        return self._root

    def _list_missing(self, digests: Iterable[Digest]) -> list[Digest]:
        unique = dict.fromkeys(digests)
        return [digest for digest in unique if digest not in self.documents]

    def _demote(self, source: Source, *, drop: bool) -> None:
        if source in self.sources:
            self.sources.remove(source)
            if not drop:
                self.sources.append(source)
