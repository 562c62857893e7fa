"""Long runs of random fault schedules."""

from collections import Counter
from collections.abc import Iterator

from almonddock_core.tests.test_idempotency_schedules import run_schedule
from almonddock_core.tests.test_truth_schedules import (
    run_schedule as run_query_schedule,
)
from bench import Measurement, Subject, experiment, limit_value, note_value

SCHEDULES = 50_000

#: The unit tests run smaller seeds.
FIRST_SEED = 1_000_000


@experiment('soak_log', seconds=600)
def soak_log() -> Iterator[Measurement]:
    """Runs 50,000 fault schedules over the idempotency log."""
    counts: Counter[str] = Counter()
    violations = 0
    for seed in range(FIRST_SEED, FIRST_SEED + SCHEDULES):
        finished = run_schedule(seed)
        violations += len(finished.violations)
        counts += finished.counts
    subject = Subject('soak_log.violations', 'log', FIRST_SEED)
    yield limit_value(subject, violations, 'violations', bound=0)
    for kind, count in sorted(counts.items()):
        name = f'soak_log.{kind.lower()}'
        yield note_value(Subject(name, 'log', FIRST_SEED), count, 'decisions')


@experiment('soak_answers', seconds=600)
def soak_answers() -> Iterator[Measurement]:
    """Runs 50,000 fault schedules of whole queries."""
    counts: Counter[str] = Counter()
    violations = 0
    for seed in range(FIRST_SEED, FIRST_SEED + SCHEDULES):
        failures, outcomes = run_query_schedule(seed)
        violations += len(failures)
        counts += outcomes
    subject = Subject('soak_answers.violations', 'queries', FIRST_SEED)
    yield limit_value(subject, violations, 'violations', bound=0)
    for kind, count in sorted(counts.items()):
        name = f'soak_answers.{kind.replace(" ", "_")}'
        figure = Subject(name, 'queries', FIRST_SEED)
        yield note_value(figure, count, 'queries')
