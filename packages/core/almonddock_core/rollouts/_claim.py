"""Which host decides on roll-outs.

One key of the store names it. The host that decides writes it again with each
of its writes and several times in the time after which another takes over;
each write holds only if the key has not changed since the host's last one. A
host that wakes from a freeze can therefore not write an old verdict.
"""

import zlib
from collections.abc import Iterable
from dataclasses import dataclass
from datetime import timedelta

from almonddock_core.model import get_era

#: The pause between two writes of the host that decides.
RENEWAL_MS = 600
RENEWAL = timedelta(milliseconds=RENEWAL_MS)

#: Without a write for so long, another host takes over.
TAKEOVER_MS = 1600
TAKEOVER = timedelta(milliseconds=TAKEOVER_MS)

#: The others follow one after the other, so that one of them writes first.
STAGGER_MS = 250
STAGGER = timedelta(milliseconds=STAGGER_MS)
MAX_TURN = 6


@dataclass(slots=True)
class ClaimView:
    """What one host knows of the claim."""

    #: The name of this host.
    host: str
    #: What it writes: its name, and a number that differs between its runs.
    owner: str
    #: The revision of the key, 0 if it does not exist.
    revision: int = 0
    #: Who wrote it; empty if nobody did.
    holder: str = ''
    #: When this host saw it change, by its own clock.
    changed_at: timedelta = timedelta()
    #: When this host last wrote it.
    written_at: timedelta | None = None
    #: The era of the store.
    era: int = 0

    @property
    def is_held(self) -> bool:
        """Whether this host decides, as far as it knows."""
        return self.holder == self.owner

    def observe(self, holder: str, revision: int, now: timedelta) -> None:
        """Takes in what the store holds."""
        if revision > self.revision and get_era(revision) >= self.era:
            self.revision = revision
            self.holder = holder
            self.changed_at = now

    def enter_era(self, era: int, now: timedelta) -> None:
        """Forgets the claim, which a store restored from a copy may lack."""
        self.era = era
        self.revision = 0
        self.holder = ''
        self.changed_at = now

    def give_up(self, now: timedelta) -> None:
        """Records that a write did not hold: another host decides."""
        self.holder = 'another host'
        self.changed_at = now

    def record_write(self, revision: int, now: timedelta) -> None:
        """Records a write of this host that the store has taken."""
        self.observe(self.owner, revision, now)
        self.written_at = now

    def may_take(
        self,
        hosts: Iterable[str],
        waiting_since: timedelta,
        now: timedelta,
        *,
        is_urgent: bool = False,
    ) -> bool:
        """Whether this host should write the claim to decide from now on.

        If it ``is_urgent``, also while another host decides.

        ``waiting_since`` is when there was first something to decide: without
        that, the host that decides writes nothing.
        """
        ranked = sorted(
            {self.host, *hosts}, key=lambda name: zlib.crc32(name.encode())
        )
        turn = min(MAX_TURN, ranked.index(self.host))
        if is_urgent:
            return now - waiting_since >= STAGGER * turn
        wait = TAKEOVER if self.holder else timedelta()
        since = max(self.changed_at, waiting_since)
        return now - since >= wait + STAGGER * turn

    def is_renewal_due(self, now: timedelta) -> bool:
        """Whether the host that decides should write again."""
        return self.written_at is None or now - self.written_at >= RENEWAL
