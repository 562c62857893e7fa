"""Builders of deployments, members and sub-queries for the owner tests."""

from datetime import timedelta

from almonddock_core.deployment import (
    DataCentreEntry,
    DataCentresFile,
    Deployment,
    ServiceFile,
    Target,
    TargetEntry,
    VersionEntry,
    build_deployment,
)
from almonddock_core.model import (
    AttemptId,
    DataCentreId,
    HostId,
    IndexVersion,
    LoadReport,
    Member,
    MemberState,
    Reason,
    ReplyStatus,
    RequestId,
    Revision,
    ShardId,
    SubQuery,
    SubReply,
    TargetId,
    Urgency,
)

DATA_CENTRES = ('north', 'middle', 'south')
TARGET = TargetId('desk-0/a')
SHARD = ShardId('desk-0/s0')
START = timedelta(seconds=100)


def millis(count: float) -> timedelta:
    return timedelta(milliseconds=count)


def make_deployment(
    services: int,
    replicas: int = 2,
    slots: int = 3,
    cold_slots: int = 1,
) -> Deployment:
    files = [
        ServiceFile(
            service=f'desk-{number}',
            workload='desk',
            index_versions=(VersionEntry(version=1, shards=('s0',)),),
            targets=tuple(
                TargetEntry(
                    name='abcdefg'[replica],
                    address='127.0.0.1:9001',
                    data_centre=DATA_CENTRES[
                        (number + replica) % len(DATA_CENTRES)
                    ],
                    shards=('s0',),
                    slots=slots,
                    connections=30,
                    cold_slots=cold_slots,
                )
                for replica in range(replicas)
            ),
        )
        for number in range(services)
    ]
    data_centres = tuple(
        DataCentreEntry(data_centre, 'kyushu') for data_centre in DATA_CENTRES
    )
    return build_deployment(Revision(1), files, DataCentresFile(data_centres))


def make_target(slots: int = 3, cold_slots: int = 1) -> Target:
    return make_deployment(1, 1, slots, cold_slots).targets[TARGET]


def make_members(count: int, data_centres: int = 3) -> list[Member]:
    return [
        Member(
            HostId(f'host-{number:04}'),
            DataCentreId(DATA_CENTRES[number % data_centres]),
            '127.0.0.1:1',
            state=MemberState.ALIVE,
        )
        for number in range(count)
    ]


def make_sub(
    number: int,
    deadline_ms: float = 300,
    urgency: Urgency = Urgency.NORMAL,
    worth: float = 1,
) -> SubQuery:
    return SubQuery(
        attempt_id=AttemptId(f'request-{number}:0'),
        request_id=RequestId(f'request-{number}'),
        shard=SHARD,
        target=TARGET,
        version=IndexVersion(1),
        body=b'{}',
        deadline=START + millis(deadline_ms),
        urgency=urgency,
        worth=worth,
    )


def make_reply(
    sub: SubQuery,
    status: ReplyStatus = ReplyStatus.OK,
    reason: Reason = Reason.NONE,
    load_report: LoadReport = LoadReport(),
) -> SubReply:
    return SubReply(
        attempt_id=sub.attempt_id,
        request_id=sub.request_id,
        shard=sub.shard,
        target=sub.target,
        status=status,
        reason=reason,
        load_report=load_report,
    )
