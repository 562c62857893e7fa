"""Formats answers and errors as JSON."""

from datetime import timedelta

import orjson

from almonddock_core.model import (
    AlmonddockError,
    Answer,
    InvalidRequestError,
    Outcome,
)

STATUS_OK = 200
STATUS_BAD_REQUEST = 400
STATUS_NOT_FOUND = 404
STATUS_INTERNAL = 500
STATUS_UNAVAILABLE = 503
STATUS_TIMEOUT = 504

MILLISECOND = timedelta(milliseconds=1)


def choose_status(answer: Answer) -> int:
    """Returns the HTTP status of an answer."""
    if answer.outcome is Outcome.NOT_RUN:
        return STATUS_UNAVAILABLE
    if answer.outcome is Outcome.OUTCOME_UNKNOWN:
        return STATUS_TIMEOUT
    return STATUS_OK


def format_answer(answer: Answer) -> bytes:
    """Returns the JSON text of an answer; rows are embedded unchanged."""
    coverage = answer.coverage
    return orjson.dumps(
        {
            'request_id': answer.request_id,
            'outcome': answer.outcome.value,
            'reason': answer.reason.value,
            'index_version': answer.version,
            'coverage': {
                'total': coverage.total,
                'answered': coverage.answered,
                'missing': [
                    {'shard': one.shard, 'reason': one.reason.value}
                    for one in coverage.missing
                ],
            },
            'rows': orjson.Fragment(answer.rows),
            'timings': {'elapsed_ms': answer.elapsed / MILLISECOND},
            'extra_tries': answer.extra_tries,
        },
    )


def format_error(
    error: AlmonddockError,
    *,
    ran: bool = False,
) -> bytes:
    """Returns the JSON text of an error; ``ran`` if anything may have run."""
    pointer = error.pointer if isinstance(error, InvalidRequestError) else None
    return orjson.dumps(
        {
            'error': {
                'code': error.code,
                'message': error.message,
                'pointer': pointer,
                'ran': ran,
            },
        },
    )
