"""Runs experiments, prints one JSON line per figure and saves the results.

The exit code is 1 when a bound does not hold or a run exceeds its time limit
or yields no figure, and 2 when no experiment has the name. The name ``list``
lists all experiments instead.
"""

import contextlib
import signal
import sys
from collections.abc import Iterator, Mapping
from dataclasses import asdict
from types import FrameType

import orjson

from bench import Experiment, Measurement, Series, load_experiments
from bench._results import save_results

UNKNOWN_EXPERIMENT = 2


def main(names: list[str]) -> int:
    """Runs the named experiments, or all, and returns the exit code."""
    known = load_experiments()
    unknown = [name for name in names if name not in known]
    if unknown or names == ['list']:
        _print_index(known)
        return UNKNOWN_EXPERIMENT if unknown and names != ['list'] else 0
    failed = [
        name for name in names or known if not run_experiment(known[name])
    ]
    for name in failed:
        print(f'failed: {name}', file=sys.stderr)
    return 1 if failed else 0


def run_experiment(chosen: Experiment) -> bool:
    """Runs one experiment and returns whether every bound holds.

    Also returns False past the time limit and when there is no figure.
    """
    results: list[Measurement | Series] = []
    try:
        with limit_time(chosen.seconds):
            for result in chosen.run():
                results.append(result)
                _print_figure(result)
    except TimeoutError as error:
        print(f'{chosen.name}: {error}', file=sys.stderr)
        return False
    finally:
        save_results(chosen.name, results)
    figures = [each for each in results if isinstance(each, Measurement)]
    return bool(figures) and all(each.holds for each in figures)


@contextlib.contextmanager
def limit_time(seconds: int) -> Iterator[None]:
    """Raises TimeoutError in the block after a number of seconds."""
    previous = signal.signal(signal.SIGALRM, _raise_timeout)
    signal.alarm(seconds)
    try:
        yield
    finally:
        signal.alarm(0)
        signal.signal(signal.SIGALRM, previous)


def _raise_timeout(number: int, frame: FrameType | None) -> None:
    raise TimeoutError('the experiment took longer than its limit')


def _print_figure(result: Measurement | Series) -> None:
    if isinstance(result, Measurement):
        print(orjson.dumps(asdict(result)).decode(), flush=True)


def _print_index(known: Mapping[str, Experiment]) -> None:
    for name, chosen in known.items():
        print(f'{name:24} {chosen.summary}')


if __name__ == '__main__':
    sys.exit(main(sys.argv[1:]))
