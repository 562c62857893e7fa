"""Generators that read the published configuration from the store."""

from collections.abc import Generator, Iterable, Mapping
from dataclasses import dataclass
from typing import TypeAlias, TypeVar

from almonddock_core.configuration._documents import (
    Digest,
    Root,
    Snapshot,
    compute_digest,
    decode_bucket,
    decode_root,
)
from almonddock_core.model import Revision, StoreUnavailableError
from almonddock_core.store import (
    ReadValues,
    StoreCall,
    StoredValue,
    StoreReply,
    Unavailable,
    Values,
)

#: The key whose value is the active root document.
HEAD_KEY = 'configuration/head'
#: Swapped by each cleaning, so that concurrent publishes fail and retry.
CLEANER_KEY = 'configuration/cleaner'
#: The key of a document is this prefix and its digest.
DOCUMENT_PREFIX = 'configuration/document/'

_Result = TypeVar('_Result')
#: Yields store calls, is sent their replies and returns a result.
StoreSteps: TypeAlias = Generator[StoreCall, StoreReply, _Result]


@dataclass(frozen=True, slots=True)
class Head:
    """The store's active root, its snapshot and the cleaner's revision."""

    #: The store's revision of the head; None if there is no head yet.
    store_revision: int | None
    #: The store's revision of the cleaner's key; None if never cleaned.
    cleaner_revision: int | None
    root: Root
    digest: Digest
    snapshot: Snapshot

    def list_referenced(self) -> frozenset[Digest]:
        """Returns the digests of all documents that the head references."""
        return frozenset(
            (
                self.digest,
                *self.root.buckets.values(),
                *self.snapshot.values(),
            ),
        )


def build_document_key(digest: Digest) -> str:
    """Returns the store key of a document."""
    return f'{DOCUMENT_PREFIX}{digest}'


def read_head() -> StoreSteps[Head]:
    """Reads the head and its snapshot, both empty if there is none."""
    # The cleaner's key is read first, so that a cleaning that starts after
    # this read makes the swap of the head fail.
    cleaner = yield from _read((CLEANER_KEY,))
    values = yield from _read((HEAD_KEY,))
    stored = values.get(HEAD_KEY)
    root = Root(Revision(0), '')
    if stored is not None:
        root = decode_root(stored.value)
    snapshot = yield from read_snapshot(root)
    cleaned = cleaner.get(CLEANER_KEY)
    return Head(
        store_revision=None if stored is None else stored.revision,
        cleaner_revision=None if cleaned is None else cleaned.revision,
        root=root,
        digest=Digest('') if stored is None else compute_digest(stored.value),
        snapshot=snapshot,
    )


def read_snapshot(root: Root) -> StoreSteps[dict[str, Digest]]:
    """Reads the buckets of a root."""
    buckets = yield from read_documents(root.buckets.values())
    snapshot: dict[str, Digest] = {}
    for document in buckets.values():
        snapshot.update(decode_bucket(document))
    return snapshot


def read_documents(
    digests: Iterable[Digest],
) -> StoreSteps[dict[Digest, bytes]]:
    """Reads documents; raises StoreUnavailableError if any is missing."""
    wanted = tuple(dict.fromkeys(digests))
    if not wanted:
        return {}
    values = yield from _read(tuple(map(build_document_key, wanted)))
    found = {
        digest: values[build_document_key(digest)].value
        for digest in wanted
        if build_document_key(digest) in values
    }
    if len(found) < len(wanted):
        raise StoreUnavailableError(
            'documents are missing, perhaps deleted since the head was read'
        )
    return found


def find_base(head: Head, base: Revision) -> StoreSteps[Snapshot | None]:
    """Returns the snapshot of an earlier revision.

    Returns None if it does not exist, was deleted or cannot be read.
    """
    root = head.root
    try:
        while root.revision > base and root.parent:
            found = yield from read_documents((root.parent,))
            root = decode_root(found[root.parent])
        if root.revision != base:
            return {} if base == 0 else None
        return (yield from read_snapshot(root))
    except StoreUnavailableError:
        return None


def _read(keys: tuple[str, ...]) -> StoreSteps[Mapping[str, StoredValue]]:
    reply = yield ReadValues(keys)
    match reply:
        case Values():
            return reply.found
        case Unavailable():
            raise StoreUnavailableError(reply.message)
    raise TypeError(f'expected the values of {keys}, received {reply}')
