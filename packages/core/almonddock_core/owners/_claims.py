"""The state of a host's lease on one target."""

import enum
from datetime import timedelta

from almonddock_core.deployment import Target
from almonddock_core.model import HostId
from almonddock_core.owners._leases import (
    Acquire,
    Handover,
    LeaseAction,
    LeaseSettings,
)
from almonddock_core.owners._quorum import VoterSet


class ClaimState(enum.Enum):
    """The state of a host's claim to a target."""

    #: Placement assigns the target to this host; a majority is missing.
    WAITING = 'waiting'
    #: A majority of the voters has granted the lease.
    HELD = 'held'
    #: Placement assigns it to another host; running work must end first.
    YIELDING = 'yielding'


class Claim:
    """Collects the votes for one target and computes the end of its lease.

    After the set of voters changes, a majority of the previous set is also
    required until all hosts are expected to use the new one.
    """

    def __init__(self, target: Target, settings: LeaseSettings) -> None:
        self.target = target
        self.state = ClaimState.WAITING
        #: Consecutive renewals with some votes but no majority.
        self.failed_rounds = 0
        #: No requests are sent before this time.
        self.not_before = timedelta.min
        self._settings = settings
        self._current = VoterSet(())
        self._previous: dict[VoterSet, timedelta] = {}
        self._votes: dict[HostId, timedelta] = {}
        self._handover: Handover | None = None
        self._handover_at = timedelta()
        # The cached end of the lease, and until when the cache is valid.
        self._end = timedelta.min
        self._end_valid_until = timedelta.min

    @property
    def has_votes(self) -> bool:
        """Whether any voter has granted the lease."""
        return bool(self._votes)

    def set_voters(self, voters: VoterSet, now: timedelta) -> None:
        """Sets the voters; the previous set must also agree for a while."""
        if voters != self._current:
            self.require_agreement(self._current, now)
            self._current = voters
            self._end_valid_until = timedelta.min

    def require_agreement(self, voters: VoterSet, now: timedelta) -> None:
        """Requires a second set of voters to agree for the transition time."""
        if voters.voters:
            self._previous[voters] = now + self._settings.transition
            self._end_valid_until = timedelta.min

    def list_voters(self, now: timedelta) -> frozenset[HostId]:
        """Returns all hosts whose votes count."""
        return frozenset(
            voter for voters in self._list_sets(now) for voter in voters.voters
        )

    def add_vote(self, voter: HostId, asked_at: timedelta) -> None:
        """Records that a voter granted a request sent at ``asked_at``."""
        self._votes[voter] = max(asked_at, self._votes.get(voter, asked_at))
        self._end_valid_until = timedelta.min

    def clear_votes(self) -> None:
        """Removes all votes, for example once they are released."""
        self._votes.clear()
        self._end_valid_until = timedelta.min
        self.failed_rounds = 0

    def find_end(self, now: timedelta) -> timedelta:
        """Returns the end of the lease; ``timedelta.min`` without one."""
        if now >= self._end_valid_until:
            self._end = self._compute_end(now)
            self._end_valid_until = min(
                (until for until in self._previous.values() if now < until),
                default=timedelta.max,
            )
        return self._end

    def take_handover(self, now: timedelta) -> int | None:
        """Removes and returns a recent handover's concurrency limit."""
        handover = self._handover
        self._handover = None
        fresh = now - self._handover_at <= self._settings.duration
        return handover.allowed if handover and fresh else None

    def add_handover(self, handover: Handover, now: timedelta) -> None:
        """Keeps the handover of the previous owner until acquisition."""
        self._handover = handover
        self._handover_at = now

    def acquire(self, now: timedelta) -> list[LeaseAction]:
        """Acquires the lease once a majority has granted it."""
        waiting = self.state is ClaimState.WAITING
        if not waiting or now >= self.find_end(now):
            return []
        self.state = ClaimState.HELD
        self.failed_rounds = 0
        return [Acquire(self.target.target, self.take_handover(now))]

    def _compute_end(self, now: timedelta) -> timedelta:
        ends = [
            voters.find_majority_time(self._votes)
            for voters in self._list_sets(now)
        ]
        agreed = [one for one in ends if one is not None]
        if len(agreed) < len(ends):
            return timedelta.min
        return min(agreed) + self._settings.duration

    def _list_sets(self, now: timedelta) -> list[VoterSet]:
        previous = [one for one, until in self._previous.items() if now < until]
        return [self._current, *previous]
