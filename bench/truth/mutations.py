"""Mutation tests: disables guards one at a time; a test must detect each."""

import os
import pathlib
import shutil
import subprocess
import sys
import tempfile
from collections.abc import Iterator
from dataclasses import dataclass

from bench import Measurement, Subject, experiment, limit_value, note_value

CORE = pathlib.Path(__file__).parents[2] / 'packages' / 'core'
PACKAGE = 'almonddock_core'

STEP_TEST = 'test_idempotency_log'
SCATTER_TEST = 'test_scatter_flow'
LOG_TEST = 'test_idempotency_schedules'
QUERY_TEST = 'test_truth_schedules'
ANSWER_TEST = 'test_truth_answer'
MERGE_TEST = 'test_truth_merge'


@dataclass(frozen=True, slots=True)
class Mutation:
    """One guard in a source file and the edit that disables it."""

    name: str
    path: str
    guard: str
    #: The text that replaces that of the guard.
    without: str
    #: The test module that must fail.
    test: str


MUTATIONS = (
    Mutation(
        'grant before the record is durable',
        'idempotency/_decider.py',
        'self.waiting.queue.add(pending)\n        return []',
        'self.waiting.queue.add(pending)\n        return [Grant(claim)]',
        LOG_TEST,
    ),
    Mutation(
        'take a lost write for written',
        'idempotency/_log.py',
        'if found and found.segment.token == draft.segment.token:',
        'if found:',
        LOG_TEST,
    ),
    Mutation(
        'open a segment without sealing the one before',
        'idempotency/_segments.py',
        "'next_slot': self.next_slot,",
        "'next_slot': None,",
        LOG_TEST,
    ),
    Mutation(
        'use the slot of a segment that has not expired',
        'idempotency/_chain.py',
        'if self._reusable:\n            return self._reusable[0]',
        'if self._sealed:\n            return self._sealed[0].slot',
        LOG_TEST,
    ),
    Mutation(
        'forget records before their retention',
        'idempotency/_chain.py',
        'self._sealed[0].age <= oldest',
        'True',
        LOG_TEST,
    ),
    Mutation(
        'take a started key for free',
        'idempotency/_table.py',
        'if entry is None or entry.kind is EntryKind.RELEASED:',
        'if entry is None or entry.recorded is None:',
        LOG_TEST,
    ),
    Mutation(
        'accept the report of another request',
        'idempotency/_table.py',
        '        and entry.request_id == request_id\n',
        '',
        LOG_TEST,
    ),
    Mutation(
        'keep outcomes that another owner has overtaken',
        'idempotency/_table.py',
        'if _is_started(chain.find(key), entry.request_id)',
        'if chain',
        STEP_TEST,
    ),
    Mutation(
        'use a grant that comes after its claim was given up',
        'idempotency/_client.py',
        'if opened.state is _State.WAITING:',
        'if opened.state is not _State.USED:',
        LOG_TEST,
    ),
    Mutation(
        'use a grant after the deadline of its claim',
        'idempotency/_client.py',
        'now >= opened.claim.deadline:\n            # A host',
        'now is None:\n            # A host',
        STEP_TEST,
    ),
    Mutation(
        'use two grants of one request',
        'idempotency/_client.py',
        'opened.state = _State.USED if granted else _State.UNUSED\n',
        'pass\n',
        LOG_TEST,
    ),
    Mutation(
        'count a reply at another version',
        'scatter/_scatter.py',
        'if reply.version == self._plan.version:',
        'if reply.version:',
        SCATTER_TEST,
    ),
    Mutation(
        'merge rows of another version',
        'truth/_answer.py',
        'if reply.version != plan.version:',
        'if reply.version is None:',
        ANSWER_TEST,
    ),
    Mutation(
        'merge a reply to another request',
        'truth/_answer.py',
        'reply.shard != shard or reply.request_id != query.request_id',
        'reply.shard != shard',
        ANSWER_TEST,
    ),
    Mutation(
        'count shards outside the pinned map',
        'truth/_answer.py',
        'for shard in plan.shards:',
        'for shard in (*plan.shards, *result.replies):',
        ANSWER_TEST,
    ),
    Mutation(
        'count a shard whose rows do not merge',
        'truth/_answer.py',
        'fault = fault or _find_row_fault(rule, reply)',
        'pass',
        ANSWER_TEST,
    ),
    Mutation(
        'say not run although something may have run',
        'truth/_answer.py',
        'may_have_run = result.may_have_run or ran or bool(rejected)',
        'may_have_run = False',
        QUERY_TEST,
    ),
    Mutation(
        'forget what ran before a query was planned anew',
        'truth/_replan.py',
        'second.may_have_run or _may_have_run(first)',
        'second.may_have_run',
        QUERY_TEST,
    ),
    Mutation(
        'plan a request anew that may have run',
        'truth/_replan.py',
        'if not query.idempotent and _may_have_run(result):',
        'if False:',
        QUERY_TEST,
    ),
    Mutation(
        'take a crossed reply for the one awaited',
        'scatter/_scatter.py',
        'if not is_reply_to(attempt, self._query.request_id, reply):',
        'if False:',
        SCATTER_TEST,
    ),
    Mutation(
        'retry a request that may have run',
        'scatter/_scatter.py',
        'if self._query.idempotent or not state.may_have_run:',
        'if True:',
        QUERY_TEST,
    ),
    Mutation(
        'merge in the order of arrival',
        'truth/_merge.py',
        'ordered = [parts[shard] for shard in sorted(parts)]',
        'ordered = list(parts.values())',
        MERGE_TEST,
    ),
    Mutation(
        'round partial sums',
        'truth/_numbers.py',
        'if low:\n            grown.append(low)',
        'pass',
        MERGE_TEST,
    ),
)


@experiment('mutations', seconds=600)
def measure_mutations() -> Iterator[Measurement]:
    """Disabled guards that no test detects; must be none."""
    survived = 0
    for mutation in MUTATIONS:
        detected = is_detected(mutation)
        survived += not detected
        subject = Subject('mutations.noticed', mutation.name, 0)
        yield note_value(subject, detected, 'of 1')
    subject = Subject('mutations.survived', 'core', 0)
    yield limit_value(subject, survived, 'mutations', bound=0)


def is_detected(mutation: Mutation) -> bool:
    """Returns whether the test fails without the guard."""
    with tempfile.TemporaryDirectory() as folder:
        copy = pathlib.Path(folder) / PACKAGE
        shutil.copytree(CORE / PACKAGE, copy)
        path = copy / mutation.path
        text = path.read_text()
        if text.count(mutation.guard) != 1:
            raise ValueError(f'guard must occur exactly once: {mutation.name}')
        path.write_text(text.replace(mutation.guard, mutation.without))
        finished = subprocess.run(
            [
                sys.executable,
                '-m',
                'unittest',
                f'{PACKAGE}.tests.{mutation.test}',
            ],
            env={**os.environ, 'PYTHONPATH': folder},
            capture_output=True,
            check=False,
        )
        return finished.returncode != 0
