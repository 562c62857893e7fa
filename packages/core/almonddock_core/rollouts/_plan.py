"""The next step of a roll-out, from the counts of all hosts.

A version may be bad at once, later, on one route, or only under load. It gets
few requests for long, then nearly all for a short time while the old version
keeps some for comparison, then few again until that time is judged, and all of
them at the end. What it may have got at any moment stays below the bound for a
bad version until its time under load has been judged.
"""

from dataclasses import dataclass, replace
from datetime import timedelta
from types import MappingProxyType

from almonddock_core.rollouts._records import (
    RolloutBounds,
    RolloutRecord,
    RolloutStage,
    RolloutState,
)

#: The time that is left for the end of a roll-out: to move, to hear of it from
#: all hosts, and to judge.
CLOSING_TIME_S = 7.0
CLOSING_TIME = timedelta(seconds=CLOSING_TIME_S)

#: The parts of the duration after which all requests may move, at the latest
#: and at the earliest.
LATEST_MOVE = 0.75
EARLIEST_MOVE = 0.4

#: When the burst comes, as parts of the time until the move: at the latest, and
#: at the earliest where the order leaves little time.
LATEST_BURST = 0.65
EARLIEST_BURST = 0.25

#: The parts of the bound that are used: of the slack, since counts arrive late;
#: and of the requests that are expected until the deadline.
SLACK_SHARE = 0.8
EXPECTED_SHARE = 0.8

#: The parts of what a bad version may get that go to the trial, and of the
#: rest to the burst; and the most of the service's requests in a trial, which
#: leaves the old version some for comparison.
TRIAL_ROOM = 0.4
BURST_ROOM = 0.8
MAX_TRIAL_SHARE = 0.5

#: How long the rate of a service's requests is measured before a trial, and how
#: long at most a first request is waited for.
RATE_TIME = timedelta(seconds=2)
MAX_RATE_TIME_S = 4.0
MAX_RATE_TIME = timedelta(seconds=MAX_RATE_TIME_S)

MIN_BURST_S = 0.5
MIN_BURST = timedelta(seconds=MIN_BURST_S)
MAX_BURST = timedelta(seconds=3)

#: How long after a burst its answers are waited for: they arrive with delay,
#: and hosts start their part at different times.
JUDGING_TIME_S = 2.5
JUDGING_TIME = timedelta(seconds=JUDGING_TIME_S)

#: How long all requests go to the new version before a verdict, and how long
#: at most hosts are waited for that have not said that they moved.
MIN_MOVED_TIME = timedelta(seconds=2)
MAX_MOVED_TIME_S = 4.0
MAX_MOVED_TIME = timedelta(seconds=MAX_MOVED_TIME_S)

#: The time before the deadline at which a verdict is written at the latest: the
#: host that decides may have seen the order late, or lose a write.
VERDICT_MARGIN_S = 2.5
VERDICT_MARGIN = timedelta(seconds=VERDICT_MARGIN_S)
LAST_MOMENT_S = 3.0
LAST_MOMENT = timedelta(seconds=LAST_MOMENT_S)

#: The time before the deadline that a verdict takes to be written.
WRITE_TIME_MS = 500
WRITE_TIME = timedelta(milliseconds=WRITE_TIME_MS)

#: The answers of the new version without which it is not moved to, fewer where
#: a service gets few requests; and those without which it gets no burst.
MIN_ANSWERS = 15
FIRST_ANSWERS = 3
REQUESTS_AN_ANSWER = 8

#: The least rate that a burst is planned with, in requests a second.
MIN_RATE = 0.1


@dataclass(frozen=True, slots=True)
class Evidence:
    """What is known of a running roll-out."""

    #: Since the order.
    elapsed: timedelta
    #: Targets that can serve, of the new version and of others.
    new_targets: int
    old_targets: int
    #: Requests to the service, and those to the new version, over all hosts.
    requests: int
    exposed: int
    #: Requests to the service in a second.
    rate: float
    #: Answers of the new version.
    answers: int
    #: Why the new version is worse; empty if nothing shows it.
    fault: str
    #: Why it may be worse; empty if nothing points to it.
    doubt: str
    #: Whether all hosts that live act on the stage in force.
    all_moved: bool


def plan_step(
    record: RolloutRecord, evidence: Evidence, bounds: RolloutBounds
) -> RolloutRecord:
    """Returns the record that is to hold now, the same one without a change."""
    if record.state is not RolloutState.RUNNING:
        return record
    if evidence.fault:
        return record.end(RolloutState.ROLLED_BACK, evidence.fault)
    if evidence.elapsed >= record.duration - VERDICT_MARGIN:
        return _end_late(record, evidence)
    return _STEPS[record.stage](record, evidence, bounds)


def measure_room(
    record: RolloutRecord, evidence: Evidence, bounds: RolloutBounds
) -> float:
    """Returns how many more requests a bad version may get."""
    left = (record.duration - evidence.elapsed).total_seconds()
    expected = evidence.requests + evidence.rate * max(0, left)
    counted = max(evidence.requests, EXPECTED_SHARE * expected)
    allowed = bounds.exposure_share * counted
    allowed += SLACK_SHARE * bounds.exposure_slack
    return max(0, allowed - evidence.exposed)


