"""Probes that wait for an answer, and whose turn it is."""

import random
from collections.abc import Iterable
from dataclasses import dataclass
from datetime import timedelta

from almonddock_core.model import HostId


@dataclass(slots=True)
class OpenProbe:
    """A probe without an answer yet."""

    host: HostId
    sent: timedelta
    #: Whether other hosts have been asked to probe too.
    helped: bool = False
    #: For whom the probe is made, with that host's own number.
    requester: HostId | None = None
    requester_number: int = 0


class ProbeRound:
    """Gives every host its turn once in each round, in random order."""

    def __init__(self, source: random.Random) -> None:
        self._random = source
        self._turns: list[HostId] = []

    def choose(self, hosts: Iterable[HostId]) -> HostId | None:
        """Returns the next host; a new round covers the hosts given."""
        if not self._turns:
            self._turns = list(hosts)
            self._random.shuffle(self._turns)
        return self._turns.pop() if self._turns else None
