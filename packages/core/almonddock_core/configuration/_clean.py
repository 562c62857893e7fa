"""Removing documents that no head refers to."""

from collections.abc import Mapping
from dataclasses import dataclass

from almonddock_core.configuration._documents import Digest
from almonddock_core.configuration._store_reads import (
    CLEANER_KEY,
    DOCUMENT_PREFIX,
    Head,
    Steps,
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
    """Which left-over documents may stay."""

    #: Unique for ever.
    change: str
    #: Unreferenced documents are kept up to this number, so that earlier
    #: revisions can be compared with.
    keep: int = 512


def clean(request: CleanRequest) -> Steps[int]:
    """Deletes documents that are not in force; returns their number.

    A publish that runs at the same time is safe: the cleaner's key is
    swapped first, which makes every publish that began earlier start anew,
    and documents written after that swap are not deleted.
    """
    try:
        return (yield from _clean(request))
    except StoreUnavailableError:
        return 0


def _clean(request: CleanRequest) -> Steps[int]:
    before = yield from read_head()
    found = yield from _list_documents()
    if len(_select(found, before, None)) <= request.keep:
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
    for key, revision in _select(found, head, reply.revision).items():
        outcome = yield DeleteValue(key, revision)
        deleted += isinstance(outcome, Swapped)
    return deleted


def _list_documents() -> Steps[Mapping[str, int]]:
    reply = yield ListRevisions(DOCUMENT_PREFIX)
    if isinstance(reply, Revisions):
        return reply.found
    raise StoreUnavailableError('the documents could not be listed')


def _select(
    found: Mapping[str, int],
    head: Head,
    before: int | None,
) -> dict[str, int]:
    referenced = head.list_referenced()
    return {
        key: revision
        for key, revision in sorted(found.items())
        if Digest(key.removeprefix(DOCUMENT_PREFIX)) not in referenced
        and (before is None or revision < before)
    }
