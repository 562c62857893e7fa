"""Ensures that only one host at a time sends work to a target."""

import random
from collections import defaultdict
from collections.abc import Iterable, Mapping, Sequence
from datetime import timedelta

from almonddock_core.deployment import Deployment
from almonddock_core.model import HostId, Member, TargetId
from almonddock_core.owners._claims import Claim, ClaimState
from almonddock_core.owners._leases import (
    Acquire,
    Handover,
    Holder,
    LeaseAction,
    LeaseMessage,
    LeaseRelease,
    LeaseReply,
    LeaseRequest,
    LeaseSettings,
    SendToHost,
    Yield,
)
from almonddock_core.owners._quorum import choose_voters, hash_host_list
from almonddock_core.owners._requests import RequestLog
from almonddock_core.owners._voter import LeaseVoter

#: Renewals with some votes but no majority until the votes are released.
MAX_FAILED_ROUNDS = 3


def apply_handover(
    claims: Mapping[TargetId, Claim],
    handover: Handover,
    now: timedelta,
) -> list[LeaseAction]:
    """Applies the handover of the previous owner, now or at acquisition."""
    claim = claims.get(handover.target)
    if claim is None:
        return []
    if claim.state is ClaimState.HELD:
        return [Acquire(handover.target, handover.allowed)]
    claim.add_handover(handover, now)
    return []


