import copy
import json
import unittest
from collections.abc import Callable
from typing import Any

from almonddock_core.configuration import DATA_CENTRES_FILE, check_files
from almonddock_core.model import FindingsError

Edit = Callable[[dict[str, Any]], object]


def make_service(number: int) -> dict[str, Any]:
    return {
        'service': f'desk-{number}',
        'workload': 'desk',
        'index_versions': [{'version': 1, 'shards': ['s0']}],
        'targets': [
            {
                'name': 'a',
                'address': f'127.0.0.1:{9000 + number}',
                'data_centre': 'north',
                'shards': ['s0'],
                'slots': 3,
                'connections': 30,
            },
        ],
    }


def make_files() -> dict[str, Any]:
    return {
        'one.json': make_service(1),
        'two.json': make_service(2),
        DATA_CENTRES_FILE: {
            'data_centres': [{'name': 'north', 'region': 'kyushu'}],
        },
    }


def check(files: dict[str, Any]) -> set[tuple[str, str, str]]:
    try:
        check_files(
            {
                name: json.dumps(content).encode()
                for name, content in files.items()
            }
        )
    except FindingsError as error:
        return {
            (finding.file, finding.pointer, finding.code)
            for finding in error.findings
        }
    return set()


def set_at(*path: Any) -> Edit:
    *parents, key, value = path

    def edit(file: dict[str, Any]) -> None:
        node: Any = file
        for parent in parents:
            node = node[parent]
        node[key] = value

    return edit


TARGET = ('targets', 0)
CASES: tuple[tuple[Edit, str, str], ...] = (
    (
        set_at(*TARGET, 'address', '127.0.0.1:9001'),
        '/targets/0/address',
        'address_used_twice',
    ),
    (
        set_at(*TARGET, 'address', '127.0.0.900:1'),
        '/targets/0/address',
        'invalid_address',
    ),
    (
        set_at(*TARGET, 'data_centre', 'west'),
        '/targets/0/data_centre',
        'unknown_data_centre',
    ),
    (
        set_at('index_versions', 0, 'shards', ['s0', 's1']),
        '/index_versions/0/shards/1',
        'shard_without_target',
    ),
    (
        set_at(*TARGET, 'shards', ['s0', 's9']),
        '/targets/0/shards/1',
        'unknown_shard',
    ),
    (
        set_at(*TARGET, 'connections', 2),
        '/targets/0/connections',
        'limit_below_need',
    ),
    (
        set_at(*TARGET, 'cold_slots', 4),
        '/targets/0/cold_slots',
        'limit_below_need',
    ),
    (set_at('merge', {'kind': 'count'}), '/merge', 'merge_differs'),
    (
        set_at('index_versions', 0, 'version', 2),
        '/index_versions',
        'no_common_version',
    ),
    (set_at('service', 'desk-1'), '/service', 'service_used_twice'),
    (set_at('deadline_ms', 20_000), '/deadline_ms', 'limit_below_need'),
    (set_at('a/b', 1), '/a~1b', 'unexpected_keyword_argument'),
)


class CheckFilesTest(unittest.TestCase):
    def test_accepts_consistent_files(self) -> None:
        files = {
            name: json.dumps(content).encode()
            for name, content in make_files().items()
        }
        checked = check_files(files)
        self.assertEqual(
            [service.service for service in checked.services],
            ['desk-1', 'desk-2'],
        )
        self.assertEqual(checked.bodies['desk-2'], files['two.json'])

    def test_reports_the_pointer_of_each_fault(self) -> None:
        for edit, pointer, code in CASES:
            with self.subTest(pointer=pointer, code=code):
                files = make_files()
                edit(files['two.json'])
                self.assertEqual(check(files), {('two.json', pointer, code)})

    def test_reports_the_faults_of_all_files_at_once(self) -> None:
        files = make_files()
        broken = copy.deepcopy(files['one.json'])
        broken['targets'][0]['slots'] = '3'
        files['one.json'] = broken
        files['two.json']['targets'][0]['data_centre'] = 'west'
        files[DATA_CENTRES_FILE]['data_centres'][0]['state'] = 'away'
        files['three.json'] = []
        self.assertEqual(
            {(file, pointer) for file, pointer, _ in check(files)},
            {
                ('one.json', '/targets/0/slots'),
                (DATA_CENTRES_FILE, '/data_centres/0/state'),
                ('three.json', ''),
            },
        )

    def test_requires_the_data_centres_file(self) -> None:
        files = make_files()
        files.pop(DATA_CENTRES_FILE)
        self.assertEqual(
            check(files),
            {(DATA_CENTRES_FILE, '', 'missing_file')},
        )
