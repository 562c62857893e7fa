"""Encodes answers for the log and decodes them."""

from dataclasses import replace
from datetime import timedelta
from typing import Any

import orjson

from almonddock_core.idempotency._entries import Recorded
from almonddock_core.model import (
    Answer,
    Coverage,
    IndexVersion,
    MissingShard,
    Reason,
    RequestId,
    ShardId,
)


def encode_answer(answer: Answer) -> Recorded:
    """Returns the recorded form of an answer."""
    coverage = answer.coverage
    fields = {
        'reason': answer.reason.value,
        'version': answer.version,
        'answered': coverage.answered,
        'missing': [
            [shard.shard, shard.reason.value] for shard in coverage.missing
        ],
        'rows': answer.rows.decode(),
    }
    return Recorded(answer.outcome, orjson.dumps(fields))


def decode_answer(
    recorded: Recorded,
    request_id: RequestId,
    elapsed: timedelta,
) -> Answer:
    """Returns the answer to a repeated request.

    If the answer was too large to record, only its outcome is known: the
    coverage is empty and the reason is ``NOT_RECORDED``.
    """
    outcome_only = Answer(
        request_id=request_id,
        outcome=recorded.outcome,
        coverage=Coverage(total=0, answered=0),
        version=None,
        reason=Reason.NOT_RECORDED,
        elapsed=elapsed,
    )
    if not recorded.answer:
        return outcome_only
    fields: dict[str, Any] = orjson.loads(recorded.answer)
    version = fields['version']
    return replace(
        outcome_only,
        coverage=_build_coverage(fields),
        version=None if version is None else IndexVersion(version),
        rows=fields['rows'].encode(),
        reason=Reason(fields['reason']),
    )


def _build_coverage(fields: dict[str, Any]) -> Coverage:
    missing = tuple(
        MissingShard(ShardId(shard), Reason(reason))
        for shard, reason in fields['missing']
    )
    answered = fields['answered']
    return Coverage(answered + len(missing), answered, missing)
