"""Pending probes and the order in which members are probed."""

import random
from collections.abc import Iterable
from dataclasses import dataclass
from datetime import timedelta

from almonddock_core.model import HostId


@dataclass(slots=True)
class PendingProbe:
    """A probe that waits for its reply."""

    host: HostId
    sent: timedelta
    #: Whether other hosts have been asked for an indirect probe.
    indirect_requested: bool = False
    #: The host that requested this indirect probe, and the number of its own
    #: probe; None for a direct probe.
    requester: HostId | None = None
    requester_number: int = 0


class ProbeRound:
    """Selects every host once in each round, in random order."""

    def __init__(self, rng: random.Random) -> None:
        self._random = rng
        self._remaining: list[HostId] = []

    def choose(self, hosts: Iterable[HostId]) -> HostId | None:
        """Returns the next host; a new round covers the hosts given."""
        if not self._remaining:
            self._remaining = list(hosts)
            self._random.shuffle(self._remaining)
        return self._remaining.pop() if self._remaining else None
