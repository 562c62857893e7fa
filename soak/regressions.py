"""Seeds that found something once, each with its cause."""

import json
import pathlib
from dataclasses import dataclass

CASES = pathlib.Path(__file__).with_name('regressions.json')


@dataclass(frozen=True, slots=True)
class RegressionCase:
    """A run that had a finding, and why."""

    seed: int
    #: Faults a second.
    rate: float
    cause: str


def load_cases() -> list[RegressionCase]:
    """Returns all cases, in the order in which they were found."""
    return [RegressionCase(**case) for case in json.loads(CASES.read_text())]
