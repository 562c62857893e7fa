"""Reads the key that a caller presents."""

from collections.abc import Sequence


def parse_key(fields: Sequence[bytes], scheme: bytes) -> bytes | None:
    """Returns the key in a request's credentials, None if it states none.

    ``fields`` holds the content of each field with credentials. Two of them
    are no key: which one counts is not for the host to choose. ``scheme`` is
    in lower case; its spelling in a field may differ.
    """
    if len(fields) != 1:
        return None
    stated, _, key = fields[0].strip().partition(b' ')
    if stated.lower() != scheme:
        return None
    return key.strip() or None
