import contextlib
import io
import pathlib
import tempfile
import time
from collections.abc import Iterator
from unittest import TestCase, mock

import orjson

from bench import (
    Experiment,
    Measurement,
    Series,
    Subject,
    _results,
    limit_ratio,
    limit_value,
    load_experiments,
    note_value,
    require_value,
)
from bench import (
    __main__ as program,
)

SUBJECT = Subject('example', 'kyushu', 3)


def run_quietly(*found: Measurement | Series) -> bool:
    with contextlib.redirect_stdout(io.StringIO()):
        return program.run_experiment(Experiment('example', lambda: found))


class BenchTest(TestCase):
    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = pathlib.Path(folder.name)
        save = mock.patch.object(
            program,
            'save_results',
            lambda name, found: _results.save_results(name, found, self.folder),
        )
        save.start()
        self.addCleanup(save.stop)

    def test_figures_tell_whether_their_bound_holds(self) -> None:
        cases = (
            (limit_value(SUBJECT, 2, 'ms', bound=2), True),
            (limit_value(SUBJECT, 3, 'ms', bound=2), False),
            (require_value(SUBJECT, 2, 'ms', bound=2), True),
            (require_value(SUBJECT, 1, 'ms', bound=2), False),
            (limit_ratio(SUBJECT, 1, 'ms', baseline=4, bound=0.25), True),
            (limit_ratio(SUBJECT, 2, 'ms', baseline=4, bound=0.25), False),
            (note_value(SUBJECT, 2, 'ms'), True),
        )
        for figure, expected in cases:
            with self.subTest(figure=figure):
                self.assertIs(figure.holds, expected)
                self.assertIs(run_quietly(figure), expected)

    def test_a_run_without_figures_fails(self) -> None:
        self.assertFalse(run_quietly())

    def test_a_run_past_its_time_limit_fails(self) -> None:
        def run_forever() -> Iterator[Measurement]:
            yield note_value(SUBJECT, 1, 'ms')
            time.sleep(60)

        quiet = contextlib.redirect_stderr(io.StringIO())
        with quiet, contextlib.redirect_stdout(io.StringIO()):
            slow = Experiment('example', run_forever, seconds=1)
            self.assertFalse(program.run_experiment(slow))

    def test_results_are_saved_with_the_commit(self) -> None:
        curve = Series('example', 'a', 'x', 'y', {'one': ((0, 1),)})
        run_quietly(note_value(SUBJECT, 7, 'ms'), curve)
        saved = orjson.loads((self.folder / 'example.jsonl').read_bytes())
        self.assertEqual((saved['value'], saved['unit']), (7, 'ms'))
        self.assertTrue(saved['commit'])
        path = self.folder / 'example.series.jsonl'
        self.assertEqual(orjson.loads(path.read_bytes())['title'], 'a')

    def test_every_experiment_says_what_it_measures(self) -> None:
        for name, one in load_experiments().items():
            with self.subTest(name=name):
                self.assertTrue(one.summary)
