"""Seeds that once had a finding, each with its cause."""

import json
import pathlib
from collections.abc import Sequence
from dataclasses import dataclass
from datetime import timedelta

from soak.settings import SoakSettings

CASES_PATH = pathlib.Path(__file__).with_name('regressions.json')


@dataclass(frozen=True, slots=True)
class RegressionCase:
    """A run that had a finding, and the cause of the finding."""

    seed: int
    #: Faults per second.
    rate: float
    cause: str
    #: How long faults are injected, in seconds.
    seconds: float = 20
    #: Names of the kinds of faults that are drawn; empty for all.
    kinds: Sequence[str] = ()
    hosts: int = 4

    def make_settings(self) -> SoakSettings:
        """Returns the settings of the run."""
        return SoakSettings(
            seed=self.seed,
            fault_rate=self.rate,
            fault_time=timedelta(seconds=self.seconds),
            kinds=tuple(self.kinds),
            hosts=self.hosts,
        )


def load_cases() -> list[RegressionCase]:
    """Returns all cases in the order of the file."""
    return [
        RegressionCase(**case) for case in json.loads(CASES_PATH.read_text())
    ]
