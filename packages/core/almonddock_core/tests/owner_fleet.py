"""Simulates hosts with lease managers and one target, in virtual time."""

import functools
import heapq
import itertools
import random
from collections.abc import Callable, Iterable
from dataclasses import replace
from datetime import timedelta

from almonddock_core.model import (
    AttemptId,
    HostId,
    Incarnation,
    LoadReport,
    Member,
    MemberState,
    Reason,
    ReplyStatus,
    SubQuery,
    SubReply,
)
from almonddock_core.owners import (
    Acquire,
    CancelAtTarget,
    Dispatch,
    Holder,
    LeaseAction,
    LeaseManager,
    LeaseMessage,
    LeaseSettings,
    OwnedTarget,
    OwnerAction,
    OwnerSettings,
    SendToHost,
    Yield,
    place_targets,
)
from almonddock_core.tests.owner_cases import (
    TARGET,
    make_deployment,
    make_members,
    make_reply,
    make_sub,
    millis,
)

ARRIVAL_INTERVAL = millis(15)
TICK_INTERVAL = millis(50)
SERVICE = millis(20)
DEADLINE = millis(900)

Event = tuple[timedelta, int, Callable[[], None]]


class FakeTarget:
    """Counts requests, and those above its concurrency ``limit``.

    The limit is ``cold_slots`` until a test raises it.
    """

    def __init__(self, fleet: 'Fleet', slots: int, cold_slots: int) -> None:
        self._fleet = fleet
        self._running: dict[AttemptId, FakeHost] = {}
        self.slots = slots
        self.limit = cold_slots
        self.served = 0
        self.excess = 0
        self.peak = 0

    def receive(self, sub: SubQuery, left: timedelta, host: 'FakeHost') -> None:
        self._running[sub.attempt_id] = host
        self.peak = max(self.peak, len(self._running))
        self.excess += len(self._running) > self.limit
        hangs = self._fleet.random.random() < self._fleet.hang_share
        lasts = left if hangs else min(left, SERVICE)
        status = ReplyStatus.FAILED if hangs else ReplyStatus.OK
        self._fleet.after(lasts, lambda: self.end(sub, status))

    def end(
        self,
        sub: SubQuery,
        status: ReplyStatus,
        reason: Reason = Reason.NONE,
    ) -> None:
        load_report = LoadReport(
            self.limit < self.slots, in_flight=len(self._running)
        )
        host = self._running.pop(sub.attempt_id, None)
        if host is None:
            return
        self.served += 1
        reply = make_reply(sub, status, reason, load_report)
        self._fleet.deliver(host, lambda: host.receive_reply(reply))


class FakeHost:
    """A host with its lease manager, its owned target and its arriving load."""

    def __init__(
        self,
        fleet: 'Fleet',
        member: Member,
        members: list[Member],
    ) -> None:
        self.host = member.host
        self.paused = False
        self.dead = False
        self.backlog: list[Callable[[], None]] = []
        self.owned: OwnedTarget | None = None
        self._fleet = fleet
        self._lease_manager = LeaseManager(
            Holder(member.host, Incarnation(fleet.number())),
            fleet.leases,
            fleet.now,
            random.Random(fleet.number()),
        )
        self.update_view(members)
        self.run_ticks()

    def update_view(self, members: list[Member]) -> None:
        owners = place_targets(self._fleet.deployment, members)
        deployment = self._fleet.deployment
        now = self._fleet.now
        actions = self._lease_manager.update_view(
            deployment, members, owners, now
        )
        if not self._fleet.use_leases:
            mine = owners.get(TARGET) == self.host
            actions += [Acquire(TARGET) if mine else Yield(TARGET)]
        self._act(actions)

    def run_ticks(self) -> None:
        now = self._fleet.now
        self._act(self._lease_manager.tick(now))
        if self.owned is not None:
            self._run(self.owned.tick(now))
        self._fleet.after(
            TICK_INTERVAL, lambda: self._fleet.wake(self, self.run_ticks)
        )

    def arrive(self, sub: SubQuery) -> None:
        if self.owned is not None:
            self._run(self.owned.offer(sub, self._fleet.now))

    def receive_reply(self, reply: SubReply) -> None:
        if self.owned is not None:
            self._run(self.owned.receive_reply(reply, self._fleet.now))

    def receive(self, sender: HostId, message: LeaseMessage) -> None:
        self._act(self._lease_manager.receive(sender, message, self._fleet.now))

    def _act(self, actions: list[LeaseAction]) -> None:
        for action in actions:
            match action:
                case SendToHost():
                    self._fleet.send(self, action)
                case Acquire():
                    self._acquire(action)
                case Yield():
                    self._yield()

    def _acquire(self, action: Acquire) -> None:
        now = self._fleet.now
        if self.owned is None:
            self.owned = OwnedTarget(
                self._fleet.deployment.targets[TARGET],
                OwnerSettings(),
                now,
                taken_over=False,
                **self._fleet.build_lease_options(self._lease_manager),
            )
        self.owned.resume(action.allowed, now)

    def _yield(self) -> None:
        if self.owned is not None:
            now = self._fleet.now
            self._run(self.owned.close(Reason.NOT_OWNER, now))
            self._release()

    def _release(self) -> None:
        load = self.owned and self.owned.measure(self._fleet.now)
        if load and not load.open and not load.in_flight:
            now = self._fleet.now
            self._act(self._lease_manager.release(TARGET, load.allowed, now))

    def _run(self, actions: list[OwnerAction]) -> None:
        target = self._fleet.target
        now = self._fleet.now
        for action in actions:
            if isinstance(action, Dispatch):
                sub = action.sub
                self._fleet.call(target.receive, sub, sub.deadline - now, self)
            elif isinstance(action, CancelAtTarget):
                found = self._fleet.subs[action.attempt_id]
                self._fleet.call(
                    target.end,
                    found,
                    ReplyStatus.FAILED,
                    Reason.CANCELLED,
                )
        self._release()


