"""How much a host may send to a target in a cold start.

Load it answers: a target that starts, or turns cold without notice, falls
over under its full load, and every host would send its share at once. All
hosts together keep to what the target bears.
"""

import zlib
from collections.abc import Collection
from dataclasses import dataclass
from datetime import timedelta

#: Hosts that send to one cold target. Each may send one request ahead of its
#: rate, so few hosts keep their sum near what the target bears.
HOSTS_PER_TARGET = 4

#: Requests that a host may send ahead of its rate.
BURST = 1


@dataclass(slots=True)
class _Allowance:
    tokens: float
    updated: timedelta


class ColdGuard:
    """Bounds the requests of this host to each cold target."""

    def __init__(self, host: str, peers: Collection[str] = ()) -> None:
        """Takes the names of this host and of the others."""
        self._host = host
        self._peers = frozenset(peers)
        self._allowances: dict[str, _Allowance] = {}
        self._senders: dict[str, list[str]] = {}

    def note_peers(self, peers: Collection[str]) -> None:
        """Takes the names of the other hosts."""
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

        ``rate`` is what the target bears, in requests a second from all
        hosts; 0 if no bound is stated. A target that ``was_warm`` has had its
        usual load a moment ago, so nothing goes ahead of the rate.
        """
        if not rate:
            return True
        senders = self._senders.get(target_id)
        if senders is None:
            senders = self._choose_senders(target_id)
            self._senders[target_id] = senders
        if self._host not in senders:
            return False
        if target_id not in self._allowances:
            ahead = 0 if was_warm else BURST
            self._allowances[target_id] = _Allowance(ahead, now)
        return self._refill(target_id, rate / len(senders), now).tokens >= 1

    def forget_warm(self, cold: Collection[str]) -> None:
        """Drops the counts of targets that are no longer cold."""
        for target_id in self._allowances.keys() - set(cold):
            del self._allowances[target_id]

    def note_sent(self, target_id: str) -> None:
        """Counts a request that was sent to a cold target."""
        allowance = self._allowances.get(target_id)
        if allowance is not None:
            allowance.tokens -= 1

    def _choose_senders(self, target_id: str) -> list[str]:
        """Returns the same few hosts on every host that knows the same."""
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
    ) -> _Allowance:
        allowance = self._allowances[target_id]
        elapsed = (now - allowance.updated).total_seconds()
        allowance.tokens = min(BURST, allowance.tokens + elapsed * rate)
        allowance.updated = now
        return allowance
