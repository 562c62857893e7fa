"""Calls to the store and their replies."""

from collections.abc import Mapping
from dataclasses import dataclass
from typing import TypeAlias


@dataclass(frozen=True, slots=True)
class StoredValue:
    """A value and the store's revision at its last write."""

    value: bytes
    #: The revision that the next swap of the key must expect.
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
    """Writes keys unconditionally; the reply is an empty :class:`Values`.

    Only for idempotent writes, such as content under its digest.
    """

    contents: Mapping[str, bytes]


@dataclass(frozen=True, slots=True)
class Guard:
    """A condition of a swap: a second key must be at a given revision."""

    key: str
    #: None if the key must not exist.
    revision: int | None


@dataclass(frozen=True, slots=True)
class SwapValue:
    """Writes a key at an expected revision; the reply is SwapResult."""

    key: str
    content: bytes
    #: None if the key must not exist.
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
    """The value of each key; a key that does not exist is absent."""

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
    """The key or the guard had another revision; nothing was written."""

    #: The current value of the key; None if it does not exist.
    current: StoredValue | None


@dataclass(frozen=True, slots=True)
class Unknown:
    """The write may or may not have taken effect."""

    message: str


@dataclass(frozen=True, slots=True)
class Unavailable:
    """Replies to any call that failed; nothing was read or swapped.

    :class:`PutValues` may still have written its keys.
    """

    message: str


SwapResult: TypeAlias = Swapped | Conflict | Unknown

StoreReply: TypeAlias = Values | Revisions | SwapResult | Unavailable
