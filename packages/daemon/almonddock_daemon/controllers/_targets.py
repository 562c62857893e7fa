"""Runs the targets that this host owns."""

import asyncio
from collections import defaultdict
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, replace
from datetime import timedelta

from almonddock_core.deployment import Deployment, Target
from almonddock_core.model import (
    AttemptId,
    Clock,
    Reason,
    ReplyStatus,
    SubQuery,
    SubReply,
    TargetId,
    TargetLoad,
)
from almonddock_core.owners import (
    CancelAtTarget,
    Dispatch,
    OwnedTarget,
    OwnerAction,
    OwnerSettings,
    Reply,
)
from almonddock_daemon.adapters import TargetClient, build_reply
from almonddock_daemon.telemetry import Tracing
from almonddock_wire import CancelBatch, SubQueryBatch, SubReplyBatch

#: Takes the replies for one entry host.
Answer = Callable[[SubReplyBatch], None]


@dataclass(frozen=True, slots=True)
class _Origin:
    """Who awaits the reply to a try, and at which target it is."""

    answer: Answer
    target: TargetId


class _Owned:
    """An owned target with its connections and timer."""

    def __init__(self, state: OwnedTarget, client: TargetClient) -> None:
        self.state = state
        self.client = client
        self.timer: asyncio.TimerHandle | None = None


class TargetController:
    """Owns the queues of this host's targets.

    Replies to one entry host that arise in one turn of the event loop leave
    in one message.
    """

    def __init__(
        self,
        settings: OwnerSettings,
        clock: Clock,
        tracing: Tracing,
    ) -> None:
        self._settings = settings
        self._tracing = tracing
        self._clock = clock
        self._owned: dict[TargetId, _Owned] = {}
        self._origins: dict[AttemptId, _Origin] = {}
        self._outgoing: dict[Answer, list[SubReply]] = defaultdict(list)
        self._flushing = False

    @property
    def owned(self) -> frozenset[TargetId]:
        """The targets that this host owns now."""
        return frozenset(self._owned)

    @property
    def outstanding(self) -> int:
        """Sub-queries taken on that have no reply yet."""
        return len(self._origins)

    def measure_loads(self) -> tuple[TargetLoad, ...]:
        """Returns the load of every owned target, sorted by name."""
        now = self._clock.now()
        return tuple(
            owned.state.measure(now) for _, owned in sorted(self._owned.items())
        )

    def update(
        self,
        deployment: Deployment,
        targets: Mapping[TargetId, bool],
    ) -> None:
        """Takes on and gives up targets.

        Args:
            deployment: The configuration in force.
            targets: The targets to own, each with whether another host may
                have used it until now.
        """
        for gone in self._owned.keys() - targets.keys():
            self._release(gone)
        for name, inherited in targets.items():
            target = deployment.targets[name]
            known = self._owned.get(name)
            if known is None or known.client.target != target:
                self._acquire(target, inherited)

    def receive(self, batch: SubQueryBatch, answer: Answer) -> None:
        """Queues sub-queries; ``answer`` gets a reply to each."""
        now = self._clock.now()
        for sub in batch.subs:
            owned = self._owned.get(sub.target)
            if owned is None:
                reply = build_reply(sub, ReplyStatus.NOT_RUN, Reason.NOT_OWNER)
                self._queue_reply(answer, reply)
            elif sub.attempt_id not in self._origins:
                self._origins[sub.attempt_id] = _Origin(answer, sub.target)
                self._carry_out(owned, owned.state.offer(sub, now))

    def cancel(self, batch: CancelBatch) -> None:
        """Takes tries out of the queues or cancels them at the target."""
        now = self._clock.now()
        for attempt_id in batch.attempts:
            origin = self._origins.get(attempt_id)
            owned = self._owned.get(origin.target) if origin else None
            if owned is not None:
                self._carry_out(owned, owned.state.cancel(attempt_id, now))

    def close(self) -> None:
        """Gives up every target."""
        for name in list(self._owned):
            self._release(name)

    def _acquire(self, target: Target, inherited: bool) -> None:
        self._release(target.target)
        state = OwnedTarget(
            target,
            self._settings,
            self._clock.now(),
            inherited=inherited,
        )
        client = TargetClient(target, self._clock)
        self._owned[target.target] = _Owned(state, client)

    def _release(self, name: TargetId) -> None:
        owned = self._owned.pop(name, None)
        if owned is None:
            return
        if owned.timer is not None:
            owned.timer.cancel()
        owned.client.close()

    def _carry_out(
        self,
        owned: _Owned,
        actions: Iterable[OwnerAction],
    ) -> None:
        for action in actions:
            match action:
                case Dispatch(sub):
                    self._dispatch(owned, sub)
                case Reply(reply):
                    self._answer(reply)
                case CancelAtTarget(attempt_id):
                    owned.client.cancel(attempt_id)
        self._set_timer(owned)

    def _dispatch(self, owned: _Owned, sub: SubQuery) -> None:
        hop = self._tracing.begin(
            'target',
            sub.traceparent,
            {'target': sub.target, 'shard': sub.shard},
        )

        def settle(reply: SubReply) -> None:
            hop.end({'status': reply.status.value})
            now = self._clock.now()
            self._carry_out(owned, owned.state.settle(reply, now))

        if hop.traceparent != sub.traceparent:
            sub = replace(sub, traceparent=hop.traceparent)
        owned.client.send(sub, settle)

    def _answer(self, reply: SubReply) -> None:
        origin = self._origins.pop(reply.attempt_id, None)
        if origin is not None:
            self._queue_reply(origin.answer, reply)

    def _queue_reply(self, answer: Answer, reply: SubReply) -> None:
        self._outgoing[answer].append(reply)
        if not self._flushing:
            self._flushing = True
            asyncio.get_running_loop().call_soon(self._flush)

    def _flush(self) -> None:
        self._flushing = False
        outgoing = self._outgoing
        self._outgoing = defaultdict(list)
        now = self._clock.now()
        for answer, replies in outgoing.items():
            asked = {reply.target for reply in replies} & self._owned.keys()
            loads = tuple(
                self._owned[name].state.measure(now) for name in sorted(asked)
            )
            answer(SubReplyBatch(tuple(replies), loads))

    def _set_timer(self, owned: _Owned) -> None:
        now = self._clock.now()
        wake = owned.state.next_wake(now)
        if owned.timer is not None:
            owned.timer.cancel()
            owned.timer = None
        if wake is None:
            return
        wait = max(timedelta(), wake - now)
        owned.timer = asyncio.get_running_loop().call_later(
            wait.total_seconds(),
            self._tick,
            owned,
        )

    def _tick(self, owned: _Owned) -> None:
        owned.timer = None
        self._carry_out(owned, owned.state.tick(self._clock.now()))
