"""Saves results together with the commit that they were measured at."""

import pathlib
import subprocess
from collections.abc import Iterable
from dataclasses import asdict

import orjson

from bench.measurement import Measurement, Series

RESULTS = pathlib.Path(__file__).parent / 'results'
ROOT = pathlib.Path(__file__).parent.parent


def find_commit() -> str:
    """Returns the checked-out commit.

    It ends in ``-changed`` if the packages or the Python files of ``bench``
    have uncommitted changes.
    """
    try:
        commit = _run_git('rev-parse', '--short=12', 'HEAD')
    except (OSError, subprocess.CalledProcessError):
        return 'unknown'
    changed = _run_git('status', '--porcelain', '--', 'packages', 'bench/*.py')
    return f'{commit}-changed' if changed else commit


def save_results(
    name: str,
    found: Iterable[Measurement | Series],
    folder: pathlib.Path = RESULTS,
) -> None:
    """Replaces the result files of one experiment.

    A file for which there are no results stays as it is.
    """
    commit = find_commit()
    folder.mkdir(parents=True, exist_ok=True)
    figures: list[bytes] = []
    curves: list[bytes] = []
    for result in found:
        lines = figures if isinstance(result, Measurement) else curves
        lines.append(orjson.dumps({**asdict(result), 'commit': commit}))
    _write_lines(folder / f'{name}.jsonl', figures)
    _write_lines(folder / f'{name}.series.jsonl', curves)


def _write_lines(path: pathlib.Path, lines: list[bytes]) -> None:
    if lines:
        path.write_bytes(b''.join(b'%b\n' % line for line in lines))


def _run_git(*arguments: str) -> str:
    command = ('git', *arguments)
    found = subprocess.run(
        command,
        cwd=ROOT,
        check=True,
        capture_output=True,
        text=True,
    )
    return found.stdout.strip()
