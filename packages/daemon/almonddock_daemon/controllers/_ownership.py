"""Maintains the leases on the targets placed on this host.

The placement assigns each target to one host, its owner.
"""

import asyncio
import functools
import random
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass
from datetime import timedelta

from almonddock_core.deployment import Deployment
from almonddock_core.model import (
    Clock,
    HostId,
    Member,
    MembershipView,
    TargetId,
)
from almonddock_core.owners import (
    Acquire,
    Holder,
    LeaseAction,
    LeaseManager,
    LeaseMessage,
    LeaseSettings,
    Placement,
    SendToHost,
    Yield,
)
from almonddock_daemon.controllers._targets import TargetController

#: Sends a message to another host; delivery is not guaranteed.
SendLeaseMessage = Callable[[HostId, LeaseMessage], None]

#: Lease durations after which a starting host is ready even if it has
#: not acquired all its targets.
READY_LEASE_PERIODS = 3


@dataclass(frozen=True, slots=True)
class OwnershipPorts:
    """What the ownership controller needs of its host."""

    send: SendLeaseMessage
    #: Whether the membership view is validated.
    is_validated: Callable[[], bool]


class OwnershipController:
    """Places targets and serves those that this host holds leases on."""

    def __init__(
        self,
        own: Member,
        clock: Clock,
        source: random.Random,
        targets: TargetController,
        ports: OwnershipPorts,
    ) -> None:
        settings = LeaseSettings()
        self._own = own.host
        self._clock = clock
        self._targets = targets
        self._ports = ports
        self._view_validated = False
        self._view = MembershipView(own.host)
        self._lease_manager = LeaseManager(
            Holder(own.host, own.incarnation),
            settings,
            clock.now(),
            source,
        )
        self._placement = Placement()
        self._deployment = Deployment()
        self._ready_at = clock.now() + settings.duration * READY_LEASE_PERIODS
        self._timer: asyncio.TimerHandle | None = None
        #: The owner of every target, as this host sees it.
        self.owners: Mapping[TargetId, HostId] = {}
        targets.subscribe_idle(self._release)

    @property
    def ready(self) -> bool:
        """Whether this host owns its targets, or has waited long enough."""
        wanted = {
            target
            for target, owner in self.owners.items()
            if owner == self._own
        }
        return (
            wanted <= self._targets.owned or self._clock.now() >= self._ready_at
        )

    def update(self, deployment: Deployment, view: MembershipView) -> None:
        """Recomputes the placement for new configurations and views."""
        self._deployment = deployment
        self.owners = self._placement.update(deployment, view.list_owners())
        self._targets.update(deployment)
        self._view = view
        self._claim_targets()
        self._set_timer()

    def receive(self, sender: HostId, message: LeaseMessage) -> None:
        """Handles a lease message of another host."""
        now = self._clock.now()
        self._carry_out(self._lease_manager.receive(sender, message, now))

    def close(self) -> None:
        """Stops renewing the leases."""
        if self._timer is not None:
            self._timer.cancel()

    def _claim_targets(self) -> None:
        """Requests leases, once the membership view has been validated."""
        self._view_validated = (
            self._view_validated or self._ports.is_validated()
        )
        if not self._view_validated:
            return
        members = tuple(self._view.members.values())
        actions = self._lease_manager.update_view(
            self._deployment,
            members,
            self.owners,
            self._clock.now(),
        )
        self._carry_out(actions)

    def _tick(self) -> None:
        if not self._view_validated:
            self._claim_targets()
        self._carry_out(self._lease_manager.tick(self._clock.now()))
        self._set_timer()

    def _set_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
        wait = max(
            timedelta(), self._lease_manager.next_wake() - self._clock.now()
        )
        self._timer = asyncio.get_running_loop().call_later(
            wait.total_seconds(),
            self._tick,
        )

    def _carry_out(self, actions: Iterable[LeaseAction]) -> None:
        for action in actions:
            match action:
                case SendToHost(host, message):
                    self._ports.send(host, message)
                case Acquire(target, allowed):
                    self._acquire(target, allowed)
                case Yield(target):
                    self._targets.drain(target)

    def _acquire(self, name: TargetId, allowed: int | None) -> None:
        target = self._deployment.targets.get(name)
        if target is not None:
            lease_end = functools.partial(
                self._lease_manager.find_lease_end, name
            )
            self._targets.acquire(target, allowed, lease_end)

    def _release(self, name: TargetId, allowed: int) -> None:
        now = self._clock.now()
        self._carry_out(self._lease_manager.release(name, allowed, now))
