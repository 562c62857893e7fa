"""One measured figure."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Measurement:
    """A figure, what it is compared with, and whether its bound holds."""

    experiment: str
    deployment: str
    seed: int
    value: float
    unit: str
    #: The figure of the baseline in the same run.
    baseline: float | None = None
    #: The value over the baseline.
    ratio: float | None = None
    bound: float | None = None
    holds: bool | None = None
