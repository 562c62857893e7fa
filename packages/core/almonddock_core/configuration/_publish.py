"""Publishes all files atomically: either all become active or none."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from typing import TypeAlias

from almonddock_core.configuration._changes import (
    DATA_CENTRES,
    Changes,
    ServiceConflict,
    apply_changes,
    compare,
    find_conflicts,
)
from almonddock_core.configuration._check import (
    DATA_CENTRES_FILE,
    CheckedFiles,
    check_files,
)
from almonddock_core.configuration._documents import (
    Digest,
    Root,
    compute_digest,
    encode_buckets,
    encode_root,
    normalise_body,
)
from almonddock_core.configuration._store_reads import (
    CLEANER_KEY,
    HEAD_KEY,
    Head,
    StoreSteps,
    build_document_key,
    find_base,
    read_documents,
    read_head,
)
from almonddock_core.model import Revision, StoreUnavailableError
from almonddock_core.store import (
    Guard,
    PutValues,
    Swapped,
    SwapValue,
    Unavailable,
    Unknown,
)

#: The most ids of earlier changes that a root lists.
_MAX_EARLIER_CHANGES = 32


@dataclass(frozen=True, slots=True)
class PublishRequest:
    """A change that an operator wants to publish."""

    #: A globally unique id; publishing again with the same id has no effect.
    change: str
    #: The complete desired configuration: normalised bodies by service name,
    #: and the data centres under ``DATA_CENTRES``.
    bodies: Mapping[str, bytes]
    #: The revision that the files were edited from; None for the one that
    #: is active when the publish starts.
    base: Revision | None = None
    #: The largest active revision of any host. A store with a smaller one
    #: lost data, and nothing is published to it.
    min_revision: Revision = Revision(0)
    #: The most attempts, each of which reads the head again.
    attempts: int = 10


@dataclass(frozen=True, slots=True)
class Published:
    """The change was published."""

    revision: Revision
    changes: Changes


@dataclass(frozen=True, slots=True)
class Unchanged:
    """The active configuration already equals the files."""

    revision: Revision


@dataclass(frozen=True, slots=True)
class Refused:
    """Other operators changed the same services; nothing was published."""

    revision: Revision
    differences: tuple[ServiceConflict, ...]


@dataclass(frozen=True, slots=True)
class NotPublished:
    """The change was not published and never will be."""

    message: str


@dataclass(frozen=True, slots=True)
class PublishUnknown:
    """The store did not confirm the change, which may be published."""

    change: str


PublishResult: TypeAlias = (
    Published | Unchanged | Refused | NotPublished | PublishUnknown
)


def build_request(checked: CheckedFiles, change: str) -> PublishRequest:
    """Returns a request to publish all checked files."""
    bodies = {
        name: normalise_body(body) for name, body in checked.bodies.items()
    }
    bodies[DATA_CENTRES] = normalise_body(checked.data_centres_body)
    return PublishRequest(change, bodies)


def publish(request: PublishRequest) -> StoreSteps[PublishResult]:
    """Publishes a change by one compare-and-swap of the head.

    Yields calls to the store and is sent their replies. Documents are
    written before the head, under their digests, so an interrupted publish
    changes nothing that is active. Raises FindingsError if the files are
    inconsistent with what other operators published meanwhile.
    """
    return (yield from _Publish(request).run())


def compute_digests(bodies: Mapping[str, bytes]) -> dict[str, Digest]:
    """Returns the digest of each body."""
    return {name: compute_digest(body) for name, body in bodies.items()}


class _Publish:
    """The state of one publish across its attempts."""

    def __init__(self, request: PublishRequest) -> None:
        self._request = request
        self._wanted = compute_digests(request.bodies)
        self._own: Changes | None = None
        self._base: Mapping[str, Digest] = {}
        # The head that the swap with an unknown result expected; None if there
        # is no such swap.
        self._unresolved: Head | None = None
        self._message = 'the store changed during every attempt'

    def run(self) -> StoreSteps[PublishResult]:
        for _ in range(self._request.attempts):
            try:
                result = yield from self._attempt()
            except StoreUnavailableError as error:
                self._message = error.message
                continue
            if result is not None:
                return result
        if self._unresolved is not None:
            return PublishUnknown(self._request.change)
        return NotPublished(self._message)

    def _attempt(self) -> StoreSteps[PublishResult | None]:
        head = yield from read_head()
        known = (head.root.change, *head.root.earlier)
        if self._request.change in known:
            return self._build_published(head)
        self._clear_unresolved(head)
        if head.root.revision < self._request.min_revision:
            return NotPublished(
                f'the store is at revision {head.root.revision}, but '
                f'revision {self._request.min_revision} is active on hosts',
            )
        own = yield from self._find_own_changes(head)
        if own is None:
            return NotPublished(
                f'cannot read revision {self._request.base} from the store',
            )
        conflicts = find_conflicts(own, compare(self._base, head.snapshot))
        if conflicts:
            return Refused(head.root.revision, conflicts)
        merged = apply_changes(head.snapshot, own)
        if merged == head.snapshot:
            return Unchanged(head.root.revision)
        yield from self._check_merged(merged)
        return (yield from self._write(head, merged, own))

    def _clear_unresolved(self, head: Head) -> None:
        # Once the head has changed, a pending swap of the earlier head fails.
        expected = self._unresolved
        if expected and expected.store_revision != head.store_revision:
            self._unresolved = None

    def _build_published(self, head: Head) -> Published:
        changes = (head.root.change, *head.root.earlier)
        behind = changes.index(self._request.change)
        return Published(
            Revision(head.root.revision - behind),
            self._own or Changes(),
        )

    def _find_own_changes(self, head: Head) -> StoreSteps[Changes | None]:
        if self._own is None:
            base: Mapping[str, Digest] | None = head.snapshot
            if self._request.base is not None:
                base = yield from find_base(head, self._request.base)
            if base is None:
                return None
            self._base = base
            self._own = compare(base, self._wanted)
        return self._own

    def _check_merged(self, merged: Mapping[str, Digest]) -> StoreSteps[None]:
        if merged == self._wanted:
            return
        changed_elsewhere = {
            name: digest
            for name, digest in merged.items()
            if self._wanted.get(name) != digest
        }
        documents = yield from read_documents(changed_elsewhere.values())
        bodies = {
            name: documents[digest]
            if name in changed_elsewhere
            else self._request.bodies[name]
            for name, digest in merged.items()
        }
        check_files(
            {_build_file_name(name): body for name, body in bodies.items()}
        )

    def _write(
        self,
        head: Head,
        merged: Mapping[str, Digest],
        own: Changes,
    ) -> StoreSteps[PublishResult | None]:
        documents, content = self._build_documents(head, merged)
        reply = yield PutValues(documents)
        if isinstance(reply, Unavailable):
            raise StoreUnavailableError(reply.message)
        reply = yield SwapValue(
            HEAD_KEY,
            content,
            head.store_revision,
            Guard(CLEANER_KEY, head.cleaner_revision),
        )
        match reply:
            case Swapped():
                return Published(Revision(head.root.revision + 1), own)
            case Unknown():
                self._unresolved = head
            case Unavailable():
                raise StoreUnavailableError(reply.message)
        return None

    def _build_documents(
        self,
        head: Head,
        merged: Mapping[str, Digest],
    ) -> tuple[dict[str, bytes], bytes]:
        buckets = encode_buckets(merged)
        root = encode_root(
            Root(
                revision=Revision(head.root.revision + 1),
                change=self._request.change,
                earlier=_list_earlier(head.root),
                parent=head.digest,
                buckets=compute_digests(buckets),
            ),
        )
        used = frozenset(merged.values())
        bodies = [
            body
            for name, body in self._request.bodies.items()
            if self._wanted[name] in used
        ]
        return _select_new(head, (root, *buckets.values(), *bodies)), root


def _select_new(
    head: Head,
    documents: Iterable[bytes],
) -> dict[str, bytes]:
    referenced = head.list_referenced()
    return {
        build_document_key(digest): document
        for document in documents
        if (digest := compute_digest(document)) not in referenced
    }


def _list_earlier(root: Root) -> tuple[str, ...]:
    return (root.change, *root.earlier)[:_MAX_EARLIER_CHANGES]


def _build_file_name(name: str) -> str:
    return DATA_CENTRES_FILE if name == DATA_CENTRES else f'{name}.json'
