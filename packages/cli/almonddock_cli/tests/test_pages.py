import itertools
import pathlib
import re
import shlex
import unittest
from collections.abc import Iterator

from typer.testing import CliRunner

from almonddock_cli._exits import ExitCode
from almonddock_cli.program import APPLICATION
from almonddock_core.model import Reason

ROOT = pathlib.Path(__file__).parents[4]
PAGES = ROOT / 'docs' / 'operators'
REFERENCE = PAGES / 'reference.md'
DAEMON_EVENT = re.compile(r"LOG\.(?:info|warning|error)\(\s*'([a-z_]+)'")
GATEWAY_EVENT = re.compile(r"log_event\(\s*'([a-z_]+)'")
BUDGETED_EVENT = re.compile(r"LineBudget\.[A-Z]+,\s*'([a-z_]+)'")
ERROR_CODE = re.compile(r"^    code = '([a-z_]+)'", re.MULTILINE)
METRIC_NAME = re.compile(r"'(almonddock_[a-z_]+)'")


def list_commands() -> Iterator[list[str]]:
    for page in sorted(PAGES.glob('*.md')):
        for line in page.read_text().splitlines():
            _, marker, command = line.partition('$ almonddock ')
            if marker:
                yield shlex.split(command)


def find_all(pattern: re.Pattern[str], glob: str) -> set[str]:
    found: set[str] = set()
    for path in itertools.chain(
        (ROOT / 'packages').rglob(glob),
        (ROOT / 'platform').rglob(glob),
    ):
        if 'tests' not in path.parts:
            found.update(pattern.findall(path.read_text()))
    return found


class PagesTest(unittest.TestCase):
    def test_every_command_in_the_pages_parses(self) -> None:
        commands = list(list_commands())
        self.assertGreater(len(commands), 5)
        for command in commands:
            with self.subTest(command=command):
                outcome = CliRunner().invoke(APPLICATION, [*command, '--help'])
                self.assertEqual(outcome.exit_code, ExitCode.OK, outcome.output)

    def test_every_check_in_the_pages_finds_no_fault(self) -> None:
        checks = [one for one in list_commands() if one[0] == 'check']
        self.assertGreater(len(checks), 1)
        for _, folder in checks:
            with self.subTest(folder=folder):
                command = ['check', str(ROOT / folder)]
                outcome = CliRunner().invoke(APPLICATION, command)
                self.assertEqual(outcome.exit_code, ExitCode.OK, outcome.output)

    def test_the_reference_names_every_code(self) -> None:
        text = REFERENCE.read_text()
        codes = (
            {reason.value for reason in Reason}
            | find_all(DAEMON_EVENT, 'almonddock_daemon/**/*.py')
            | find_all(GATEWAY_EVENT, 'almonddock_gateway/**/*.py')
            | find_all(BUDGETED_EVENT, 'almonddock_gateway/**/*.py')
            | find_all(ERROR_CODE, '*.py')
            | find_all(METRIC_NAME, 'telemetry/*.py')
        )
        self.assertGreater(len(codes), 50)
        missing = {code for code in codes if f'`{code}`' not in text}
        self.assertEqual(missing, set())
