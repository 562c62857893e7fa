"""Hosts of the tier and what is known of each."""

import enum
from collections.abc import Mapping
from dataclasses import dataclass, field

from almonddock_core.model._identifiers import (
    DataCentreId,
    HostId,
    Incarnation,
)


class MemberState(enum.Enum):
    """The state of a host as another one sees it."""

    ALIVE = 'alive'
    #: Did not answer a probe; treated as alive until it is confirmed dead.
    SUSPECT = 'suspect'
    #: Announced that it is leaving; takes no new work.
    LEAVING = 'leaving'
    DEAD = 'dead'


@dataclass(frozen=True, slots=True)
class Member:
    """One host as seen by another."""

    host: HostId
    data_centre: DataCentreId
    #: Where it accepts connections of other hosts: ``address:port``.
    address: str
    incarnation: Incarnation = Incarnation(0)
    state: MemberState = MemberState.ALIVE


@dataclass(frozen=True, slots=True)
class MembershipView:
    """All hosts that one host knows, itself included."""

    own: HostId
    members: Mapping[HostId, Member] = field(default_factory=dict)

    def list_owners(self) -> tuple[Member, ...]:
        """Returns the members that may own targets, sorted by name.

        The owner of a target is the only host that dials it.
        """
        eligible = (MemberState.ALIVE, MemberState.SUSPECT)
        return tuple(
            member
            for _, member in sorted(self.members.items())
            if member.state in eligible
        )
