"""Seeds that once had a finding, each with its cause."""

import json
import pathlib
from dataclasses import dataclass

CASES_PATH = pathlib.Path(__file__).with_name('regressions.json')


@dataclass(frozen=True, slots=True)
class RegressionCase:
    """A run that had a finding, and the cause of the finding."""

    seed: int
    #: Faults per second.
    rate: float
    cause: str


def load_cases() -> list[RegressionCase]:
    """Returns all cases in the order of the file."""
    return [
        RegressionCase(**case) for case in json.loads(CASES_PATH.read_text())
    ]
