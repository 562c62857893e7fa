"""The real scatter and owner side, wired over links with delays."""

import random
from collections import defaultdict
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass, field
from datetime import timedelta
from functools import partial

from almonddock_core.deployment import Target
from almonddock_core.model import (
    AttemptId,
    Candidate,
    HostId,
    IndexVersion,
    Plan,
    Query,
    ScatterResult,
    ShardId,
    SubReply,
    TargetId,
    TargetLoad,
)
from almonddock_core.owners import place_targets
from almonddock_core.scatter import (
    AttemptBudget,
    Cancel,
    LatencyTable,
    Scatter,
    ScatterAction,
    ScatterContext,
    ScatterSettings,
    Send,
)
from bench.tail.links import Links
from bench.tail.loop import VirtualLoop
from bench.tail.owner_side import OwnerSide
from bench.tail.shape import (
    Shape,
    build_members,
    build_workload,
    draw_service,
)
from bench.tail.target import FakeTarget

Done = Callable[[ScatterResult], None]


@dataclass(slots=True)
class _Running:
    """One query at its entry host."""

    host: HostId
    scatter: Scatter
    done: Done
    loads: dict[TargetId, TargetLoad]
    targets: dict[AttemptId, TargetId] = field(default_factory=dict)
    wake: timedelta = timedelta.max


class Tier:
    """All hosts and targets of one deployment."""

    def __init__(
        self,
        shape: Shape,
        seed: int,
        settings: ScatterSettings,
        *,
        stragglers: bool,
    ) -> None:
        self.loop = VirtualLoop()
        self.shape = shape
        self._settings = settings
        deployment = build_workload(shape)
        members = build_members(shape)
        owners = place_targets(deployment, members)
        self.links = Links(
            self.loop,
            shape.delay,
            {one.host: one.data_centre for one in members},
            {
                one.target: one.data_centre
                for one in deployment.targets.values()
            },
        )
        draw = partial(
            draw_service,
            random.Random(seed),
            stragglers=stragglers,
        )
        self.fakes = {
            name: FakeTarget(self.loop, shape.slots, draw)
            for name in deployment.targets
        }
        self._owners = OwnerSide(
            self.links,
            deployment.targets,
            owners,
            self.fakes,
        )
        self._loads: dict[HostId, dict[TargetId, TargetLoad]] = {
            member.host: {} for member in members
        }
        self._contexts = {
            host: _build_context(settings, loads, seed)
            for host, loads in self._loads.items()
        }
        self.plan = _build_plan(deployment.targets, owners)

    @property
    def hosts(self) -> Sequence[HostId]:
        """The entry hosts, which queries are submitted to."""
        return tuple(self._contexts)

    def submit(self, host: HostId, query: Query, done: Done) -> None:
        """Starts a query at one host."""
        scatter = Scatter(
            query,
            self.plan,
            self._settings,
            self._contexts[host],
        )
        running = _Running(host, scatter, done, self._loads[host])
        self._apply(running, scatter.start(self.loop.now))

    def _apply(self, running: _Running, actions: list[ScatterAction]) -> None:
        for action in actions:
            if isinstance(action, Send):
                self._send(running, action)
            elif isinstance(action, Cancel):
                self._cancel(running, action)
            else:
                running.done(action.result)
        self._schedule_wake(running)

    def _send(self, running: _Running, action: Send) -> None:
        sub = action.sub
        running.targets[sub.attempt_id] = sub.target
        send_reply = partial(self._send_reply, running, action.owner)
        offer = partial(self._owners.offer, sub, send_reply)
        self.links.call_host(running.host, action.owner, offer)

    def _cancel(self, running: _Running, action: Cancel) -> None:
        target = running.targets[action.attempt_id]
        cancel = partial(self._owners.cancel, target, action.attempt_id)
        self.links.call_host(running.host, action.owner, cancel)

    def _send_reply(
        self,
        running: _Running,
        owner: HostId,
        reply: SubReply,
        load: TargetLoad,
    ) -> None:
        receive = partial(self._receive, running, reply, load)
        self.links.call_host(owner, running.host, receive)

    def _receive(
        self,
        running: _Running,
        reply: SubReply,
        load: TargetLoad,
    ) -> None:
        running.loads[reply.target] = load
        actions = running.scatter.receive(reply, self.loop.now)
        self._apply(running, actions)

    def _schedule_wake(self, running: _Running) -> None:
        wake = running.scatter.next_wake()
        if wake is not None and wake < running.wake:
            running.wake = wake
            self.loop.call_at(wake, partial(self._wake, running))

    def _wake(self, running: _Running) -> None:
        running.wake = timedelta.max
        wake = running.scatter.next_wake()
        if wake is not None and wake <= self.loop.now:
            self._apply(running, running.scatter.tick(self.loop.now))
        else:
            self._schedule_wake(running)


def _build_context(
    settings: ScatterSettings,
    loads: dict[TargetId, TargetLoad],
    seed: int,
) -> ScatterContext:
    return ScatterContext(
        budget=AttemptBudget(settings.budget),
        loads=loads,
        random=random.Random(seed),
        latencies=LatencyTable(),
    )


def _build_plan(
    targets: Mapping[TargetId, Target],
    owners: Mapping[TargetId, HostId],
) -> Plan:
    candidates: dict[ShardId, list[Candidate]] = defaultdict(list)
    for name, target in sorted(targets.items()):
        for shard in target.shards:
            candidates[shard].append(
                Candidate(name, owners[name], target.data_centre),
            )
    return Plan(
        version=IndexVersion(1),
        shards=tuple(sorted(candidates)),
        candidates={one: tuple(found) for one, found in candidates.items()},
    )
