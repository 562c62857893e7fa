import unittest
from typing import Any

import orjson

from almonddock_core.model import FindingsError
from almonddock_daemon.settings import parse_settings


def build_text(**changes: Any) -> bytes:
    settings: dict[str, Any] = {
        'host': 'kyu-1',
        'data_centre': 'kyushu-1',
        'listen': {'http': '127.0.0.1:8000', 'link': '127.0.0.1:8001'},
        'store': {'endpoints': ['http://127.0.0.1:2379']},
        'host_list': {'url': 'http://127.0.0.1:2380'},
    }
    settings.update(changes)
    return orjson.dumps(settings)


class SettingsTest(unittest.TestCase):
    def test_defaults_are_filled_in(self) -> None:
        settings = parse_settings('host.json', build_text())
        self.assertEqual(settings.host, 'kyu-1')
        self.assertEqual(settings.traces.export, 'none')

    def test_every_fault_is_reported_with_its_place(self) -> None:
        cases: tuple[tuple[dict[str, Any], list[str]], ...] = (
            ({'host': 3, 'seed': 'x'}, ['/host', '/seed']),
            (
                {'listen': {'http': 'here', 'link': '127.0.0.1:1', 'no': 1}},
                ['/listen/http', '/listen/no'],
            ),
            (
                {'listen': {'http': '127.0.0.1:1', 'link': '127.0.0.1:1'}},
                ['/listen/link'],
            ),
            ({'traces': {'export': 'otlp'}}, ['/traces/endpoint']),
            ({'traces': {'share': 1.5}}, ['/traces/share']),
            ({'store': {'endpoints': []}}, ['/store/endpoints']),
        )
        for changes, expected in cases:
            with self.subTest(changes=changes):
                with self.assertRaises(FindingsError) as caught:
                    parse_settings('host.json', build_text(**changes))
                findings = caught.exception.findings
                self.assertEqual([one.pointer for one in findings], expected)
                self.assertEqual({one.file for one in findings}, {'host.json'})

    def test_broken_json_is_a_finding(self) -> None:
        with self.assertRaises(FindingsError):
            parse_settings('host.json', b'{"host": ')
