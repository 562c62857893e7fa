"""Reads lists of messages between hosts."""

from typing import Any

from almonddock_core.framing import BadFrameError

#: The most entries of a list: the targets, hosts and keys of the largest
#: installation are fewer.
MAX_ENTRIES = 0x4000


def read_column(column: Any) -> tuple[Any, ...]:
    """Returns the entries.

    Raises:
        BadFrameError: there are too many to handle in one turn of the loop.
    """
    if len(column) > MAX_ENTRIES:
        raise BadFrameError(
            f'a list of {len(column)} entries exceeds {MAX_ENTRIES}',
        )
    return tuple(column)
