"""Runs queries under random schedules of faults; ``bench/truth`` runs more."""

import heapq
import random
import unittest
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from datetime import timedelta
from functools import cache, partial

import orjson

from almonddock_core.deployment import (
    DataCentreEntry,
    DataCentresFile,
    Deployment,
    MergeRule,
    ServiceFile,
    TargetEntry,
    VersionEntry,
    build_deployment,
)
from almonddock_core.model import (
    Answer,
    AttemptId,
    HostId,
    IndexVersion,
    Outcome,
    Plan,
    Query,
    Reason,
    ReplyStatus,
    RequestId,
    Revision,
    ShardId,
    SubQuery,
    SubReply,
    TargetId,
    WorkloadId,
)
from almonddock_core.scatter import (
    AttemptBudget,
    Finish,
    LatencyTable,
    Scatter,
    ScatterAction,
    ScatterContext,
    ScatterSettings,
    Send,
)
from almonddock_core.truth import (
    VersionTable,
    build_answer,
    combine_results,
    pin_snapshot,
    replan_query,
)

MS = timedelta(milliseconds=1)
DESK = WorkloadId('desk')
SCHEDULES = 2000
Event = tuple[timedelta, int, Callable[[], None]]


@cache
def make_deployment(replicas: int) -> Deployment:
    """Builds two services whose versions partition the shards differently."""
    maps = {1: ('all',), 2: ('left', 'right'), 3: ('a', 'b', 'c')}
    shards = tuple(
        sorted(one for partition in maps.values() for one in partition)
    )
    services = [
        ServiceFile(
            service=name,
            workload='desk',
            index_versions=tuple(
                VersionEntry(version=version, shards=partition)
                for version, partition in maps.items()
            ),
            targets=tuple(
                TargetEntry(
                    name=f't{number}',
                    address='127.0.0.1:9001',
                    data_centre='north',
                    shards=shards,
                    slots=2,
                    connections=5,
                )
                for number in range(replicas)
            ),
        )
        for name in ('one', 'two')
    ]
    return build_deployment(
        Revision(1),
        services,
        DataCentresFile(data_centres=(DataCentreEntry('north', 'kyushu'),)),
    )


@dataclass(slots=True)
class QuerySimulation:
    """Simulates one query whose replies are delayed, lost or wrong."""

    rng: random.Random
    deployment: Deployment
    query: Query
    held: dict[TargetId, set[int]]
    #: The faults that occur, and the share of tries that they affect.
    faults: tuple[str, ...]
    fault_share: float
    now: timedelta = timedelta()
    events: list[Event] = field(default_factory=list)
    event_count: int = 0
    versions: VersionTable = field(default_factory=VersionTable)
    #: How often the targets ran each shard, by version.
    ran: Counter[tuple[IndexVersion, ShardId]] = field(default_factory=Counter)
    answer: Answer | None = None
    plans: int = 0

    def after(self, wait: timedelta, event: Callable[[], None]) -> None:
        self.event_count += 1
        heapq.heappush(self.events, (self.now + wait, self.event_count, event))

    def run(self) -> Answer:
        self.start(self.pin(), None)
        while self.events:
            at, _number, event = heapq.heappop(self.events)
            self.now = at
            event()
        assert self.answer is not None
        return self.answer

    def pin(self) -> Plan:
        owners = {
            name: HostId(f'h{index % 3}')
            for index, name in enumerate(sorted(self.deployment.targets))
        }
        return pin_snapshot(self.deployment, DESK, self.versions, owners)

    def start(self, plan: Plan, earlier: Finish | None) -> None:
        self.plans += 1
        context = ScatterContext(
            AttemptBudget(), {}, random.Random(1), LatencyTable()
        )
        scatter = Scatter(
            self.query,
            plan,
            ScatterSettings(),
            context,
            first_attempt=self.plans * 1000,
        )
        step = partial(self.act, scatter, plan, earlier)
        step(scatter.start(self.now))
        if self.rng.randrange(4) == 0:
            lost = HostId(self.rng.choice(('h0', 'h1', 'h2')))
            self.after(
                self.rng.randint(1, 90) * MS,
                lambda: step(scatter.handle_lost_owner(lost, self.now)),
            )

    def act(
        self,
        scatter: Scatter,
        plan: Plan,
        earlier: Finish | None,
        actions: list[ScatterAction],
    ) -> None:
        step = partial(self.act, scatter, plan, earlier)
        for action in actions:
            if isinstance(action, Send):
                for reply in self.ask(action.sub):
                    arrive = partial(self.observe, scatter, reply, plan, step)
                    self.after(self.rng.randint(1, 120) * MS, arrive)
            elif isinstance(action, Finish):
                self.end(plan, earlier, action)
        wake = scatter.next_wake()
        if wake is not None:
            wait = max(wake - self.now, MS)
            self.after(wait, lambda: self.tick(scatter, step))

    def tick(
        self, scatter: Scatter, step: Callable[[list[ScatterAction]], None]
    ) -> None:
        wake = scatter.next_wake()
        if wake is not None and wake <= self.now:
            step(scatter.tick(self.now))

    def observe(
        self,
        scatter: Scatter,
        reply: SubReply,
        plan: Plan,
        step: Callable[[list[ScatterAction]], None],
    ) -> None:
        if reply.reason is Reason.WRONG_VERSION:
            self.versions.record_missing(reply.target, plan.version, self.now)
        step(scatter.receive(reply, self.now))

    def ask(self, sub: SubQuery) -> list[SubReply]:
        """Returns the replies of the target to one try."""
        reply = SubReply(
            attempt_id=sub.attempt_id,
            request_id=sub.request_id,
            shard=sub.shard,
            target=sub.target,
            status=ReplyStatus.OK,
            version=sub.version,
            rows=make_rows(sub.request_id, sub.shard, sub.version),
        )
        hit = self.rng.random() < self.fault_share
        fault = self.rng.choice(self.faults) if hit else ''
        if fault == 'drops_version':
            self.held[sub.target].discard(sub.version)
        if sub.version not in self.held[sub.target]:
            reason = Reason.WRONG_VERSION
            return [refuse(reply, ReplyStatus.NOT_RUN, reason)]
        if fault == 'refuses':
            return [refuse(reply, ReplyStatus.NOT_RUN, Reason.COLD)]
        self.ran[sub.version, sub.shard] += 1
        return self.apply_fault(reply, fault)

    def apply_fault(self, reply: SubReply, fault: str) -> list[SubReply]:
        """Returns the replies that arrive after a fault on the way."""
        other = IndexVersion(9)
        crossed = RequestId('other')
        shard = ShardId('one/other')
        corrupted = {
            'fails': refuse(reply, ReplyStatus.FAILED, Reason.TARGET_FAILED),
            'breaks': refuse(
                reply, ReplyStatus.UNKNOWN, Reason.TARGET_UNREACHABLE
            ),
            'other_version': replace(
                reply,
                version=other,
                rows=make_rows(reply.request_id, reply.shard, other),
            ),
            'other_request': replace(
                reply,
                request_id=crossed,
                rows=make_rows(crossed, reply.shard, self.pin().version),
            ),
            'other_shard': replace(
                reply,
                shard=shard,
                rows=make_rows(reply.request_id, shard, self.pin().version),
            ),
            'other_try': replace(reply, attempt_id=AttemptId('r:7')),
            'bad_rows': replace(reply, rows=b'[{"shard"'),
        }
        if fault == 'silent':
            return []
        if fault == 'doubled':
            return [reply, reply]
        return [corrupted.get(fault, reply)]

    def end(self, plan: Plan, earlier: Finish | None, last: Finish) -> None:
        result = last.result
        if earlier is None:
            fresh = replan_query(self.query, plan, result, self.pin, self.now)
            if fresh is not None:
                self.start(fresh, last)
                return
        else:
            result = combine_results(earlier.result, result)
        assert self.answer is None, 'a query ends once'
        self.answer = build_answer(
            self.query, plan, result, MergeRule(), self.now
        )


