"""A fake host: the core's state machines and simulated messages."""

from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass
from datetime import timedelta
from functools import partial

from almonddock_core import model, owners, scatter, truth
from almonddock_core.deployment import Deployment
from tests.scenarios.simulation import (
    DISTANT_DELAY,
    LOCAL_DELAY,
    MIN_TIMER_DELAY,
    Simulation,
)
from tests.scenarios.targets import FakeTarget, build_reply

Callback = Callable[[], None]
OnAnswer = Callable[[model.Answer], None]


@dataclass(frozen=True, slots=True)
class RunningQuery:
    """A query that its entry host is running."""

    query: model.Query
    plan: model.Plan
    state: scatter.Scatter
    on_answer: OnAnswer
    started: timedelta


@dataclass(frozen=True, slots=True)
class Origin:
    """The entry host that awaits the reply to a try, and its target."""

    entry: model.HostId
    target: model.TargetId


class FakeHost:
    """One run of a host; ``hosts`` and ``targets`` form the network."""

    def __init__(
        self,
        sim: Simulation,
        member: model.Member,
        hosts: Mapping[model.HostId, 'FakeHost'],
        targets: Mapping[model.TargetId, FakeTarget],
    ) -> None:
        self.member = member
        self.name = member.host
        self.deployment = Deployment()
        self.running: dict[model.RequestId, RunningQuery] = {}
        self.alive = True
        #: Whether the balancer sends queries here.
        self.ready = True
        #: Messages and timers deferred by a pause; None without a pause.
        self.deferred: list[Callback] | None = None
        self._sim = sim
        self._hosts = hosts
        self._targets = targets
        self._members: tuple[model.Member, ...] = ()
        self._owners: Mapping[model.TargetId, model.HostId] = {}
        self._owned: dict[model.TargetId, owners.OwnedTarget] = {}
        self._origins: dict[model.AttemptId, Origin] = {}
        self._lease_manager = owners.LeaseManager(
            owners.Holder(member.host, member.incarnation),
            owners.LeaseSettings(),
            sim.now,
            sim.random,
        )
        self._versions = truth.VersionTable()
        self._loads: dict[model.TargetId, model.TargetLoad] = {}
        self._context = scatter.ScatterContext(
            budget=scatter.AttemptBudget(),
            loads=self._loads,
            random=sim.random,
            latencies=scatter.LatencyTable(),
        )

    def apply(
        self,
        deployment: Deployment | None = None,
        members: tuple[model.Member, ...] | None = None,
    ) -> None:
        """Applies a new configuration or a new view of the hosts."""
        if deployment is not None:
            self._log(f'revision {deployment.revision}')
            self.deployment = deployment
        self._members = members or self._members
        self._owners = owners.place_targets(self.deployment, self._members)
        for name in set(self._owned) | set(self._owners):
            self._update_ownership(name)
        now = self._sim.now
        view = (self.deployment, self._members, self._owners, now)
        self._execute_lease_actions(self._lease_manager.update_view(*view))

    def receive_message(
        self, sender: model.HostId, message: owners.LeaseMessage
    ) -> None:
        now = self._sim.now
        self._execute_lease_actions(
            self._lease_manager.receive(sender, message, now)
        )

    def renew_leases(self) -> None:
        self._execute_lease_actions(self._lease_manager.tick(self._sim.now))
        self._schedule(self._lease_manager.next_wake(), self.renew_leases)

    def handle_closed_link(self, host: model.HostId) -> None:
        """Tells each running query that the link to a host has closed."""
        for running in list(self.running.values()):
            lost = running.state.handle_lost_owner(host, self._sim.now)
            self._execute_scatter(running, lost)

    def pause(self, span: timedelta) -> None:
        self._log('pauses')
        self.deferred = []
        self._sim.call_later(span, self._resume)

    def receive_query(self, query: model.Query, on_answer: OnAnswer) -> None:
        """Receives a query from a caller."""
        plan = truth.pin_snapshot(
            self.deployment, query.workload, self._versions, self._owners
        )
        self._log(f'pins version {plan.version} for {query.request_id}')
        state = scatter.Scatter(
            query, plan, scatter.ScatterSettings(), self._context
        )
        now = self._sim.now
        running = RunningQuery(query, plan, state, on_answer, now)
        self.running[query.request_id] = running
        self._execute_scatter(running, state.start(now))

    def receive_reply(
        self, reply: model.SubReply, load: model.TargetLoad | None
    ) -> None:
        now = self._sim.now
        if load is not None:
            self._loads[load.target] = load
        running = self.running.get(reply.request_id)
        if running is None:
            return
        version = running.plan.version
        if reply.version not in {None, version}:
            self._versions.record_missing(reply.target, version, now)
        self._execute_scatter(running, running.state.receive(reply, now))

    def receive_try(self, sub: model.SubQuery, entry: model.HostId) -> None:
        self._origins[sub.attempt_id] = Origin(entry, sub.target)
        if sub.target in self._owned:
            self._step_target(sub.target, lambda one, now: one.offer(sub, now))
        else:
            reason = model.Reason.NOT_OWNER
            self._reply(build_reply(sub, model.ReplyStatus.NOT_RUN, reason))

    def cancel_try(self, attempt: model.AttemptId) -> None:
        origin = self._origins.get(attempt)
        if origin is not None:
            name = origin.target
            self._step_target(name, lambda one, now: one.cancel(attempt, now))

    def receive_target_reply(
        self, name: model.TargetId, reply: model.SubReply
    ) -> None:
        self._step_target(name, lambda one, now: one.receive_reply(reply, now))

    def run_or_defer(self, action: Callback) -> None:
        """Runs an action, defers it in a pause, drops it when dead."""
        if self.deferred is not None:
            self.deferred.append(action)
        elif self.alive:
            action()

    def _execute_scatter(
        self, running: RunningQuery, actions: Iterable[scatter.ScatterAction]
    ) -> None:
        for action in actions:
            match action:
                case scatter.Send(sub, owner):
                    self._log(
                        f'{sub.attempt_id} for {sub.shard} sent to {sub.target}'
                    )
                    self._send(owner, FakeHost.receive_try, sub, self.name)
                case scatter.Cancel(attempt, owner):
                    self._send(owner, FakeHost.cancel_try, attempt)
                case scatter.Finish(result):
                    self._finish(running, result)
        wake = running.state.next_wake()
        if wake is not None:
            self._schedule(wake, partial(self._tick, running))

    def _finish(
        self, running: RunningQuery, result: model.ScatterResult
    ) -> None:
        query = self.running.pop(running.query.request_id).query
        service = self.deployment.workloads[query.workload][0]
        answer = truth.build_answer(
            query,
            running.plan,
            result,
            self.deployment.services[service].merge,
            self._sim.now - running.started,
        )
        self._log(f'{answer.request_id} {answer.outcome.value}')
        running.on_answer(answer)

    def _tick(self, running: RunningQuery) -> None:
        if running.query.request_id in self.running:
            self._execute_scatter(running, running.state.tick(self._sim.now))

    def _update_ownership(self, name: model.TargetId) -> None:
        if self._owners.get(name) != self.name:
            return
        target = self.deployment.targets[name]
        now = self._sim.now
        if name not in self._owned:
            self._owned[name] = owners.OwnedTarget(
                target,
                owners.OwnerSettings(),
                now,
                taken_over=False,
                lease_end=partial(self._lease_manager.find_lease_end, name),
            )
        if self.deployment.is_taken_out(target.data_centre):
            reason = model.Reason.DATA_CENTRE_OUT
            self._step_target(name, lambda one, now: one.close(reason, now))
        else:
            out = model.Reason.DATA_CENTRE_OUT
            self._owned[name].reopen(out, now)

    def _execute_lease_actions(
        self, actions: Iterable[owners.LeaseAction]
    ) -> None:
        now = self._sim.now
        for action in actions:
            match action:
                case owners.SendToHost(host, message):
                    self._send(
                        host, FakeHost.receive_message, self.name, message
                    )
                case owners.Acquire(name, allowed):
                    self._log(f'acquires {name}, in-flight limit {allowed}')
                    self._owned[name].resume(allowed, now)
                case owners.Yield(name):
                    self._yield(name)

    def _yield(self, name: model.TargetId) -> None:
        self._log(f'yields {name}')
        reason = model.Reason.NOT_OWNER
        self._step_target(name, lambda one, now: one.close(reason, now))

    def _step_target(
        self,
        name: model.TargetId,
        step: Callable[
            [owners.OwnedTarget, timedelta], list[owners.OwnerAction]
        ],
    ) -> None:
        """Runs one step of an owned target and executes its actions."""
        owned = self._owned.get(name)
        if owned is None:
            return
        target = self._targets[name]
        for action in step(owned, self._sim.now):
            match action:
                case owners.Dispatch(sub):
                    self._log(f'{sub.attempt_id} dispatched to {name}')
                    deliver = partial(self._deliver, name)
                    receive = partial(target.receive, sub, deliver)
                    self._sim.call_later(LOCAL_DELAY, receive)
                case owners.CancelAtTarget(attempt):
                    cancel = partial(target.cancel, attempt)
                    self._sim.call_later(LOCAL_DELAY, cancel)
                case owners.Reply(reply):
                    self._reply(reply)
        load = owned.measure(self._sim.now)
        if not load.open and not load.in_flight:
            release = (name, load.allowed, self._sim.now)
            self._execute_lease_actions(self._lease_manager.release(*release))
        wake = owned.next_wake(self._sim.now)
        if wake is not None:
            tick = partial(self._step_target, name, owners.OwnedTarget.tick)
            self._schedule(wake, tick)

    def _deliver(self, name: model.TargetId, reply: model.SubReply) -> None:
        receive = partial(self.receive_target_reply, name, reply)
        self._schedule(self._sim.now + LOCAL_DELAY, receive)

    def _reply(self, reply: model.SubReply) -> None:
        origin = self._origins.pop(reply.attempt_id, None)
        if origin is None:
            return
        self._log(f'{reply.attempt_id} {reply.status.value} {reply.reason}')
        owned = self._owned.get(reply.target)
        load = owned.measure(self._sim.now) if owned else None
        self._send(origin.entry, FakeHost.receive_reply, reply, load)

    def _send(
        self, name: model.HostId, method: Callable[..., None], *args: object
    ) -> None:
        host = self._hosts[name]
        if frozenset((self.name, name)) in self._sim.partitioned:
            return
        same = host.member.data_centre == self.member.data_centre
        delay = LOCAL_DELAY if same else DISTANT_DELAY
        if host.alive:
            arrive = partial(host.run_or_defer, partial(method, host, *args))
            self._sim.call_later(delay, arrive)
        else:
            lost = partial(self.handle_closed_link, name)
            self._schedule(self._sim.now + delay, lost)

    def _schedule(self, time: timedelta, action: Callback) -> None:
        time = max(time, self._sim.now + MIN_TIMER_DELAY)
        self._sim.call_at(time, partial(self.run_or_defer, action))

    def _resume(self) -> None:
        self._log('resumes')
        deferred = self.deferred or []
        self.deferred = None
        for action in deferred:
            action()

    def _log(self, message: object) -> None:
        self._sim.record(self.name, message)
