"""What an experiment yields: figures with their bounds, and curves."""

from collections.abc import Mapping
from dataclasses import dataclass, replace

Point = tuple[float, float]
Curve = tuple[Point, ...]


@dataclass(frozen=True, slots=True)
class Subject:
    """Names what a figure measures, where and with which seed."""

    #: The experiment, then its figure: ``stragglers.p99.60``.
    experiment: str
    #: The deployment or the size, for example ``kyushu`` or ``1600 hosts``.
    deployment: str
    seed: int


@dataclass(frozen=True, slots=True)
class Measurement:
    """One figure; printed and saved as one line of JSON.

    Made by :func:`limit_value`, :func:`require_value`, :func:`limit_ratio`
    or :func:`note_value`, which work out ``holds``.
    """

    experiment: str
    deployment: str
    seed: int
    value: float
    unit: str
    #: The figure that ``value`` is compared with, from the same run.
    baseline: float | None = None
    #: ``value / baseline``.
    ratio: float | None = None
    #: The required limit: of the ratio if there is one, else of the value.
    bound: float | None = None
    #: Whether the bound holds; True if there is none.
    holds: bool = True


@dataclass(frozen=True, slots=True)
class Series:
    """Curves for one plot of the report."""

    experiment: str
    title: str
    x_label: str
    y_label: str
    #: The points of each curve by its name.
    curves: Mapping[str, Curve]


def note_value(
    subject: Subject,
    value: float,
    unit: str,
    *,
    baseline: float | None = None,
) -> Measurement:
    """Returns a figure without a bound."""
    return Measurement(
        subject.experiment,
        subject.deployment,
        subject.seed,
        value,
        unit,
        baseline=baseline,
        ratio=value / baseline if baseline else None,
    )


def limit_value(
    subject: Subject,
    value: float,
    unit: str,
    *,
    bound: float,
) -> Measurement:
    """Returns a figure that must not exceed the bound."""
    noted = note_value(subject, value, unit)
    return replace(noted, bound=bound, holds=value <= bound)


def require_value(
    subject: Subject,
    value: float,
    unit: str,
    *,
    bound: float,
) -> Measurement:
    """Returns a figure that must reach the bound."""
    noted = note_value(subject, value, unit)
    return replace(noted, bound=bound, holds=value >= bound)


def limit_ratio(
    subject: Subject,
    value: float,
    unit: str,
    *,
    baseline: float,
    bound: float,
) -> Measurement:
    """Returns a figure whose ratio to a baseline must not exceed a bound.

    Raises:
        ZeroDivisionError: the baseline is zero, so there is no ratio.
    """
    ratio = value / baseline
    noted = note_value(subject, value, unit, baseline=baseline)
    return replace(noted, bound=bound, holds=ratio <= bound)
