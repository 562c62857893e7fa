"""Builds the answer of a query and its coverage."""

from collections.abc import Callable

from almonddock_core.deployment import MergeRule
from almonddock_core.model import Answer, Clock, WorkloadId
from almonddock_core.truth import build_answer
from almonddock_daemon.filters._chain import Exchange, Handler


def build_coverage_handler(
    find_rule: Callable[[WorkloadId], MergeRule],
    clock: Clock,
) -> Handler:
    """Returns the last handler, which merges rows and counts shards."""

    async def answer(exchange: Exchange) -> Answer:
        assert exchange.plan is not None
        assert exchange.result is not None
        return build_answer(
            exchange.query,
            exchange.plan,
            exchange.result,
            find_rule(exchange.query.workload),
            clock.now() - exchange.arrived,
        )

    return answer
