"""Values, results and settings of the store client."""

from dataclasses import dataclass
from datetime import timedelta
from typing import TypeAlias


@dataclass(frozen=True, slots=True)
class StoreSettings:
    """How much of the platform's store one process may use."""

    #: Base URL of the etcd v3 JSON gateway, for example
    #: ``http://127.0.0.1:2379``.
    endpoint: str
    #: How long one call may take.
    call_timeout: timedelta = timedelta(seconds=1)
    #: How often a read is sent before the store counts as unavailable.
    read_attempts: int = 3
    #: Calls that may be outstanding; waiting watches are not counted.
    max_concurrent_calls: int = 8
    #: Calls a second in the long run, and at once.
    calls_per_second: float = 20
    burst: int = 40
    #: Bounds of the pause before a repeated call, before jitter.
    backoff_base: timedelta = timedelta(seconds=0.1)
    backoff_limit: timedelta = timedelta(seconds=2)
    #: A watch without any event is opened anew after this time, because
    #: its connection may have gone silent.
    watch_idle: timedelta = timedelta(seconds=4)


@dataclass(frozen=True, slots=True)
class StoredValue:
    """A value and the store's revision that wrote it."""

    value: bytes
    #: The revision of the last write to the key, for the next swap.
    revision: int


@dataclass(frozen=True, slots=True)
class Swapped:
    """The write took effect."""

    revision: int


@dataclass(frozen=True, slots=True)
class Conflict:
    """Another write came first; nothing was written."""

    #: What the key holds instead; None when it does not exist.
    current: StoredValue | None


@dataclass(frozen=True, slots=True)
class Unknown:
    """The write may or may not have taken effect."""

    message: str


SwapResult: TypeAlias = Swapped | Conflict | Unknown


@dataclass(frozen=True, slots=True)
class WatchEvent:
    """One change of a watched key."""

    #: What the key holds now; None when it was deleted.
    value: StoredValue | None
    #: The store's revision of the change; the next watch starts after it.
    revision: int
    #: Whether the store's own revision went back or events were lost, so
    #: that this value was read afresh.
    reset: bool = False
