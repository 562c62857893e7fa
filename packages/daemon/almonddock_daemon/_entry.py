"""Answers the queries that callers send to this host."""

import secrets
from collections.abc import Callable

from almonddock_core.deployment import MergeRule
from almonddock_core.model import Answer, Plan, RequestId, WorkloadId
from almonddock_daemon._components import HostComponents
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
        components: HostComponents,
        refuses_work: Callable[[], bool],
    ) -> None:
        self._components = components
        self._chain = self._build_chain(refuses_work)

    async def answer_query(self, body: bytes, traceparent: str) -> Answer:
        """Answers a query, given its body and its trace context."""
        now = self._components.clock.now()
        query = build_query(
            parse_request(body),
            self._components.configuration.view,
            RequestId(secrets.token_hex(REQUEST_ID_BYTES)),
            now,
            traceparent,
        )
        answer = await self._chain(Exchange(query, arrived=now))
        self._count(query.workload, answer)
        return answer

    def _build_chain(self, refuses_work: Callable[[], bool]) -> Handler:
        components = self._components
        clock = components.clock
        return build_chain(
            [
                build_trace_filter(components.tracing),
                build_deadline_filter(clock),
                build_admission_filter(
                    components.settings.limits,
                    components.running,
                    AdmissionPorts(
                        components.admission.admit,
                        components.admission.release,
                        refuses_work,
                    ),
                    clock,
                ),
                build_at_most_once_filter(
                    components.idempotency.claim,
                    components.idempotency.finish,
                    clock,
                ),
                build_snapshot_filter(self._pin),
                build_scatter_filter(components.scatters.run, self._pin, clock),
            ],
            build_coverage_handler(self._find_rule, clock),
        )

    def _count(self, workload: WorkloadId, answer: Answer) -> None:
        metrics = self._components.metrics
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
        return self._components.snapshots.pin(
            self._components.configuration.view,
            workload,
            self._components.ownership.owners,
        )

    def _find_rule(self, workload: WorkloadId) -> MergeRule:
        deployment = self._components.configuration.view
        name = deployment.workloads[workload][0]
        return deployment.services[name].merge
