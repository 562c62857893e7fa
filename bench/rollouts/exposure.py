"""Requests to a version that turns out bad, and verdicts on good ones."""

from collections.abc import Iterator
from dataclasses import dataclass
from types import MappingProxyType

from almonddock_core.rollouts import RolloutState
from almonddock_core.tests.rollout_fleet import (
    BOUNDS,
    Behave,
    RolloutFleet,
    Work,
    behave_well,
    happens,
)
from bench import (
    Measurement,
    Subject,
    experiment,
    limit_value,
    note_value,
    require_value,
)

#: Hosts, requests to the service in a second, and seeds of each kind.
SIZES = ((4, 20.0, 200), (26, 20.0, 200), (300, 200.0, 5))

WARM_UP_S = 3
DURATION_S = 20

#: The load from which some versions are bad, and when others turn bad.
HEAVY = 0.5
LATER_S = 8

#: The bad answer after which a version must soon get nothing more.
LAST_BAD = 50


@dataclass(frozen=True, slots=True)
class Outcome:
    """How one roll-out ended."""

    state: RolloutState | None
    #: Requests to the new version beyond the bound.
    excess: float
    #: Requests sent too long after the last bad answer that is allowed.
    late: int
    #: Requests whose first attempt failed.
    failed: int
    verdict_s: float


@experiment('rollouts', seconds=1800)
def measure_rollouts() -> Iterator[Measurement]:
    """Exposure to bad versions, and verdicts, at 4, 26 and 300 hosts."""
    for size, rate, seeds in SIZES:
        for name, behave in KINDS.items():
            outcomes = [
                roll_out(size, rate, seed, behave) for seed in range(seeds)
            ]
            yield from summarize(f'{size} hosts', name, outcomes)


def summarize(
    deployment: str, name: str, outcomes: list[Outcome]
) -> Iterator[Measurement]:
    """Yields the figures of all seeds of one kind of version."""
    seeds = len(outcomes)
    is_good = name == 'good'
    wanted = RolloutState.COMPLETED if is_good else RolloutState.ROLLED_BACK
    right = sum(outcome.state is wanted for outcome in outcomes)
    yield require_value(
        Subject(f'rollouts.{name}.verdicts', deployment, 0),
        right,
        f'of {seeds} seeds',
        bound=seeds,
    )
    verdicts = sorted(outcome.verdict_s for outcome in outcomes)
    yield note_value(
        Subject(f'rollouts.{name}.verdict_median', deployment, 0),
        verdicts[seeds // 2],
        's',
    )
    if is_good:
        return
    yield limit_value(
        Subject(f'rollouts.{name}.excess', deployment, 0),
        max(outcome.excess for outcome in outcomes),
        'requests above the bound, worst seed',
        bound=0,
    )
    yield limit_value(
        Subject(f'rollouts.{name}.late', deployment, 0),
        max(outcome.late for outcome in outcomes),
        'requests after the 50th bad answer',
        bound=0,
    )
    yield note_value(
        Subject(f'rollouts.{name}.failed', deployment, 0),
        sum(outcome.failed for outcome in outcomes) / seeds,
        'first attempts that failed, mean',
    )


def roll_out(size: int, rate: float, seed: int, behave: Behave) -> Outcome:
    """Plays one roll-out from the order to its deadline."""
    fleet = RolloutFleet(
        size, seed, rate, behave_new=behave, is_told=size < SIZES[-1][0]
    )
    fleet.run(WARM_UP_S)
    before = fleet.requests
    failed = fleet.failed
    fleet.order(duration_s=DURATION_S)
    fleet.run(DURATION_S)
    requests = fleet.requests - before
    bound = BOUNDS.exposure_share * requests + BOUNDS.exposure_slack
    last = fleet.store.written[-1] if fleet.store.written else None
    return Outcome(
        last.state if last else None,
        len(fleet.exposed) - bound,
        count_late(fleet),
        fleet.failed - failed,
        fleet.find_verdict_time().total_seconds(),
    )


def count_late(fleet: RolloutFleet) -> int:
    """Returns requests after the 50th bad answer and the time to roll back."""
    bad = [sent for sent, is_bad in fleet.exposed if is_bad]
    if len(bad) < LAST_BAD:
        return 0
    limit = bad[LAST_BAD - 1] + BOUNDS.rollback_time
    return sum(sent > limit for sent, _ in fleet.exposed)


def fail_at_once(work: Work) -> tuple[bool, float]:
    """Fails three of ten requests."""
    failed, slowness = behave_well(work)
    return failed or happens(work.draws, 0.3), slowness


def slow_down(work: Work) -> tuple[bool, float]:
    """Answers four of ten requests five times slower."""
    failed, slowness = behave_well(work)
    if happens(work.draws, 0.4):
        slowness *= 5
    return failed, slowness


def fail_later(work: Work) -> tuple[bool, float]:
    """Fails three of ten requests after some seconds."""
    failed, slowness = behave_well(work)
    is_bad = work.elapsed > LATER_S and happens(work.draws, 0.3)
    return failed or is_bad, slowness


def fail_under_load(work: Work) -> tuple[bool, float]:
    """Fails four of ten requests while it gets most of them."""
    failed, slowness = behave_well(work)
    is_bad = work.load > HEAVY and happens(work.draws, 0.4)
    return failed or is_bad, slowness


def slow_under_load(work: Work) -> tuple[bool, float]:
    """Answers six of ten requests six times slower under load."""
    failed, slowness = behave_well(work)
    if work.load > HEAVY and happens(work.draws, 0.6):
        slowness *= 6
    return failed, slowness


def fail_on_one_route(work: Work) -> tuple[bool, float]:
    """Fails four of ten requests on the route with fewer of them."""
    failed, slowness = behave_well(work)
    is_bad = work.route == 'quick' and happens(work.draws, 0.4)
    return failed or is_bad, slowness


KINDS = MappingProxyType(
    {
        'good': behave_well,
        'failing': fail_at_once,
        'slow': slow_down,
        'later': fail_later,
        'load': fail_under_load,
        'slow-load': slow_under_load,
        'route': fail_on_one_route,
    }
)
