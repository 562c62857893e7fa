"""Chooses the hosts that vote on a target and counts their majority."""

from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass
from datetime import timedelta

import xxhash

from almonddock_core.deployment import Deployment, Target
from almonddock_core.model import HostId, Member
from almonddock_core.owners._groups import list_nearby_hosts
from almonddock_core.owners._placement import compute_score

#: In a data centre with fewer hosts, the hosts of its region vote as well.
MIN_VOTING_HOSTS = 3


@dataclass(frozen=True, slots=True)
class VoterSet:
    """The hosts that vote on one target, in the order of preference.

    With an even number of voters the first has two votes, so that in an even
    network partition the side with the first voter has a majority.
    """

    voters: tuple[HostId, ...]

    def find_majority_time(
        self,
        votes: Mapping[HostId, timedelta],
    ) -> timedelta | None:
        """Returns the latest time since which a majority has agreed.

        ``votes`` maps each voter to the time of its last vote. Returns None
        without a majority.
        """
        times = sorted(
            (votes[voter] for voter in self._list_votes() if voter in votes),
            reverse=True,
        )
        total = len(self._list_votes())
        needed = total // 2 + 1
        return times[needed - 1] if len(times) >= needed else None

    def _list_votes(self) -> tuple[HostId, ...]:
        extra = () if len(self.voters) % 2 else self.voters[:1]
        return self.voters + extra


def hash_host_list(members: Iterable[Member]) -> int:
    """Returns a digest of the names in a host list."""
    names = sorted(member.host for member in members)
    return xxhash.xxh3_64_intdigest('\0'.join(names).encode())


def choose_voters(
    deployment: Deployment,
    target: Target,
    members: Sequence[Member],
    count: int,
) -> VoterSet:
    """Returns the voters on a target: hosts near it, by rendezvous hash.

    Dead hosts keep their vote until they are removed from the host list, so
    that failure detection does not change the voters. The hosts of the
    target's own data centre come first.
    """
    near = frozenset(
        list_nearby_hosts(
            deployment, target.data_centre, members, MIN_VOTING_HOSTS
        ),
    )
    ranked = sorted(
        (member for member in members if member.host in near),
        key=lambda member: (
            member.data_centre == target.data_centre,
            compute_score(target.target, member.host),
        ),
        reverse=True,
    )
    return VoterSet(tuple(member.host for member in ranked[:count]))
