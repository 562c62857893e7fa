"""What a target's health endpoint says."""

import enum


class TargetHealth(enum.Enum):
    """The state that a target reports of itself."""

    OK = 'ok'
    COLD = 'cold'
    DRAINING = 'draining'
