import pathlib
import tempfile
import unittest

import orjson
from typer.testing import CliRunner

from almonddock_cli.program import APPLICATION

FIGURE = {
    'experiment': 'example.p99',
    'deployment': 'kyushu',
    'value': 7.5,
    'unit': 'ms',
    'ratio': None,
    'bound': 8,
    'holds': True,
    'commit': 'abc',
}
SERIES = {
    'title': 'load',
    'x_label': 's',
    'y_label': 'sub-queries',
    'curves': {'a': [[0, 1], [1, 2]], 'b': [[0, 3]]},
}


class ReportTest(unittest.TestCase):
    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = pathlib.Path(folder.name)

    def report(self, figure: dict[str, object]) -> tuple[int, str]:
        path = self.folder / 'example.jsonl'
        path.write_bytes(orjson.dumps(figure))
        series = self.folder / 'example.series.jsonl'
        series.write_bytes(orjson.dumps(SERIES))
        found = CliRunner().invoke(
            APPLICATION,
            ('report', str(self.folder), '--json'),
        )
        return found.exit_code, found.output

    def test_the_bounds_decide_the_exit_code(self) -> None:
        for holds, expected in ((True, 0), (False, 1)):
            with self.subTest(holds=holds):
                code, output = self.report({**FIGURE, 'holds': holds})
                self.assertEqual(code, expected)
                figures = orjson.loads(output)['figures']
                self.assertEqual(figures[0]['holds'], holds)

    def test_every_series_becomes_a_plot(self) -> None:
        _, output = self.report(FIGURE)
        plots = orjson.loads(output)['plots']
        self.assertEqual(len(plots), 1)
        head = pathlib.Path(plots[0]).read_bytes()[:4]
        self.assertEqual(head, b'\x89PNG')