class LeaseManager:
    """Holds leases on the targets of one host and votes on those of others.

    Call :meth:`update_view` for each new placement, :meth:`receive` for each
    message of another host and :meth:`tick` at :meth:`next_wake`; carry out
    the returned actions in order. Call :meth:`find_lease_end` with a
    newly read time before each dispatch: work may be sent only before the end
    that it returns, and must end at the target before it.

    A lease needs the votes of a majority of the target's voters. Each voter
    grants a target to one holder at a time, so two holders never overlap. A
    host that was paused finds its leases expired when it next reads the
    clock.
    """

    def __init__(
        self,
        own: Holder,
        settings: LeaseSettings,
        now: timedelta,
        rng: random.Random,
    ) -> None:
        self._own = own
        self._settings = settings
        self._random = rng
        self._voter = LeaseVoter(own.host, settings, now)
        self._claims: dict[TargetId, Claim] = {}
        self._owners: Mapping[TargetId, HostId] = {}
        self._request_log = RequestLog(settings.duration)
        self._next_renewal = now
        self._has_view = False
        self._host_list = 0

    def find_lease_end(self, target: TargetId, now: timedelta) -> timedelta:
        """Returns the end of the held lease, ``timedelta.min`` without one."""
        claim = self._claims.get(target)
        if claim is None or claim.state is not ClaimState.HELD:
            return timedelta.min
        return claim.find_end(now)

    def update_view(
        self,
        deployment: Deployment,
        members: Sequence[Member],
        owners: Mapping[TargetId, HostId],
        now: timedelta,
    ) -> list[LeaseAction]:
        """Claims the targets placed on this host and yields the others."""
        self._owners = owners
        self._host_list = hash_host_list(members)
        self._voter.learn_host_list(self._host_list, now)
        self._expire_claims(now)
        actions = self._yield_moved(now)
        fresh = [
            name
            for name, owner in owners.items()
            if owner == self._own.host and name not in self._claims
        ]
        for name in fresh:
            target = deployment.targets[name]
            self._claims[name] = Claim(target, self._settings)
        self._choose_voters(deployment, members, now)
        self._has_view = True
        return actions + self._request(fresh, now)

    def receive(
        self,
        sender: HostId,
        message: LeaseMessage,
        now: timedelta,
    ) -> list[LeaseAction]:
        """Handles a message from another host."""
        self._expire_claims(now)
        match message:
            case LeaseRequest():
                reply = self._voter.vote(message, now)
                return self._send([SendToHost(sender, reply)], now)
            case LeaseRelease():
                return self._send(self._voter.free(message, now), now)
            case LeaseReply():
                return self._count_votes(message, now)
            case Handover():
                return apply_handover(self._claims, message, now)

    def tick(self, now: timedelta) -> list[LeaseAction]:
        """Renews the leases and releases votes without a majority."""
        self._expire_claims(now)
        if now < self._next_renewal:
            return []
        self._next_renewal = now + self._settings.renewal
        self._voter.prune(now)
        self._request_log.prune(now)
        actions = self._release_failed(now)
        return actions + self._request(tuple(self._claims), now)

    def next_wake(self) -> timedelta:
        """Returns the time at which :meth:`tick` is due."""
        return self._next_renewal

    def release(
        self,
        target: TargetId,
        allowed: int,
        now: timedelta,
    ) -> list[LeaseAction]:
        """Releases a yielded lease once nothing runs at the target.

        The next owner is told the current concurrency limit, unless the
        lease has already expired, for example during a pause of this host.
        """
        claim = self._claims.get(target)
        if claim is None or claim.state is not ClaimState.YIELDING:
            return []
        actions: list[LeaseAction] = []
        successor = self._owners.get(target, self._own.host)
        if successor != self._own.host and now < claim.find_end(now):
            handover = Handover(target, allowed)
            actions.append(SendToHost(successor, handover))
        actions += self._send_release(claim, now)
        if successor == self._own.host:
            claim.state = ClaimState.WAITING
        else:
            self._claims.pop(target, None)
        return actions

    def _choose_voters(
        self,
        deployment: Deployment,
        members: Sequence[Member],
        now: timedelta,
    ) -> None:
        others = [one for one in members if one.host != self._own.host]
        count = self._settings.voters
        for name, claim in self._claims.items():
            target = deployment.targets.get(name, claim.target)
            claim.set_voters(
                choose_voters(deployment, target, members, count),
                now,
            )
            # Hosts that do not know this one yet choose voters without it.
            if not self._has_view:
                claim.require_agreement(
                    choose_voters(deployment, target, others, count),
                    now,
                )

    def _expire_claims(self, now: timedelta) -> None:
        for name, claim in tuple(self._claims.items()):
            if now < claim.find_end(now):
                continue
            if self._owners.get(name) == self._own.host:
                claim.state = ClaimState.WAITING
            elif claim.state is ClaimState.YIELDING:
                self._claims.pop(name)

    def _yield_moved(self, now: timedelta) -> list[LeaseAction]:
        actions: list[LeaseAction] = []
        for name, claim in tuple(self._claims.items()):
            if self._owners.get(name) == self._own.host:
                continue
            if claim.state is ClaimState.HELD:
                claim.state = ClaimState.YIELDING
                actions.append(Yield(name))
            elif claim.state is ClaimState.WAITING:
                actions.extend(self._send_release(claim, now))
                self._claims.pop(name)
        return actions

    def _request(
        self,
        names: Iterable[TargetId],
        now: timedelta,
    ) -> list[LeaseAction]:
        by_voter: dict[HostId, list[TargetId]] = defaultdict(list)
        for name in names:
            claim = self._claims[name]
            if claim.state is ClaimState.YIELDING or now < claim.not_before:
                continue
            for voter in claim.list_voters(now):
                by_voter[voter].append(name)
        requests = [
            SendToHost(
                host,
                LeaseRequest(
                    self._own,
                    self._request_log.number_request(now),
                    self._host_list,
                    tuple(targets),
                ),
            )
            for host, targets in sorted(by_voter.items())
        ]
        return self._send(requests, now)

    def _send_release(
        self,
        claim: Claim,
        now: timedelta,
    ) -> list[LeaseAction]:
        claim.clear_votes()
        name = claim.target.target
        number = self._request_log.number_release(name)
        release = LeaseRelease(self._own, number, (name,))
        voters = sorted(claim.list_voters(now))
        return self._send([SendToHost(one, release) for one in voters], now)

    def _send(
        self,
        sends: Iterable[SendToHost],
        now: timedelta,
    ) -> list[LeaseAction]:
        """Handles the messages to this host and returns the others."""
        actions: list[LeaseAction] = []
        own = self._own.host
        for send in sends:
            if send.host == own:
                actions.extend(self.receive(own, send.message, now))
            else:
                actions.append(send)
        return actions

    def _count_votes(
        self,
        reply: LeaseReply,
        now: timedelta,
    ) -> list[LeaseAction]:
        actions: list[LeaseAction] = []
        for name in reply.granted:
            asked_at = self._request_log.find_sent(reply.number, name)
            claim = self._claims.get(name)
            if asked_at is None or claim is None:
                continue
            claim.add_vote(reply.voter, asked_at)
            actions.extend(claim.acquire(now))
        return actions

    def _release_failed(self, now: timedelta) -> list[LeaseAction]:
        """Releases votes without a majority, so that another host may win."""
        actions: list[LeaseAction] = []
        for claim in tuple(self._claims.values()):
            if claim.state is not ClaimState.WAITING or not claim.has_votes:
                continue
            claim.failed_rounds += 1
            if claim.failed_rounds >= MAX_FAILED_ROUNDS:
                actions.extend(self._send_release(claim, now))
                pause = 2 * self._random.random()
                claim.not_before = now + self._settings.renewal * pause
        return actions
