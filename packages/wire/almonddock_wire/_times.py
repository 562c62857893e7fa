"""Converts durations to and from whole microseconds, as on the wire."""

from datetime import timedelta

MICROSECOND = timedelta(microseconds=1)


def count_microseconds(duration: timedelta) -> int:
    """Returns the duration in whole microseconds."""
    return duration // MICROSECOND


def make_duration(microseconds: int) -> timedelta:
    """Returns the duration of a number of microseconds."""
    return timedelta(microseconds=microseconds)
