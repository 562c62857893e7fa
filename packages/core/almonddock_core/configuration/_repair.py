"""Writes the active configuration to a store that has an older one."""

from collections.abc import Mapping

from almonddock_core.configuration._documents import Digest, decode_root
from almonddock_core.configuration._store_reads import (
    CLEANER_KEY,
    HEAD_KEY,
    StoreSteps,
    build_document_key,
    read_head,
)
from almonddock_core.model import StoreUnavailableError
from almonddock_core.store import (
    Guard,
    PutValues,
    Swapped,
    SwapValue,
    Unavailable,
)


def repair(
    digest: Digest, documents: Mapping[Digest, bytes]
) -> StoreSteps[bool]:
    """Makes a root the head again if the store's head is older.

    Returns whether it did. Of several concurrent repairs one succeeds.
    """
    try:
        head = yield from read_head()
    except StoreUnavailableError:
        return False
    if head.root.revision >= decode_root(documents[digest]).revision:
        return False
    referenced = head.list_referenced()
    written = yield PutValues(
        {
            build_document_key(key): document
            for key, document in documents.items()
            if key not in referenced
        },
    )
    if isinstance(written, Unavailable):
        return False
    swapped = yield SwapValue(
        HEAD_KEY,
        documents[digest],
        head.store_revision,
        Guard(CLEANER_KEY, head.cleaner_revision),
    )
    return isinstance(swapped, Swapped)
