"""Calls to the store and what may become of them."""

from collections.abc import Mapping
from dataclasses import dataclass
from typing import TypeAlias


@dataclass(frozen=True, slots=True)
class StoredValue:
    """A value and the store's revision that wrote it."""

    value: bytes
    #: The revision of the last write to the key, for the next swap.
    revision: int


@dataclass(frozen=True, slots=True)
class ReadValues:
    """Reads keys; the reply is :class:`Values`."""

    keys: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class ListRevisions:
    """Lists the keys with a prefix; the reply is :class:`Revisions`."""

    prefix: str


@dataclass(frozen=True, slots=True)
class PutValues:
    """Writes keys whatever they hold; the reply is :class:`Values`.

    Only for writes that may be repeated, such as content under its digest.
    """

    contents: Mapping[str, bytes]


@dataclass(frozen=True, slots=True)
class Guard:
    """A second key that must be at a revision for a swap to take effect."""

    key: str
    #: None expects that the key does not exist.
    revision: int | None


@dataclass(frozen=True, slots=True)
class SwapValue:
    """Writes a key at an expected revision; replied to by SwapResult."""

    key: str
    content: bytes
    #: None expects that the key does not exist.
    expected: int | None
    guard: Guard | None = None


@dataclass(frozen=True, slots=True)
class DeleteValue:
    """Deletes a key at an expected revision; the reply is SwapResult."""

    key: str
    expected: int


StoreCall: TypeAlias = (
    ReadValues | ListRevisions | PutValues | SwapValue | DeleteValue
)


@dataclass(frozen=True, slots=True)
class Values:
    """What each key holds; a key that does not exist is absent."""

    found: Mapping[str, StoredValue]


@dataclass(frozen=True, slots=True)
class Revisions:
    """The revision of the last write to each key."""

    found: Mapping[str, int]


@dataclass(frozen=True, slots=True)
class Swapped:
    """The write took effect."""

    revision: int


@dataclass(frozen=True, slots=True)
class Conflict:
    """The key or the guard was not at its revision; nothing was written."""

    #: What the key holds instead; None when it does not exist.
    current: StoredValue | None


@dataclass(frozen=True, slots=True)
class Unknown:
    """The write may or may not have taken effect."""

    message: str


@dataclass(frozen=True, slots=True)
class Unavailable:
    """The store did not take the call; nothing was read or swapped."""

    message: str


SwapResult: TypeAlias = Swapped | Conflict | Unknown

StoreReply: TypeAlias = Values | Revisions | SwapResult | Unavailable