FAULTS = (
    'refuses',
    'fails',
    'breaks',
    'silent',
    'doubled',
    'drops_version',
    'other_version',
    'other_request',
    'other_shard',
    'other_try',
    'bad_rows',
)


def make_rows(
    request_id: RequestId, shard: ShardId, version: IndexVersion
) -> bytes:
    return orjson.dumps([[request_id, shard, version]])


def refuse(reply: SubReply, status: ReplyStatus, reason: Reason) -> SubReply:
    return replace(reply, status=status, reason=reason, version=None, rows=b'')


def find_violations(simulation: QuerySimulation, answer: Answer) -> list[str]:
    """Compares an answer with what the targets ran."""
    found = []
    version = answer.version
    rows = orjson.loads(answer.rows)
    if any(row[2] != version for row in rows):
        found.append('mixed snapshot')
    if any(row[0] != simulation.query.request_id for row in rows):
        found.append('crossed answer')
    missing = {one.shard for one in answer.coverage.missing}
    if version is not None:
        shards = set(simulation.deployment.list_shards(DESK, version))
        claimed = sorted(shards - missing)
        if sorted(row[1] for row in rows) != claimed:
            found.append('false coverage')
        if any(not simulation.ran[version, shard] for shard in claimed):
            found.append('covered without a run')
        if answer.coverage.total != len(shards):
            found.append('false total')
    if answer.outcome is Outcome.NOT_RUN and simulation.ran:
        found.append('false not run')
    if not simulation.query.idempotent:
        if any(count > 1 for count in simulation.ran.values()):
            found.append('doubled run')
        if len({ran_version for ran_version, _ in simulation.ran}) > 1:
            found.append('doubled run on another version')
    return found


def run_schedule(seed: int) -> tuple[list[str], Counter[str]]:
    """Runs one query under one random schedule."""
    rng = random.Random(seed)
    deployment = make_deployment(rng.randint(1, 3))
    query = Query(
        request_id=RequestId('r'),
        workload=DESK,
        body=b'{}',
        deadline=300 * MS,
        idempotent=rng.choice((True, False)),
    )
    held = {
        name: set(rng.sample((1, 2, 3), rng.randint(1, 3)))
        for name in sorted(deployment.targets)
    }
    if rng.choice((True, False)):
        held = {name: {1, 2, 3} for name in held}
    faults = tuple(rng.sample(FAULTS, rng.randint(1, len(FAULTS))))
    if rng.randrange(4) == 0:
        faults = ('refuses', 'drops_version')
    fault_share = rng.choice((0.02, 0.3, 1))
    simulation = QuerySimulation(
        rng, deployment, query, held, faults, fault_share
    )
    answer = simulation.run()
    seen = Counter({answer.outcome.value: 1})
    seen['planned again'] += simulation.plans > 1
    return find_violations(simulation, answer), seen


class ScheduleTest(unittest.TestCase):
    def test_no_schedule_leads_to_a_false_answer(self) -> None:
        seen: Counter[str] = Counter()
        for seed in range(SCHEDULES):
            violations, kinds = run_schedule(seed)
            self.assertEqual(violations, [], f'seed {seed}')
            seen += kinds
        for kind in (*(one.value for one in Outcome), 'planned again'):
            self.assertGreater(seen[kind], SCHEDULES // 50, seen)
