"""Time and memory of each role at three sizes."""

import random
from collections.abc import Iterable, Iterator
from datetime import timedelta
from functools import partial

from almonddock_core.configuration import ConfigurationHead
from almonddock_core.membership import (
    Membership,
    MembershipAction,
    MembershipSettings,
)
from almonddock_core.membership import (
    Send as MemberSend,
)
from almonddock_core.model import (
    AttemptId,
    HostId,
    IndexVersion,
    Member,
    Plan,
    Query,
    ReplyStatus,
    RequestId,
    ShardId,
    SubQuery,
    SubReply,
    TargetId,
    WorkloadId,
)
from almonddock_core.owners import (
    Dispatch,
    OwnedTarget,
    OwnerSettings,
    place_targets,
)
from almonddock_core.scatter import (
    AttemptBudget,
    LatencyTable,
    Scatter,
    ScatterContext,
    ScatterSettings,
    Send,
)
from almonddock_core.truth import VersionTable, pin_snapshot
from almonddock_wire import SubQueryBatch, SubReplyBatch, decode, encode
from bench import Measurement, Subject, experiment, limit_value, note_value
from bench.capacity.fleet import (
    SIZES,
    Size,
    build_fleet,
    build_members,
)
from bench.capacity.timing import measure_allocation, time_call

SEED = 1
#: The required limits per host of control: configuration, membership, leases
#: and placement together.
CONTROL_MEGABYTES = 32
CONTROL_CORE_PERCENT = 1.6
CONTROL_BYTES_PER_SECOND = 9000
#: Percent of a core that one microsecond of work per second takes.
PERCENT_PER_MICROSECOND = 1e-4
#: Changes of the members: 880 hosts a day are restarted or replaced and 10
#: fail; each changes the members twice, by leaving and by returning.
CHANGES_PER_DAY = 2 * (880 + 10)
SECONDS_PER_DAY = 86_400

START = timedelta(seconds=100)
DEADLINE = timedelta(seconds=101)
ROWS = b'[{"shard":"desk-000/s0","version":1,"score":17}]'


@experiment('capacity_placement')
def measure_placement() -> Iterator[Measurement]:
    """Processor time of one placement; share of a core for those of a day."""
    for size in SIZES:
        deployment = build_fleet(size)
        members = build_members(size)
        microseconds = time_call(partial(place_targets, deployment, members))
        subject = Subject('capacity_placement.call', size.name, SEED)
        yield note_value(subject, microseconds / 1000, 'ms')
        share = microseconds * CHANGES_PER_DAY / SECONDS_PER_DAY
        subject = Subject('capacity_placement.core', size.name, SEED)
        yield limit_value(
            subject,
            share * PERCENT_PER_MICROSECOND,
            '% of a core',
            bound=CONTROL_CORE_PERCENT,
        )


@experiment('capacity_memory')
def measure_memory() -> Iterator[Measurement]:
    """Memory of the configuration and of the member list on one host."""
    for size in SIZES:
        fleet = measure_allocation(partial(build_fleet, size))
        members = measure_allocation(partial(build_membership, size))
        found = {'configuration': fleet, 'members': members}
        for name, megabytes in found.items():
            subject = Subject(f'capacity_memory.{name}', size.name, SEED)
            yield note_value(subject, megabytes, 'MB')
        subject = Subject('capacity_memory.control', size.name, SEED)
        yield limit_value(
            subject,
            fleet + members,
            'MB',
            bound=CONTROL_MEGABYTES,
        )


@experiment('capacity_member')
def measure_member() -> Iterator[Measurement]:
    """Processor time and bytes per second of the membership of one host."""
    for size in SIZES:
        simulation = MembershipSimulation(
            build_membership(size), build_members(size)
        )
        microseconds = (
            time_call(simulation.run, repeats=1) / MembershipSimulation.seconds
        )
        subject = Subject('capacity_member.core', size.name, SEED)
        yield limit_value(
            subject,
            microseconds * PERCENT_PER_MICROSECOND,
            '% of a core',
            bound=CONTROL_CORE_PERCENT,
        )
        subject = Subject('capacity_member.messages', size.name, SEED)
        yield note_value(
            subject, simulation.sent / MembershipSimulation.seconds, 'a second'
        )
        subject = Subject('capacity_member.bytes', size.name, SEED)
        yield limit_value(
            subject,
            simulation.bytes_sent / MembershipSimulation.seconds,
            'bytes a second',
            bound=CONTROL_BYTES_PER_SECOND,
        )


