import unittest
from datetime import timedelta
from typing import Literal

from almonddock_core.deployment import (
    DataCentreEntry,
    DataCentresFile,
    Deployment,
    ServiceFile,
    TargetEntry,
    VersionEntry,
    build_deployment,
)
from almonddock_core.model import (
    HostId,
    IndexVersion,
    Reason,
    Revision,
    ShardId,
    TargetId,
    UnknownWorkloadError,
    WorkloadId,
)
from almonddock_core.truth import SnapshotCache, VersionTable, pin_snapshot

DESK = WorkloadId('desk')
OLD, NEW = IndexVersion(1), IndexVersion(2)
A, B = TargetId('x/a'), TargetId('x/b')
OWNERS = {A: HostId('h1'), B: HostId('h2')}
LEFT, RIGHT = ShardId('x/left'), ShardId('x/right')
ALL = ShardId('x/all')
START = timedelta()


def make_target(name: str, data_centre: str) -> TargetEntry:
    return TargetEntry(
        name=name,
        address='127.0.0.1:9001',
        data_centre=data_centre,
        shards=('all', 'left', 'right'),
        slots=2,
        connections=5,
    )


def make_deployment(state: Literal['in', 'out'] = 'in') -> Deployment:
    """Builds a service whose version 2 splits its shard in two."""
    service = ServiceFile(
        service='x',
        workload='desk',
        index_versions=(
            VersionEntry(version=1, shards=('all',)),
            VersionEntry(version=2, shards=('left', 'right')),
        ),
        targets=(make_target('a', 'north'), make_target('b', 'south')),
    )
    return build_deployment(
        Revision(1),
        [service],
        DataCentresFile(
            data_centres=(
                DataCentreEntry('north', 'kyushu', state),
                DataCentreEntry('south', 'kyushu', state),
            ),
        ),
    )


class PinSnapshotTest(unittest.TestCase):
    def setUp(self) -> None:
        self.deployment = make_deployment()
        self.versions = VersionTable()

    def test_pins_the_newest_version_before_anything_is_recorded(self) -> None:
        plan = pin_snapshot(self.deployment, DESK, self.versions, OWNERS)
        self.assertEqual(plan.version, NEW)
        self.assertEqual(plan.shards, (LEFT, RIGHT))
        self.assertEqual(
            [one.owner for one in plan.candidates[LEFT]], ['h1', 'h2']
        )

    def test_leaves_out_a_replica_without_the_version(self) -> None:
        self.versions.record_missing(A, NEW, START)
        plan = pin_snapshot(self.deployment, DESK, self.versions, OWNERS)
        self.assertEqual(plan.version, NEW)
        self.assertEqual([one.target for one in plan.candidates[LEFT]], [B])

    def test_pins_an_older_version_for_all_shards(self) -> None:
        for target in (A, B):
            self.versions.record_missing(target, NEW, START)
        plan = pin_snapshot(self.deployment, DESK, self.versions, OWNERS)
        self.assertEqual((plan.version, plan.shards), (OLD, (ALL,)))

    def test_gives_a_reason_for_shards_without_a_target(self) -> None:
        gone = VersionTable()
        for target in (A, B):
            gone.record_status(target, (), START)
        no_owners: dict[TargetId, HostId] = {}
        cases = (
            (make_deployment('out'), VersionTable(), OWNERS, 'DATA_CENTRE_OUT'),
            (make_deployment(), VersionTable(), no_owners, 'OWNER_UNREACHABLE'),
            (make_deployment(), gone, OWNERS, 'NO_TARGET'),
        )
        for deployment, versions, owners, reason in cases:
            with self.subTest(reason=reason):
                plan = pin_snapshot(deployment, DESK, versions, owners)
                expected = dict.fromkeys((LEFT, RIGHT), Reason[reason])
                self.assertEqual(plan.unavailable, expected)
                self.assertEqual(plan.version, NEW)

    def test_refuses_an_unknown_workload(self) -> None:
        with self.assertRaises(UnknownWorkloadError):
            pin_snapshot(
                self.deployment, WorkloadId('no'), self.versions, OWNERS
            )

    def test_cache_is_renewed_when_any_input_changes(self) -> None:
        cache = SnapshotCache(self.versions)
        first = cache.pin(self.deployment, DESK, OWNERS)
        self.assertIs(cache.pin(self.deployment, DESK, OWNERS), first)
        self.versions.record_held(A, NEW, START)
        self.assertIs(cache.pin(self.deployment, DESK, OWNERS), first)
        self.versions.record_missing(A, NEW, START)
        second = cache.pin(self.deployment, DESK, OWNERS)
        self.assertEqual([one.target for one in second.candidates[LEFT]], [B])
        third = cache.pin(self.deployment, DESK, {A: HostId('h1')})
        self.assertEqual((third.version, third.shards), (OLD, (ALL,)))
        fourth = cache.pin(make_deployment('out'), DESK, OWNERS)
        self.assertEqual(fourth.unavailable[LEFT], Reason.DATA_CENTRE_OUT)


class VersionTableTest(unittest.TestCase):
    def test_prefers_replies_to_a_lagging_status(self) -> None:
        cases = ((1, False), (9, False), (10, True))
        for seconds, expected in cases:
            with self.subTest(seconds=seconds):
                table = VersionTable()
                table.record_missing(A, NEW, START)
                table.record_status(A, (NEW,), timedelta(seconds=seconds))
                self.assertIs(table.holds(A, NEW), expected)

    def test_removes_the_evidence_of_old_replies(self) -> None:
        table = VersionTable()
        table.record_missing(A, NEW, START)
        table.tick(timedelta(seconds=59))
        self.assertFalse(table.holds(A, NEW))
        before = table.generation
        table.tick(timedelta(seconds=60))
        self.assertTrue(table.holds(A, NEW))
        self.assertGreater(table.generation, before)

    def test_removes_the_evidence_of_a_target(self) -> None:
        table = VersionTable()
        table.record_status(A, (OLD,), START)
        table.forget(A)
        self.assertTrue(table.holds(A, NEW))
