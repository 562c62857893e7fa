"""Counters and histograms of the gateway, in the Prometheus text format."""

from aioprometheus import Counter, Gauge, Histogram, Registry
from aioprometheus.renderer import render

#: Upper bounds of the latency buckets, in seconds.
LATENCY_BUCKETS_S = (0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 6.4)


class GatewayMetrics:
    """The metrics of a gateway, in a registry of their own."""

    def __init__(self) -> None:
        self._registry = Registry()
        #: Answers by route and status.
        self.answers = Counter(
            'almonddock_gateway_answers_total',
            'Answers to callers by route and status; 0 is a caller that left.',
            registry=self._registry,
        )
        #: Seconds from the complete request to its answer, by route.
        self.latency = Histogram(
            'almonddock_gateway_answer_seconds',
            'Seconds from a whole request to its answer by route.',
            buckets=list(LATENCY_BUCKETS_S),
            registry=self._registry,
        )
        #: Callers that were not let in, by reason.
        self.rejections = Counter(
            'almonddock_gateway_callers_rejected_total',
            'Callers that were not let in, by reason.',
            registry=self._registry,
        )
        #: Requests over the quota of their organisation. Only those with the
        #: highest quotas are named.
        self.over_quota = Counter(
            'almonddock_gateway_over_quota_total',
            'Requests over the quota of their organisation.',
            registry=self._registry,
        )
        #: Attempts beyond the first for each service, by route.
        self.extra_tries = Counter(
            'almonddock_gateway_extra_tries_total',
            'Hedges and retries by route.',
            registry=self._registry,
        )
        #: Shards left out of merged answers, by route.
        self.missing_shards = Counter(
            'almonddock_gateway_missing_shards_total',
            'Shards left out of answers by route.',
            registry=self._registry,
        )
        #: State of the host, one value for each name.
        self.state = Gauge(
            'almonddock_gateway_state',
            'Numbers of the host by name: configuration version, targets, '
            'hosts, connections opened, requests running.',
            registry=self._registry,
        )

    def render(self) -> bytes:
        """Returns all metrics in the text format."""
        text, _ = render(self._registry, ['text/plain'])
        encoded: bytes = text
        return encoded
