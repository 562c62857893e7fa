"""Publishing: all files come into force together, or none does."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from typing import TypeAlias

from almonddock_core.configuration._changes import (
    DATA_CENTRES,
    Changes,
    Difference,
    apply,
    compare,
    find_clashes,
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
    Steps,
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

#: Ids of earlier changes that a root names.
_EARLIER_CHANGES = 32


@dataclass(frozen=True, slots=True)
class PublishRequest:
    """One change that an operator wants in force."""

    #: Unique for ever; a repeated publish with the same id does no harm.
    change: str
    #: Normalised bodies by service, and ``DATA_CENTRES``: the whole
    #: configuration that is wanted.
    bodies: Mapping[str, bytes]
    #: The revision that the files were edited from; None takes the one in
    #: force when the publish starts.
    base: Revision | None = None
    #: The largest revision that any host has in force.
    floor: Revision = Revision(0)
    #: How often the head is read before the publish gives up.
    attempts: int = 10


@dataclass(frozen=True, slots=True)
class Published:
    """The change is accepted."""

    revision: Revision
    changes: Changes


@dataclass(frozen=True, slots=True)
class Unchanged:
    """The files are in force already."""

    revision: Revision


@dataclass(frozen=True, slots=True)
class Refused:
    """Other operators changed the same services; nothing is in force."""

    revision: Revision
    differences: tuple[Difference, ...]


@dataclass(frozen=True, slots=True)
class NotPublished:
    """Nothing of the change is in force, and nothing will be."""

    message: str


@dataclass(frozen=True, slots=True)
class PublishUnknown:
    """The store went away before it told whether the change is accepted."""

    change: str


PublishResult: TypeAlias = (
    Published | Unchanged | Refused | NotPublished | PublishUnknown
)


def build_request(checked: CheckedFiles, change: str) -> PublishRequest:
    """Returns the request that brings all checked files into force."""
    bodies = {
        name: normalise_body(body) for name, body in checked.bodies.items()
    }
    bodies[DATA_CENTRES] = normalise_body(checked.data_centres_body)
    return PublishRequest(change, bodies)


def publish(request: PublishRequest) -> Steps[PublishResult]:
    """Brings a change into force by one swap of the head.

    Yields calls to the store and is sent their replies. Documents are
    written before the head, under their digests, so a publish that is cut
    off leaves nothing in force. Raises FindingsError when the files do not
    agree with what other operators published meanwhile.
    """
    return (yield from _Publish(request).run())


def compute_digests(bodies: Mapping[str, bytes]) -> dict[str, Digest]:
    """Returns the digest of each body."""
    return {name: compute_digest(body) for name, body in bodies.items()}


class _Publish:
    """The progress of one publish over its attempts."""

    def __init__(self, request: PublishRequest) -> None:
        self._request = request
        self._wanted = compute_digests(request.bodies)
        self._own: Changes | None = None
        self._base: Mapping[str, Digest] = {}
        # The head that a swap without a reply expected; None without one.
        self._unresolved: Head | None = None
        self._message = 'other publishes came first each time'

    def run(self) -> Steps[PublishResult]:
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

    def _attempt(self) -> Steps[PublishResult | None]:
        head = yield from read_head()
        known = (head.root.change, *head.root.earlier)
        if self._request.change in known:
            return self._accept(head)
        self._resolve(head)
        if head.root.revision < self._request.floor:
            return NotPublished(
                f'the store is at revision {head.root.revision}, but hosts '
                f'have revision {self._request.floor} in force',
            )
        own = yield from self._find_own_changes(head)
        if own is None:
            return NotPublished(
                f'revision {self._request.base} is no longer in the store',
            )
        clashes = find_clashes(own, compare(self._base, head.snapshot))
        if clashes:
            return Refused(head.root.revision, clashes)
        merged = apply(head.snapshot, own)
        if merged == head.snapshot:
            return Unchanged(head.root.revision)
        yield from self._check_merged(merged)
        return (yield from self._write(head, merged, own))

    def _resolve(self, head: Head) -> None:
        # A swap that expected another head can no longer take effect.
        lost = self._unresolved
        if lost and lost.store_revision != head.store_revision:
            self._unresolved = None

    def _accept(self, head: Head) -> Published:
        newer = (head.root.change, *head.root.earlier)
        behind = newer.index(self._request.change)
        return Published(
            Revision(head.root.revision - behind),
            self._own or Changes(),
        )

    def _find_own_changes(self, head: Head) -> Steps[Changes | None]:
        if self._own is None:
            base: Mapping[str, Digest] | None = head.snapshot
            if self._request.base is not None:
                base = yield from find_base(head, self._request.base)
            if base is None:
                return None
            self._base = base
            self._own = compare(base, self._wanted)
        return self._own

    def _check_merged(self, merged: Mapping[str, Digest]) -> Steps[None]:
        if merged == self._wanted:
            return
        foreign = {
            name: digest
            for name, digest in merged.items()
            if self._wanted.get(name) != digest
        }
        documents = yield from read_documents(foreign.values())
        bodies = {
            name: documents[digest]
            if name in foreign
            else self._request.bodies[name]
            for name, digest in merged.items()
        }
        check_files({_name_file(name): body for name, body in bodies.items()})

    def _write(
        self,
        head: Head,
        merged: Mapping[str, Digest],
        own: Changes,
    ) -> Steps[PublishResult | None]:
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
    return (root.change, *root.earlier)[:_EARLIER_CHANGES]


def _name_file(name: str) -> str:
    return DATA_CENTRES_FILE if name == DATA_CENTRES else f'{name}.json'
