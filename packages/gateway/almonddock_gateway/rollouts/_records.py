"""The records of roll-outs as the store holds them, in JSON.

A record names its order by the store's number alone: the era is that of the
record, because both are in the same copy of the store.
"""

from datetime import timedelta
from typing import Any

import orjson

from almonddock_core.model import get_era, split_revision
from almonddock_core.rollouts import (
    RolloutRecord,
    RolloutStage,
    RolloutState,
)

MS = timedelta(milliseconds=1)


def encode_record(record: RolloutRecord) -> bytes:
    """Returns the stored form."""
    return orjson.dumps(
        {
            'service': record.service,
            'version': record.version,
            'order_revision': split_revision(record.order_revision)[1],
            'answered_revision': split_revision(record.answered_revision)[1],
            'duration_ms': record.duration // MS,
            'state': record.state.value,
            'stage': record.stage.value,
            'stage_number': record.stage_number,
            'stage_began_ms': record.stage_began // MS,
            'trial_rate': record.trial_rate,
            'allowance': record.allowance,
            'burst_ms': record.burst_time // MS,
            'was_loaded': record.was_loaded,
            'old_versions': sorted(record.old_versions),
            'barred_versions': sorted(record.barred_versions),
            'reason': record.reason,
        }
    )


def decode_record(encoded: bytes, revision: int) -> RolloutRecord:
    """Returns the record that the store holds at a revision.

    Raises:
        ValueError: the bytes are not JSON, or a value is not valid.
        TypeError: a value has the wrong type.
        KeyError: a field is missing.
    """
    body: dict[str, Any] = orjson.loads(encoded)
    record = RolloutRecord(
        service=str(body['service']),
        version=str(body['version']),
        order_revision=int(body['order_revision']),
        answered_revision=int(body['answered_revision']),
        duration=int(body['duration_ms']) * MS,
        state=RolloutState(body['state']),
        stage=RolloutStage(body['stage']),
        stage_number=int(body['stage_number']),
        stage_began=int(body['stage_began_ms']) * MS,
        trial_rate=float(body['trial_rate']),
        allowance=int(body['allowance']),
        burst_time=int(body['burst_ms']) * MS,
        was_loaded=bool(body['was_loaded']),
        old_versions=frozenset(map(str, body['old_versions'])),
        barred_versions=frozenset(map(str, body['barred_versions'])),
        reason=str(body['reason']),
    )
    return record.place_in_era(get_era(revision))
