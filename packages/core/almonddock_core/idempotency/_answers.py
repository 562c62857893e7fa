"""Answers as they are kept in the log."""

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
    """Returns what the log keeps of an answer."""
    coverage = answer.coverage
    kept = {
        'reason': answer.reason.value,
        'version': answer.version,
        'answered': coverage.answered,
        'missing': [[one.shard, one.reason.value] for one in coverage.missing],
        'rows': answer.rows.decode(),
    }
    return Recorded(answer.outcome, orjson.dumps(kept))


def decode_answer(
    recorded: Recorded,
    request_id: RequestId,
    elapsed: timedelta,
) -> Answer:
    """Returns the answer to a repeated request.

    Where the recorded answer was too large to keep, only its outcome is
    known: the coverage is empty and the reason is ``NOT_RECORDED``.
    """
    bare = Answer(
        request_id=request_id,
        outcome=recorded.outcome,
        coverage=Coverage(total=0, answered=0),
        version=None,
        reason=Reason.NOT_RECORDED,
        elapsed=elapsed,
    )
    if not recorded.answer:
        return bare
    kept: dict[str, Any] = orjson.loads(recorded.answer)
    version = kept['version']
    return replace(
        bare,
        coverage=_build_coverage(kept),
        version=None if version is None else IndexVersion(version),
        rows=kept['rows'].encode(),
        reason=Reason(kept['reason']),
    )


def _build_coverage(kept: dict[str, Any]) -> Coverage:
    missing = tuple(
        MissingShard(ShardId(shard), Reason(reason))
        for shard, reason in kept['missing']
    )
    answered = kept['answered']
    return Coverage(answered + len(missing), answered, missing)