class MembershipSimulation:
    """Simulates one host that probes peers, which only answer."""

    seconds = 20

    def __init__(self, own: Membership, members: Iterable[Member]) -> None:
        self.sent = 0
        self.bytes_sent = 0
        self._own = own
        self._members = {one.host: one for one in members}
        self._peers: dict[HostId, Membership] = {}

    def run(self) -> None:
        """Simulates ``seconds`` in steps of 100 ms."""
        for step in range(self.seconds * 10):
            now = START + timedelta(seconds=step / 10)
            self._execute(self._own.tick(now), now)

    def _execute(
        self,
        actions: Iterable[MembershipAction],
        now: timedelta,
    ) -> None:
        for action in actions:
            if isinstance(action, MemberSend):
                self.sent += 1
                self.bytes_sent += len(encode(action.message, now))
                peer = self._find_peer(action.host)
                self._receive(peer.receive(action.message, now), now)

    def _receive(
        self,
        replies: Iterable[MembershipAction],
        now: timedelta,
    ) -> None:
        for reply in replies:
            if isinstance(reply, MemberSend):
                self._execute(self._own.receive(reply.message, now), now)

    def _find_peer(self, host: HostId) -> Membership:
        if host not in self._peers:
            self._peers[host] = Membership(
                self._members[host],
                MembershipSettings(),
                random.Random(SEED),
                START,
                describe_head,
            )
        return self._peers[host]


@experiment('capacity_entry')
def measure_entry() -> Iterator[Measurement]:
    """Processor time per sub-query at an entry host, without sockets."""
    for size in SIZES:
        deployment = build_fleet(size)
        owners = place_targets(deployment, build_members(size))
        plan = pin_snapshot(
            deployment,
            WorkloadId('desk'),
            VersionTable(),
            owners,
        )
        context = ScatterContext(
            AttemptBudget(),
            {},
            random.Random(SEED),
            LatencyTable(),
        )

        shards = len(plan.shards)
        subject = Subject('capacity_entry.scatter', f'{shards} shards', SEED)
        yield note_value(
            subject,
            time_call(partial(scatter_query, plan, context)) / shards,
            'us',
        )


@experiment('capacity_owner')
def measure_owner() -> Iterator[Measurement]:
    """Processor time per sub-query at an owner, without sockets."""
    deployment = build_fleet(SIZES[0])
    target = next(iter(deployment.targets.values()))
    for count in (10, 100, 1000):
        subs = tuple(build_sub(one, target.target) for one in range(count))
        owned = OwnedTarget(
            target,
            OwnerSettings(),
            timedelta(),
            taken_over=False,
        )

        subject = Subject('capacity_owner.state', f'{count} tries', SEED)
        yield note_value(
            subject, time_call(partial(run_tries, owned, subs)) / count, 'us'
        )
        replies = tuple(build_reply(sub) for sub in subs)
        for name, batch in (
            ('query', SubQueryBatch(subs)),
            ('reply', SubReplyBatch(replies, ())),
        ):
            yield from measure_message(name, batch, count)


def scatter_query(plan: Plan, context: ScatterContext) -> None:
    """Scatters one query whose sub-queries are all answered."""
    query = Query(RequestId('q'), WorkloadId('desk'), b'{}', DEADLINE)
    scatter = Scatter(query, plan, ScatterSettings(), context)
    for action in scatter.start(START):
        if isinstance(action, Send):
            scatter.receive(build_reply(action.sub), START)


def run_tries(owned: OwnedTarget, subs: Iterable[SubQuery]) -> None:
    """Queues, dispatches and answers tries, one after the other."""
    for sub in subs:
        for action in owned.offer(sub, START):
            if isinstance(action, Dispatch):
                owned.receive_reply(build_reply(action.sub), START)


def measure_message(
    name: str,
    batch: SubQueryBatch | SubReplyBatch,
    count: int,
) -> Iterator[Measurement]:
    """Measures a message of ``count`` sub-queries or replies, per item."""
    encoded = encode(batch, START)
    size = f'{count} in a message'
    figures = {
        'encode': (time_call(partial(encode, batch, START)), 'us'),
        'decode': (time_call(partial(decode, encoded, START)), 'us'),
        'size': (float(len(encoded)), 'bytes'),
    }
    for kind, (figure, unit) in figures.items():
        subject = Subject(f'capacity_owner.{name}.{kind}', size, SEED)
        yield note_value(subject, figure / count, unit)


def build_membership(size: Size) -> Membership:
    """Returns the membership of one host that knows all others."""
    members = build_members(size)
    membership = Membership(
        members[0],
        MembershipSettings(),
        random.Random(SEED),
        START,
        describe_head,
    )
    membership.read_host_list(members, START)
    return membership


def build_sub(number: int, target: TargetId) -> SubQuery:
    """Returns one sub-query."""
    query = Query(RequestId('q'), WorkloadId('desk'), b'{}', DEADLINE)
    return SubQuery(
        attempt_id=AttemptId(f'q:{number}'),
        request_id=query.request_id,
        shard=ShardId('desk-000/s0'),
        target=target,
        version=IndexVersion(1),
        body=query.body,
        deadline=DEADLINE,
    )


def build_reply(sub: SubQuery) -> SubReply:
    """Returns a successful reply to a sub-query."""
    return SubReply(
        sub.attempt_id,
        sub.request_id,
        sub.shard,
        sub.target,
        ReplyStatus.OK,
        version=sub.version,
        rows=ROWS,
    )


def describe_head(now: timedelta) -> ConfigurationHead:
    """Returns the head of an empty configuration."""
    return ConfigurationHead()
