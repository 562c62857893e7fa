"""Traces each query with a span of the entry host."""

import dataclasses

from almonddock_core.model import Answer
from almonddock_daemon.filters._chain import Exchange, Filter, Handler
from almonddock_daemon.telemetry import Tracing


def build_trace_filter(tracing: Tracing) -> Filter:
    """Returns a filter that records a span from arrival to answer."""

    async def trace(exchange: Exchange, next_handler: Handler) -> Answer:
        query = exchange.query
        span = tracing.start_span(
            'entry',
            query.traceparent,
            {'request_id': query.request_id, 'workload': query.workload},
        )
        traced = dataclasses.replace(query, traceparent=span.traceparent)
        answer = await next_handler(dataclasses.replace(exchange, query=traced))
        span.end(
            {
                'outcome': answer.outcome.value,
                'shards': answer.coverage.total,
                'answered': answer.coverage.answered,
            },
        )
        return answer

    return trace
