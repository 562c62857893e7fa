"""Deals single requests to the new version out over all hosts.

At 26 hosts a small share of a service's requests is less than one a host, so
shares that each host rounds by itself would be none, or far too many. Permits
are numbered by time; all hosts know from the number whose turn it is.
"""

import zlib
from collections.abc import Sequence
from datetime import timedelta

#: The permits that a host without requests keeps for later.
MAX_KEPT = 2


class Permits:
    """The permits of one host in one stage."""

    def __init__(
        self,
        host: str,
        hosts: Sequence[str],
        seed: str,
        rate: float,
        began: timedelta,
    ) -> None:
        """Takes the permits of all hosts a second, and when the stage began."""
        ranked = sorted(
            {host, *hosts},
            key=lambda name: zlib.crc32(f'{seed} {name}'.encode()),
        )
        self._turn = ranked.index(host)
        self._hosts = len(ranked)
        self._rate = rate
        self._began = began
        #: Permits that were due to this host so far.
        self._dealt = 0
        self._kept = 0

    def has_one(self, now: timedelta) -> bool:
        """Whether this host may send one request to the new version now."""
        passed = (now - self._began).total_seconds()
        numbered = int(max(0, passed) * self._rate)
        dealt = (numbered + self._hosts - 1 - self._turn) // self._hosts
        self._kept = min(MAX_KEPT, self._kept + dealt - self._dealt)
        self._dealt = dealt
        return self._kept > 0

    def use(self) -> None:
        """Counts a request that was sent."""
        self._kept -= 1
