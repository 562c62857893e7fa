"""Measurements that run outside CI.

``python -m bench`` runs every experiment, ``python -m bench NAME`` one.
An experiment is a function in any module of a package below ``bench``::

    @experiment('stragglers')
    def measure_stragglers() -> Iterator[Measurement | Series]:
        ...
        yield limit_ratio(subject, p99, 'ms', baseline=other, bound=0.25)
"""

from bench._registry import Experiment, experiment, load_experiments
from bench.measurement import (
    Measurement,
    Series,
    Subject,
    limit_ratio,
    limit_value,
    note_value,
    require_value,
)

__all__ = [
    'Experiment',
    'Measurement',
    'Series',
    'Subject',
    'experiment',
    'limit_ratio',
    'limit_value',
    'load_experiments',
    'note_value',
    'require_value',
]
