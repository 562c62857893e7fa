"""What a host knows of its lease on one target."""

import enum
from datetime import timedelta

from almonddock_core.deployment import Target
from almonddock_core.model import HostId
from almonddock_core.owners._leases import (
    Acquire,
    GuardAction,
    Handover,
    LeaseSettings,
)
from almonddock_core.owners._quorum import VoterSet


class ClaimState(enum.Enum):
    """How far a host is with a target."""

    #: Placement wants it here; too few voters have agreed.
    WAITING = 'waiting'
    #: Enough voters have agreed.
    HELD = 'held'
    #: Placement wants it elsewhere; running work ends first.
    YIELDING = 'yielding'


class Claim:
    """The votes for one target and until when they suffice.

    When the set of voters changes, the set before must agree too until the
    change has settled on all hosts.
    """

    def __init__(self, target: Target, settings: LeaseSettings) -> None:
        self.target = target
        self.state = ClaimState.WAITING
        #: Rounds of requests that brought some votes but too few.
        self.failed_rounds = 0
        #: No requests are sent before this time.
        self.not_before = timedelta.min
        self._settings = settings
        self._current = VoterSet(())
        self._former: dict[VoterSet, timedelta] = {}
        self._votes: dict[HostId, timedelta] = {}
        self._handover: Handover | None = None
        self._handover_at = timedelta()
        # The end of the lease, and until when it needs no new look.
        self._end = timedelta.min
        self._end_known_until = timedelta.min

    @property
    def has_votes(self) -> bool:
        """Whether some voter has agreed."""
        return bool(self._votes)

    def set_voters(self, voters: VoterSet, now: timedelta) -> None:
        """Takes a new set of voters; the one before still has a say."""
        if voters != self._current:
            self.require(self._current, now)
            self._current = voters
            self._end_known_until = timedelta.min

    def require(self, voters: VoterSet, now: timedelta) -> None:
        """Requires a second set of voters to agree until it has settled."""
        if voters.voters:
            self._former[voters] = now + self._settings.settle
            self._end_known_until = timedelta.min

    def list_voters(self, now: timedelta) -> frozenset[HostId]:
        """Returns all hosts whose votes count."""
        return frozenset(
            voter for voters in self._list_sets(now) for voter in voters.voters
        )

    def add_vote(self, voter: HostId, asked_at: timedelta) -> None:
        """Records that a voter agreed to a request sent at a time."""
        self._votes[voter] = max(asked_at, self._votes.get(voter, asked_at))
        self._end_known_until = timedelta.min

    def clear_votes(self) -> None:
        """Forgets all votes, as after giving them back."""
        self._votes.clear()
        self._end_known_until = timedelta.min
        self.failed_rounds = 0

    def find_end(self, now: timedelta) -> timedelta:
        """Returns the end of the lease; ``timedelta.min`` without one."""
        if now >= self._end_known_until:
            self._end = self._compute_end(now)
            self._end_known_until = min(
                (until for until in self._former.values() if now < until),
                default=timedelta.max,
            )
        return self._end

    def take_handover(self, now: timedelta) -> int | None:
        """Returns the allowance that was handed over a short while ago."""
        handover = self._handover
        self._handover = None
        fresh = now - self._handover_at <= self._settings.duration
        return handover.allowed if handover and fresh else None

    def add_handover(self, handover: Handover, now: timedelta) -> None:
        """Keeps what the owner before said, for the time of acquisition."""
        self._handover = handover
        self._handover_at = now

    def acquire(self, now: timedelta) -> list[GuardAction]:
        """Starts to hold the lease once enough voters have agreed."""
        waiting = self.state is ClaimState.WAITING
        if not waiting or now >= self.find_end(now):
            return []
        self.state = ClaimState.HELD
        self.failed_rounds = 0
        return [Acquire(self.target.target, self.take_handover(now))]

    def _compute_end(self, now: timedelta) -> timedelta:
        ends = [
            voters.find_agreed(self._votes) for voters in self._list_sets(now)
        ]
        agreed = [one for one in ends if one is not None]
        if len(agreed) < len(ends):
            return timedelta.min
        return min(agreed) + self._settings.duration

    def _list_sets(self, now: timedelta) -> list[VoterSet]:
        former = [one for one, until in self._former.items() if now < until]
        return [self._current, *former]
