"""Keeping results beside the commit they were taken at."""

import pathlib
import subprocess
from collections.abc import Iterable
from dataclasses import asdict

import orjson

from bench.measurement import Measurement, Series

RESULTS = pathlib.Path(__file__).parent / 'results'
ROOT = pathlib.Path(__file__).parent.parent


def find_commit() -> str:
    """Returns the commit of the working tree, marked when it has changes."""
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
    """Replaces the files of one experiment."""
    commit = find_commit()
    folder.mkdir(parents=True, exist_ok=True)
    figures: list[bytes] = []
    curves: list[bytes] = []
    for one in found:
        kept = figures if isinstance(one, Measurement) else curves
        kept.append(orjson.dumps({**asdict(one), 'commit': commit}))
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
