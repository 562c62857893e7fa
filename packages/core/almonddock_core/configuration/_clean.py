"""Deletes documents that the head does not reference."""

from collections.abc import Mapping
from dataclasses import dataclass

from almonddock_core.configuration._documents import Digest
from almonddock_core.configuration._store_reads import (
    CLEANER_KEY,
    DOCUMENT_PREFIX,
    Head,
    StoreSteps,
    read_head,
)
from almonddock_core.model import StoreUnavailableError
from almonddock_core.store import (
    DeleteValue,
    ListRevisions,
    Revisions,
    Swapped,
    SwapValue,
)


@dataclass(frozen=True, slots=True)
class CleanRequest:
    """A request to delete unreferenced documents."""

    #: A globally unique id, written to the cleaner's key.
    change: str
    #: Nothing is deleted while at most this many documents are unreferenced,
    #: so that a publish can still compare with earlier revisions.
    keep: int = 512


def clean(request: CleanRequest) -> StoreSteps[int]:
    """Deletes unreferenced documents and returns their number.

    Safe to run concurrently with a publish: the cleaner's key is swapped
    first, so the head swap of every publish that started earlier fails and
    is retried, and documents written after the key's swap are not deleted.
    """
    try:
        return (yield from _clean(request))
    except StoreUnavailableError:
        return 0


def _clean(request: CleanRequest) -> StoreSteps[int]:
    before = yield from read_head()
    found = yield from _list_documents()
    if len(_select_unreferenced(found, before, None)) <= request.keep:
        return 0
    reply = yield SwapValue(
        CLEANER_KEY,
        request.change.encode(),
        before.cleaner_revision,
    )
    if not isinstance(reply, Swapped):
        return 0
    head = yield from read_head()
    found = yield from _list_documents()
    deleted = 0
    for key, revision in _select_unreferenced(
        found, head, reply.revision
    ).items():
        outcome = yield DeleteValue(key, revision)
        deleted += isinstance(outcome, Swapped)
    return deleted


def _list_documents() -> StoreSteps[Mapping[str, int]]:
    reply = yield ListRevisions(DOCUMENT_PREFIX)
    if isinstance(reply, Revisions):
        return reply.found
    raise StoreUnavailableError('the store did not list the documents')


def _select_unreferenced(
    found: Mapping[str, int],
    head: Head,
    before_revision: int | None,
) -> dict[str, int]:
    referenced = head.list_referenced()
    return {
        key: revision
        for key, revision in sorted(found.items())
        if Digest(key.removeprefix(DOCUMENT_PREFIX)) not in referenced
        and (before_revision is None or revision < before_revision)
    }
