"""Settings and events of the store client."""

from dataclasses import dataclass
from datetime import timedelta

from almonddock_core.store import StoredValue


@dataclass(frozen=True, slots=True)
class StoreSettings:
    """Access to the platform's store and the limits on its use."""

    #: Base URLs of the etcd v3 JSON gateway, for example
    #: ``http://127.0.0.1:2379``; the next one is used after a failure.
    endpoints: tuple[str, ...]
    #: Prepended to every key, so that deployments can share a store.
    prefix: str = ''
    #: How long one call may take.
    call_timeout: timedelta = timedelta(seconds=1)
    #: Attempts of a read before the store counts as unavailable.
    read_attempts: int = 3
    #: Calls that may be outstanding; waiting watches are not counted.
    max_concurrent_calls: int = 8
    #: The sustained rate of calls, and the largest burst.
    calls_per_second: float = 20
    burst: int = 40
    #: The delay before retry n is random, at most the base times 2 ** n and at
    #: most the limit.
    backoff_base: timedelta = timedelta(seconds=0.1)
    backoff_limit: timedelta = timedelta(seconds=2)
    #: A watch without any event is reopened after this time, because its
    #: connection may be half-open.
    watch_idle: timedelta = timedelta(seconds=4)


@dataclass(frozen=True, slots=True)
class WatchEvent:
    """One change of a watched key."""

    #: What the key holds now; None when it was deleted.
    value: StoredValue | None
    #: The store's revision of the change; the next watch starts after it.
    revision: int
    #: Whether the store's own revision decreased or events were lost, so
    #: that this value comes from a fresh read.
    reset: bool = False
