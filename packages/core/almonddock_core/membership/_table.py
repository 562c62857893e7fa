"""The table of known members and the precedence of updates."""

from collections.abc import Iterator
from dataclasses import replace
from datetime import timedelta
from types import MappingProxyType

from almonddock_core.model import (
    HostId,
    Incarnation,
    Member,
    MembershipView,
    MemberState,
)

#: Within one incarnation, a later state here overrides an earlier one.
_STATE_PRECEDENCE = MappingProxyType(
    {
        state: rank
        for rank, state in enumerate(
            (
                MemberState.ALIVE,
                MemberState.SUSPECT,
                MemberState.LEAVING,
                MemberState.DEAD,
            ),
        )
    },
)


class MemberTable:
    """Members by host; within an incarnation states only move towards dead."""

    def __init__(self, own: Member) -> None:
        self.own = own
        self._members: dict[HostId, Member] = {own.host: own}
        self._dead_since: dict[HostId, timedelta] = {}
        self._view: MembershipView | None = None

    def __len__(self) -> int:
        """Returns the number of members, including dead ones."""
        return len(self._members)

    @property
    def view(self) -> MembershipView:
        """An immutable view, the same object until a member changes."""
        if self._view is None:
            self._view = MembershipView(self.own.host, dict(self._members))
        return self._view

    def find(self, host: HostId) -> Member | None:
        """Returns the entry of a host, None if it is unknown."""
        return self._members.get(host)

    def put(self, member: Member, now: timedelta) -> None:
        """Replaces the entry of a host."""
        self._members[member.host] = member
        self._view = None
        if member.host == self.own.host:
            self.own = member
        if member.state is MemberState.DEAD:
            self._dead_since.setdefault(member.host, now)
        else:
            self._dead_since.pop(member.host, None)

    def is_newer(self, member: Member) -> bool:
        """Returns whether an update overrides the known entry."""
        known = self._members.get(member.host)
        if known is None:
            return member.state is not MemberState.DEAD
        if member.incarnation != known.incarnation:
            return member.incarnation > known.incarnation
        return _STATE_PRECEDENCE[member.state] > _STATE_PRECEDENCE[known.state]

    def refute(self, member: Member, now: timedelta) -> bool:
        """Refutes a wrong state of this host with a larger incarnation.

        Returns whether the update needed refuting.
        """
        own = self.own
        older = member.incarnation < own.incarnation
        if (
            older
            or _STATE_PRECEDENCE[member.state] <= _STATE_PRECEDENCE[own.state]
        ):
            return False
        larger = Incarnation(member.incarnation + 1)
        self.put(replace(own, incarnation=larger), now)
        return True

    def list_others(self) -> Iterator[Member]:
        """Yields all members except this host and dead ones."""
        for member in self._members.values():
            if self._is_live_peer(member):
                yield member

    def list_dead(self) -> list[HostId]:
        """Returns the dead members."""
        return list(self._dead_since)

    def forget_dead(self, before: timedelta, listed: frozenset[HostId]) -> bool:
        """Removes members dead since ``before`` or longer, unless listed.

        Returns whether any were removed.
        """
        gone = [
            host
            for host, since in self._dead_since.items()
            if since <= before and host not in listed
        ]
        for host in gone:
            self._members.pop(host)
            self._dead_since.pop(host)
            self._view = None
        return bool(gone)

    def _is_live_peer(self, member: Member) -> bool:
        if member.state is MemberState.DEAD:
            return False
        return member.host != self.own.host
