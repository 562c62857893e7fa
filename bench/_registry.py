"""The index of experiments by name."""

import importlib
import pkgutil
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass
from functools import partial
from types import MappingProxyType

from bench.measurement import Measurement, Series

DEFAULT_SECONDS = 120

Run = Callable[[], Iterable[Measurement | Series]]


@dataclass(frozen=True, slots=True)
class Experiment:
    """The function of an experiment, its name and its time limit."""

    name: str
    run: Run
    seconds: int = DEFAULT_SECONDS

    @property
    def summary(self) -> str:
        """The first line of the function's docstring."""
        return (self.run.__doc__ or '').split('\n')[0]


class Registry:
    """Experiments by name; names are unique."""

    def __init__(self) -> None:
        self._experiments: dict[str, Experiment] = {}

    def add(self, name: str, seconds: int, run: Run) -> Run:
        """Registers a function and returns it."""
        if name in self._experiments:
            raise ValueError(f'two experiments are named {name}')
        self._experiments[name] = Experiment(name, run, seconds)
        return run

    def copy(self) -> Mapping[str, Experiment]:
        """Returns the experiments sorted by name."""
        return MappingProxyType(dict(sorted(self._experiments.items())))


_REGISTRY = Registry()


def experiment(
    name: str,
    *,
    seconds: int = DEFAULT_SECONDS,
) -> Callable[[Run], Run]:
    """Registers the decorated function under a name."""
    return partial(_REGISTRY.add, name, seconds)


def load_experiments() -> Mapping[str, Experiment]:
    """Imports every module below ``bench`` and returns what it registers."""
    bench = importlib.import_module('bench')
    for found in pkgutil.walk_packages(bench.__path__, 'bench.'):
        if '.tests' not in found.name and '__main__' not in found.name:
            importlib.import_module(found.name)
    return _REGISTRY.copy()
