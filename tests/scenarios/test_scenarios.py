"""Runs every scenario file; a failing one prints its trace and seed."""

import pathlib
import unittest

from tests.scenarios.checks import find_violations
from tests.scenarios.language import parse_scenario
from tests.scenarios.runner import Runner

FOLDER = pathlib.Path(__file__).parent
#: How many of its last decisions a failing scenario prints.
TRACE_LINES = 300


class ScenarioTest(unittest.TestCase):
    def check(self, path: pathlib.Path) -> None:
        runner = Runner(parse_scenario(path.read_text()))
        runner.run()
        violations = list(find_violations(runner))
        trace = runner.sim.trace[-TRACE_LINES:]
        report = [f'seed {runner.scenario.seed}', *trace, *violations]
        self.assertFalse(violations, '\n'.join(report))


def _add_tests() -> None:
    for path in sorted(FOLDER.glob('*.scenario')):
        name = path.stem.replace('-', '_')

        def test(case: ScenarioTest, path: pathlib.Path = path) -> None:
            case.check(path)

        setattr(ScenarioTest, f'test_{name}', test)


_add_tests()