class Fleet:
    """Simulates the hosts, the links between them and the clock."""

    def __init__(
        self,
        seed: int,
        hosts: int = 4,
        *,
        use_leases: bool = True,
        slots: int = 3,
        cold_slots: int = 1,
    ) -> None:
        self.random = random.Random(seed)
        self.use_leases = use_leases
        #: The share of requests that hang at the target until their deadline.
        self.hang_share = 0.05
        self.leases = LeaseSettings()
        self.deployment = make_deployment(1, 1, slots, cold_slots)
        self.now = timedelta(seconds=100)
        self.subs: dict[AttemptId, SubQuery] = {}
        self.target = FakeTarget(self, slots, cold_slots)
        self._count = itertools.count(1)
        self._events: list[Event] = []
        self._cut_links: set[frozenset[HostId]] = set()
        self.members = make_members(hosts)
        self.hosts = {
            member.host: FakeHost(self, member, self.members)
            for member in self.members
        }
        self._offer()

    def number(self) -> int:
        return next(self._count)

    def build_lease_options(
        self,
        lease_manager: LeaseManager,
    ) -> dict[str, Callable[[timedelta], timedelta]]:
        if not self.use_leases:
            return {}
        return {
            'lease_end': lambda now: lease_manager.find_lease_end(TARGET, now)
        }

    def after(self, wait: timedelta, call: Callable[[], None]) -> None:
        heapq.heappush(self._events, (self.now + wait, self.number(), call))

    def call(self, function: Callable[..., None], *args: object) -> None:
        self.after(self._delay(), lambda: function(*args))

    def send(self, host: FakeHost, action: SendToHost) -> None:
        if frozenset((host.host, action.host)) not in self._cut_links:
            self.call(self._deliver_message, host.host, action)

    def deliver(self, host: FakeHost, call: Callable[[], None]) -> None:
        self.after(self._delay(), lambda: self.wake(host, call))

    def wake(self, host: FakeHost, call: Callable[[], None]) -> None:
        if host.paused:
            host.backlog.append(call)
        elif not host.dead:
            call()

    def run(self, seconds: float) -> None:
        end = self.now + timedelta(seconds=seconds)
        while self._events and self._events[0][0] <= end:
            event = heapq.heappop(self._events)
            self.now = event[0]
            event[2]()
        self.now = end

    def pause(self, host: HostId) -> None:
        self.hosts[host].paused = True

    def resume(self, host: HostId) -> None:
        found = self.hosts[host]
        found.paused = False
        backlog = list(found.backlog)
        found.backlog.clear()
        for call in backlog:
            call()

    def restart(self, host: HostId) -> None:
        """Replaces the host by a new process without state."""
        self.hosts[host].dead = True
        member = next(one for one in self.members if one.host == host)
        self.hosts[host] = FakeHost(self, member, self.members)

    def partition(self, side: Iterable[HostId]) -> None:
        """Cuts the links between the hosts of one side and the others."""
        near = set(side)
        self._cut_links = {
            frozenset((one, other))
            for one in near
            for other in self.hosts
            if other not in near
        }

    def update_view(self, host: HostId, dead: Iterable[HostId]) -> None:
        """Updates the view of a host: some others are dead."""
        gone = set(dead) - {host}
        view = [
            replace(one, state=MemberState.DEAD) if one.host in gone else one
            for one in self.members
        ]
        found = self.hosts[host]
        self.wake(found, lambda: found.update_view(view))

    def leave(self, host: HostId) -> None:
        """Updates the view of every host: one is leaving."""
        view = [
            replace(one, state=MemberState.LEAVING) if one.host == host else one
            for one in self.members
        ]
        for found in self.hosts.values():
            found.update_view(view)

    def find_owner(self) -> HostId | None:
        """Returns the host that may send to the target now."""
        open_at = [
            name
            for name, host in self.hosts.items()
            if host.owned and host.owned.measure(self.now).open
        ]
        return open_at[0] if open_at else None

    def _deliver_message(self, sender: HostId, action: SendToHost) -> None:
        host = self.hosts[action.host]
        self.wake(host, lambda: host.receive(sender, action.message))

    def _delay(self) -> timedelta:
        return millis(self.random.uniform(0.3, 3))

    def _offer(self) -> None:
        for host in tuple(self.hosts.values()):
            sub = make_sub(self.number())
            sub = replace(sub, deadline=self.now + DEADLINE)
            self.subs[sub.attempt_id] = sub
            self.wake(host, functools.partial(host.arrive, sub))
        self.after(ARRIVAL_INTERVAL, self._offer)