def _end_late(record: RolloutRecord, evidence: Evidence) -> RolloutRecord:
    """Returns the verdict that is due because of the deadline."""
    if record.stage is RolloutStage.MOVED and evidence.new_targets:
        if _has_answered(evidence) and not evidence.doubt:
            if _is_too_early(record, evidence):
                return record
            return record.end(RolloutState.COMPLETED, 'deadline: no fault')
    reason = evidence.doubt or 'not moved'
    if not evidence.new_targets:
        reason = 'no target of the version'
    return record.end(RolloutState.ROLLED_BACK, f'deadline: {reason}')


def _is_too_early(record: RolloutRecord, evidence: Evidence) -> bool:
    """Whether hosts may not have heard yet that all requests moved."""
    passed = evidence.elapsed - record.stage_began
    is_told = evidence.all_moved or passed >= MIN_MOVED_TIME
    return not is_told and evidence.elapsed < record.duration - WRITE_TIME


def _leave_blocked(
    record: RolloutRecord, evidence: Evidence, bounds: RolloutBounds
) -> RolloutRecord:
    if not evidence.new_targets or evidence.elapsed < RATE_TIME:
        return record
    if not evidence.requests and evidence.elapsed < MAX_RATE_TIME:
        return record
    reason = 'targets are ready'
    return _enter_trial(record, evidence, bounds, reason)


def _enter_trial(
    record: RolloutRecord,
    evidence: Evidence,
    bounds: RolloutBounds,
    reason: str,
) -> RolloutRecord:
    room = measure_room(record, evidence, bounds)
    share = TRIAL_ROOM * room
    until = max(1, _find_burst_time(record).total_seconds())
    most = max(MIN_RATE, MAX_TRIAL_SHARE * evidence.rate)
    return replace(
        record.enter(RolloutStage.TRIAL, evidence.elapsed, reason),
        trial_rate=min(most, share / until),
        allowance=int(evidence.exposed + room),
    )


def _leave_trial(
    record: RolloutRecord, evidence: Evidence, bounds: RolloutBounds
) -> RolloutRecord:
    if evidence.doubt or not _is_staffed(evidence):
        return record
    if record.was_loaded:
        return _move(record, evidence)
    if evidence.elapsed < _find_burst_time(record):
        return record
    room = BURST_ROOM * measure_room(record, evidence, bounds)
    affordable = timedelta(seconds=room / max(evidence.rate, MIN_RATE))
    left = _find_move_time(record) - evidence.elapsed - JUDGING_TIME
    longest = min(MAX_BURST, max(MIN_BURST, left))
    return replace(
        record.enter(
            RolloutStage.BURST, evidence.elapsed, 'few requests show no fault'
        ),
        burst_time=min(affordable, longest),
        allowance=int(evidence.exposed + room),
    )


def _leave_burst(
    record: RolloutRecord, evidence: Evidence, bounds: RolloutBounds
) -> RolloutRecord:
    passed = evidence.elapsed - record.stage_began
    if passed < record.burst_time + JUDGING_TIME:
        return record
    reason = 'most requests show no fault'
    trial = _enter_trial(record, evidence, bounds, reason)
    return replace(trial, was_loaded=True)


def _move(record: RolloutRecord, evidence: Evidence) -> RolloutRecord:
    if evidence.elapsed < _find_move_time(record):
        return record
    if not _has_answered(evidence):
        return record
    return record.enter(
        RolloutStage.MOVED, evidence.elapsed, 'borne under load'
    )


def _leave_moved(
    record: RolloutRecord, evidence: Evidence, bounds: RolloutBounds
) -> RolloutRecord:
    if evidence.doubt or not evidence.new_targets:
        return record
    if not _has_answered(evidence):
        return record
    passed = evidence.elapsed - record.stage_began
    is_told = evidence.all_moved and passed >= MIN_MOVED_TIME
    if not (is_told or passed >= MAX_MOVED_TIME):
        return record
    # More answers are waited for as long as a fault could still be mended.
    room = measure_room(record, evidence, bounds)
    is_late = evidence.elapsed >= record.duration - LAST_MOMENT
    if room > evidence.rate * MIN_BURST_S and not is_late:
        return record
    reason = 'all hosts moved' if is_told else 'hosts that answer moved'
    return record.end(RolloutState.COMPLETED, reason)


def _is_staffed(evidence: Evidence) -> bool:
    """Whether enough new targets serve, and some have answered."""
    if evidence.answers < min(FIRST_ANSWERS, evidence.requests):
        return False
    return evidence.new_targets >= max(1, evidence.old_targets // 2)


def _has_answered(evidence: Evidence) -> bool:
    """Whether the new version has answered enough for a verdict.

    Counts are lost if all hosts restart: what the record says of earlier
    stages does not replace them.
    """
    needed = min(MIN_ANSWERS, evidence.requests // REQUESTS_AN_ANSWER)
    return evidence.answers >= max(1, needed)


def _find_move_time(record: RolloutRecord) -> timedelta:
    duration = record.duration
    latest = min(duration * LATEST_MOVE, duration - CLOSING_TIME)
    return max(duration * EARLIEST_MOVE, latest)


def _find_burst_time(record: RolloutRecord) -> timedelta:
    move_time = _find_move_time(record)
    latest = min(move_time * LATEST_BURST, move_time - MAX_BURST - JUDGING_TIME)
    return max(move_time * EARLIEST_BURST, latest)


_STEPS = MappingProxyType(
    {
        RolloutStage.BLOCKED: _leave_blocked,
        RolloutStage.TRIAL: _leave_trial,
        RolloutStage.BURST: _leave_burst,
        RolloutStage.MOVED: _leave_moved,
    }
)
