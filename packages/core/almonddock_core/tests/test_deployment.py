import unittest

from almonddock_core.deployment import (
    DataCentreEntry,
    DataCentresFile,
    ServiceFile,
    TargetEntry,
    VersionEntry,
    build_deployment,
)
from almonddock_core.model import DataCentreId, Revision, WorkloadId

DESK = WorkloadId('desk')


def make_service(
    name: str, versions: dict[int, tuple[str, ...]]
) -> ServiceFile:
    shards = tuple(
        sorted({shard for held in versions.values() for shard in held})
    )
    return ServiceFile(
        service=name,
        workload=DESK,
        index_versions=tuple(
            VersionEntry(version=version, shards=held)
            for version, held in versions.items()
        ),
        targets=(
            TargetEntry(
                name='a',
                address='127.0.0.1:9001',
                data_centre='north',
                shards=shards,
                slots=2,
                connections=5,
            ),
        ),
    )


class DeploymentTest(unittest.TestCase):
    def setUp(self) -> None:
        self.deployment = build_deployment(
            Revision(3),
            [
                make_service('one', {1: ('s0',), 2: ('s0', 's1')}),
                make_service('two', {2: ('s0',), 3: ('s0',)}),
            ],
            DataCentresFile(
                data_centres=(
                    DataCentreEntry('north', 'kyushu', 'out'),
                    DataCentreEntry('south', 'kyushu'),
                ),
            ),
        )

    def test_lists_only_versions_that_every_service_has(self) -> None:
        self.assertEqual(self.deployment.list_versions(DESK), (2,))

    def test_lists_the_partition_map_of_a_version(self) -> None:
        version = self.deployment.list_versions(DESK)[0]
        self.assertEqual(
            self.deployment.list_shards(DESK, version),
            ('one/s0', 'one/s1', 'two/s0'),
        )

    def test_tells_which_data_centres_are_out(self) -> None:
        cases = (('north', True), ('south', False), ('unknown', False))
        for name, expected in cases:
            with self.subTest(name=name):
                self.assertIs(
                    self.deployment.is_taken_out(DataCentreId(name)),
                    expected,
                )
