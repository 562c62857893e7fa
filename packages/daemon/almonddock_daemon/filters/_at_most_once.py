"""Runs a request with an idempotency key at most once."""

import dataclasses
from collections.abc import Awaitable, Callable
from datetime import timedelta

from almonddock_core.idempotency import (
    Claim,
    Decision,
    Recorded,
    Refuse,
    Repeat,
    decode_answer,
    digest_key,
    encode_answer,
    fingerprint_body,
)
from almonddock_core.model import Answer, Clock, Outcome, Query, RequestId
from almonddock_daemon.filters._answers import refuse
from almonddock_daemon.filters._chain import Exchange, Filter, Handler

#: Claims a key; the decision comes at the claim's deadline at the latest.
ClaimKey = Callable[[Claim], Awaitable[Decision]]

#: Reports the outcome of a granted request; None if it did not run.
ReportOutcome = Callable[[RequestId, Recorded | None], None]

#: The share of the remaining time that a claim may wait.
CLAIM_SHARE = 0.5


def build_at_most_once_filter(
    claim_key: ClaimKey,
    report_outcome: ReportOutcome,
    clock: Clock,
) -> Filter:
    """Returns a filter that runs each key at most once.

    A request with a key is not hedged, and not retried once it may have run,
    even if it is marked idempotent. One without a key passes unchanged.
    """

    async def run_once(exchange: Exchange, next_handler: Handler) -> Answer:
        query = exchange.query
        if query.idempotency_key is None:
            return await next_handler(exchange)
        decision = await claim_key(build_claim(query, clock.now()))
        if isinstance(decision, Repeat):
            elapsed = clock.now() - exchange.arrived
            return decode_answer(decision.recorded, query.request_id, elapsed)
        if isinstance(decision, Refuse):
            refused = refuse(exchange, decision.reason, clock.now())
            return dataclasses.replace(refused, outcome=decision.outcome)
        once = dataclasses.replace(query, idempotent=False)
        answer = await next_handler(dataclasses.replace(exchange, query=once))
        report_outcome(query.request_id, record_answer(answer))
        return answer

    return run_once


def build_claim(query: Query, now: timedelta) -> Claim:
    """Returns the claim of a query's key; it leaves time for the run."""
    return Claim(
        key=digest_key(query.workload, query.idempotency_key or ''),
        request_id=query.request_id,
        fingerprint=fingerprint_body(query.body),
        deadline=now + (query.deadline - now) * CLAIM_SHARE,
    )


def record_answer(answer: Answer) -> Recorded | None:
    """Returns what is recorded of an answer, None if nothing was run."""
    if answer.outcome is Outcome.NOT_RUN:
        return None
    return encode_answer(answer)
