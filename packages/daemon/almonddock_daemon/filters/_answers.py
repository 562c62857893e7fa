"""Answers that filters return without running the query."""

from datetime import timedelta

from almonddock_core.model import Answer, Coverage, Outcome, Reason
from almonddock_daemon.filters._chain import Exchange


def refuse(exchange: Exchange, reason: Reason, now: timedelta) -> Answer:
    """Returns the answer to a query that was not run."""
    return Answer(
        request_id=exchange.query.request_id,
        outcome=Outcome.NOT_RUN,
        coverage=Coverage(total=0, answered=0),
        version=None,
        reason=reason,
        elapsed=now - exchange.arrived,
    )
