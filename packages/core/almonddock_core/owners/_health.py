"""The states that a target's health endpoint reports."""

import enum


class TargetHealth(enum.Enum):
    """The state that a target reports."""

    OK = 'ok'
    COLD = 'cold'
    DRAINING = 'draining'
