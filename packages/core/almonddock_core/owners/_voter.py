"""Grants leases to holders as one of several voters."""

from dataclasses import dataclass, replace
from datetime import timedelta

from almonddock_core.model import HostId, TargetId
from almonddock_core.owners._leases import (
    Holder,
    LeaseRelease,
    LeaseReply,
    LeaseRequest,
    LeaseSettings,
    SendToHost,
)

#: How many outdated host lists a voter remembers at most.
MAX_OUTDATED_LISTS = 64


@dataclass(frozen=True, slots=True)
class _Grant:
    holder: Holder
    until: timedelta
    #: The number of the request that was granted or refused.
    number: int


class LeaseVoter:
    """Grants each target to one holder at a time.

    After a start a voter grants nothing for the duration of a lease and the
    allowance for clock drift, because it does not know what it granted
    before. It refuses a request whose host
    list has been outdated for the transition time.
    """

    def __init__(
        self,
        own: HostId,
        settings: LeaseSettings,
        now: timedelta,
    ) -> None:
        self._own = own
        self._transition = settings.transition
        self._grant_duration = settings.duration + settings.drift
        self._abstains_until = now + self._grant_duration
        self._grants: dict[TargetId, _Grant] = {}
        self._host_list: int | None = None
        #: Outdated host lists, with the time from which each is refused.
        self._outdated: dict[int, timedelta] = {}
        #: The last refused request of each target.
        self._refused: dict[TargetId, _Grant] = {}

    def learn_host_list(self, digest: int, now: timedelta) -> None:
        """Sets the current host list; the previous one becomes outdated."""
        if self._host_list is not None and digest != self._host_list:
            self._outdated[self._host_list] = now + self._transition
        self._outdated.pop(digest, None)
        self._host_list = digest
        while len(self._outdated) > MAX_OUTDATED_LISTS:
            self._outdated.pop(next(iter(self._outdated)))

    def vote(self, request: LeaseRequest, now: timedelta) -> LeaseReply:
        """Grants the targets that no other holder has."""
        granted = []
        grant = _Grant(
            request.holder, now + self._grant_duration, request.number
        )
        for target in request.targets:
            if self._is_free(target, request, now):
                self._grants[target] = grant
                granted.append(target)
            else:
                self._refused[target] = grant
        return LeaseReply(self._own, request.number, tuple(granted))

    def free(self, release: LeaseRelease, now: timedelta) -> list[SendToHost]:
        """Frees targets that their holder releases.

        A holder that was refused recently is granted the target at once.
        """
        actions: list[SendToHost] = []
        for target in release.targets:
            if self._remove_grant(target, release):
                actions.extend(self._grant_waiting(target, now))
        return actions

    def prune(self, now: timedelta) -> None:
        """Removes expired grants and refusals."""
        self._grants = {
            target: grant
            for target, grant in self._grants.items()
            if now < grant.until
        }
        self._refused = {
            target: grant
            for target, grant in self._refused.items()
            if now < grant.until
        }

    def _remove_grant(self, target: TargetId, release: LeaseRelease) -> bool:
        refused = self._refused.get(target)
        if refused is not None and refused.holder == release.holder:
            self._refused.pop(target)
        grant = self._grants.get(target)
        if grant is None or grant.holder != release.holder:
            return False
        if grant.number > release.number:
            return False
        self._grants.pop(target)
        return True

    def _grant_waiting(
        self,
        target: TargetId,
        now: timedelta,
    ) -> list[SendToHost]:
        waiting = self._refused.pop(target, None)
        if waiting is None or now >= waiting.until:
            return []
        self._grants[target] = replace(
            waiting, until=now + self._grant_duration
        )
        reply = LeaseReply(self._own, waiting.number, (target,))
        return [SendToHost(waiting.holder.host, reply)]

    def _is_free(
        self,
        target: TargetId,
        request: LeaseRequest,
        now: timedelta,
    ) -> bool:
        if now < self._abstains_until:
            return False
        if now >= self._outdated.get(request.host_list, timedelta.max):
            return False
        grant = self._grants.get(target)
        if grant is None or grant.holder == request.holder:
            return True
        return now >= grant.until
