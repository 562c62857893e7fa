"""Limits the requests that hosts send to a target in a cold start.

A target that starts, or turns cold without notice, fails under its full load,
and every host would send its share at once. All hosts together keep to the
rate that the target can take.
"""

import zlib
from collections.abc import Collection
from dataclasses import dataclass
from datetime import timedelta

#: Hosts that send to one cold target. Each may send one request ahead of its
#: rate, so with few hosts the sum stays near the rate of the target.
HOSTS_PER_TARGET = 4

#: Requests that a host may send ahead of its rate.
BURST = 1


@dataclass(slots=True)
class _TokenBucket:
    tokens: float
    updated: timedelta


class ColdStartLimiter:
    """Limits the requests of this host to each cold target."""

    def __init__(self, host: str, peers: Collection[str] = ()) -> None:
        """Takes the names of this host and of the others."""
        self._host = host
        self._peers = frozenset(peers)
        self._buckets: dict[str, _TokenBucket] = {}
        self._senders: dict[str, list[str]] = {}

    def update_peers(self, peers: Collection[str]) -> None:
        """Replaces the names of the other hosts."""
        if self._peers != frozenset(peers):
            self._peers = frozenset(peers)
            self._senders = {}

    def may_send(
        self,
        target_id: str,
        rate: float,
        now: timedelta,
        *,
        was_warm: bool = False,
    ) -> bool:
        """Whether one more request may go to a cold target.

        ``rate`` is what the target can take, in requests a second from all
        hosts; 0 if it is not limited. A target that ``was_warm`` has had its
        usual load a moment ago, so no burst is allowed.
        """
        if not rate:
            return True
        senders = self._senders.get(target_id)
        if senders is None:
            senders = self._choose_senders(target_id)
            self._senders[target_id] = senders
        if self._host not in senders:
            return False
        if target_id not in self._buckets:
            initial_tokens = 0 if was_warm else BURST
            self._buckets[target_id] = _TokenBucket(initial_tokens, now)
        return self._refill(target_id, rate / len(senders), now).tokens >= 1

    def drop_warm(self, cold: Collection[str]) -> None:
        """Drops the token buckets of targets that are no longer cold."""
        for target_id in self._buckets.keys() - set(cold):
            del self._buckets[target_id]

    def record_sent(self, target_id: str) -> None:
        """Counts a request that was sent to a cold target."""
        bucket = self._buckets.get(target_id)
        if bucket is not None:
            bucket.tokens -= 1

    def _choose_senders(self, target_id: str) -> list[str]:
        """Returns the senders, the same on hosts that know the same peers."""
        ranked = sorted(
            (self._host, *self._peers),
            key=lambda name: zlib.crc32(f'{target_id} {name}'.encode()),
        )
        return ranked[:HOSTS_PER_TARGET]

    def _refill(
        self,
        target_id: str,
        rate: float,
        now: timedelta,
    ) -> _TokenBucket:
        bucket = self._buckets[target_id]
        elapsed = (now - bucket.updated).total_seconds()
        bucket.tokens = min(BURST, bucket.tokens + elapsed * rate)
        bucket.updated = now
        return bucket
