"""Checks the guarantees of the system against the evidence of a run.

Each check is a function from the evidence to its findings; the bounds come
from the users' requirements. By these, time bounds apply only to hosts that no
fault has affected for a while; correctness is checked without exception.
"""

from collections.abc import Sequence

from soak.observations import Evidence
from soak.promises._bounds import (
    check_budget,
    check_cold,
    check_drained,
    check_gone_callers,
    check_in_time,
    check_leaving,
)
from soak.promises._findings import Check, Finding
from soak.promises._hosts import (
    check_processes,
    check_readiness,
    check_recovery,
    check_stops,
)
from soak.promises._invariants import (
    check_answers,
    check_asked,
    check_deadlines,
    check_denials,
    check_once,
    check_refusals,
)
from soak.promises._replies import check_rests, check_unlisted
from soak.promises._versions import check_versions
from soak.settings import Promises

__all__ = ['CHECKS', 'Check', 'Finding', 'check_all']

CHECKS: Sequence[Check] = (
    check_answers,
    check_asked,
    check_once,
    check_refusals,
    check_denials,
    check_deadlines,
    check_in_time,
    check_leaving,
    check_drained,
    check_cold,
    check_budget,
    check_versions,
    check_stops,
    check_gone_callers,
    check_processes,
    check_recovery,
    check_readiness,
    check_unlisted,
    check_rests,
)


def check_all(evidence: Evidence, promises: Promises) -> list[Finding]:
    """Returns every finding, in the order of the checks."""
    return [
        finding for check in CHECKS for finding in check(evidence, promises)
    ]
