"""Runs the tests of the workspace and prints a summary line.

Tests listed in ``KNOWN-RED.txt`` may fail: their failures are printed and
counted as skipped.
"""

import argparse
import pathlib
import sys
import unittest
from collections.abc import Iterator

ROOT = pathlib.Path(__file__).resolve().parent.parent
KNOWN_RED = ROOT / 'KNOWN-RED.txt'
TEST_FOLDERS = (
    'packages/*/*/tests',
    'platform/*/tests',
    'tests/scenarios',
    'bench/tests',
    'soak/tests',
)

#: Folders with module names relative to the distribution, not to the root.
PACKAGE_FOLDERS = ('packages', 'platform')


def read_known_red() -> frozenset[str]:
    """Returns the ids of the tests that are allowed to fail.

    An entry starts with ``test: `` and the dotted id of the test.
    """
    if not KNOWN_RED.exists():
        return frozenset()
    lines = KNOWN_RED.read_text().splitlines()
    return frozenset(
        line.removeprefix('test: ').strip()
        for line in lines
        if line.startswith('test: ')
    )


def find_modules() -> Iterator[str]:
    """Yields the dotted names of all test modules in a fixed order."""
    for pattern in TEST_FOLDERS:
        for folder in sorted(ROOT.glob(pattern)):
            packaged = pattern.startswith(PACKAGE_FOLDERS)
            top = folder.parent.parent if packaged else ROOT
            for path in sorted(folder.glob('test_*.py')):
                yield '.'.join(path.relative_to(top).with_suffix('').parts)


def list_failures(outcome: unittest.TestResult) -> frozenset[str]:
    """Returns the ids of tests that failed, raised or passed unexpectedly."""
    broken = [*outcome.failures, *outcome.errors]
    failed = {_strip_subtest(test.id()) for test, _ in broken}
    failed.update(test.id() for test in outcome.unexpectedSuccesses)
    return frozenset(failed)


def run(names: list[str]) -> int:
    """Runs the named modules, or all, and returns the exit code."""
    suite = unittest.defaultTestLoader.loadTestsFromNames(
        names or list(find_modules()),
    )
    outcome = unittest.TextTestRunner(verbosity=1).run(suite)
    failed = list_failures(outcome)
    tolerated = failed & read_known_red()
    for test_id in sorted(tolerated):
        print(f'known red: {test_id}')
    fatal = len(failed - tolerated)
    skipped = len(outcome.skipped) + len(tolerated)
    passed = outcome.testsRun - len(failed) - len(outcome.skipped)
    print(f'{passed} passed, {fatal} failed, {skipped} skipped')
    return 0 if passed > 0 and not fatal else 1


def _strip_subtest(test_id: str) -> str:
    return test_id.split(' ')[0]


if __name__ == '__main__':
    parser = argparse.ArgumentParser(description='Run the tests.')
    parser.add_argument(
        'names', nargs='*', help='Dotted test names; all tests if none.'
    )
    sys.exit(run(parser.parse_args().names))
