"""Answers the queries that reach this host."""

import secrets
from collections.abc import Callable

from almonddock_core.deployment import MergeRule
from almonddock_core.model import Answer, Plan, RequestId, WorkloadId
from almonddock_daemon._parts import Parts
from almonddock_daemon.filters import (
    AdmissionPorts,
    Exchange,
    Handler,
    build_admission_filter,
    build_at_most_once_filter,
    build_chain,
    build_coverage_handler,
    build_deadline_filter,
    build_scatter_filter,
    build_snapshot_filter,
    build_trace_filter,
)
from almonddock_daemon.http import build_query, parse_request

REQUEST_ID_BYTES = 16


class QueryEntry:
    """Passes each query through the filter chain and counts its answer."""

    def __init__(
        self,
        parts: Parts,
        refuses_work: Callable[[], bool],
    ) -> None:
        self._parts = parts
        self._chain = self._build_chain(refuses_work)

    async def answer_query(self, body: bytes, traceparent: str) -> Answer:
        """Answers a query, given its body and its trace context."""
        now = self._parts.clock.now()
        query = build_query(
            parse_request(body),
            self._parts.configuration.view,
            RequestId(secrets.token_hex(REQUEST_ID_BYTES)),
            now,
            traceparent,
        )
        answer = await self._chain(Exchange(query, arrived=now))
        self._count(query.workload, answer)
        return answer

    def _build_chain(self, refuses_work: Callable[[], bool]) -> Handler:
        parts = self._parts
        clock = parts.clock
        return build_chain(
            [
                build_trace_filter(parts.tracing),
                build_deadline_filter(clock),
                build_admission_filter(
                    parts.settings.limits,
                    parts.running,
                    AdmissionPorts(
                        parts.admission.admit,
                        parts.admission.release,
                        refuses_work,
                    ),
                    clock,
                ),
                build_at_most_once_filter(
                    parts.idempotency.claim,
                    parts.idempotency.finish,
                    clock,
                ),
                build_snapshot_filter(self._pin),
                build_scatter_filter(parts.scatters.run, self._pin, clock),
            ],
            build_coverage_handler(self._find_rule, clock),
        )

    def _count(self, workload: WorkloadId, answer: Answer) -> None:
        metrics = self._parts.metrics
        labels = {'workload': workload}
        metrics.answers.inc({**labels, 'outcome': answer.outcome.value})
        metrics.shards.add({**labels, 'state': 'total'}, answer.coverage.total)
        metrics.shards.add(
            {**labels, 'state': 'answered'},
            answer.coverage.answered,
        )
        metrics.latency.observe(labels, answer.elapsed.total_seconds())
        metrics.extra_tries.add(labels, answer.extra_tries)

    def _pin(self, workload: WorkloadId) -> Plan:
        return self._parts.snapshots.pin(
            self._parts.configuration.view,
            workload,
            self._parts.ownership.owners,
        )

    def _find_rule(self, workload: WorkloadId) -> MergeRule:
        deployment = self._parts.configuration.view
        name = deployment.workloads[workload][0]
        return deployment.services[name].merge
