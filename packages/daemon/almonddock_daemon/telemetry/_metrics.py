"""Metrics in the text format of Prometheus."""

from dataclasses import dataclass, field

from aioprometheus import Counter, Gauge, Histogram, Registry
from aioprometheus.renderer import render

#: Upper bounds of the latency buckets, in seconds.
LATENCY_BUCKETS_S = (
    0.005,
    0.01,
    0.025,
    0.05,
    0.1,
    0.2,
    0.33,
    0.5,
    1,
    2,
    5,
    10,
)


@dataclass(frozen=True, slots=True)
class Metrics:
    """Every metric of the daemon, each registered once."""

    registry: Registry = field(default_factory=Registry)
    #: Answers by workload and outcome.
    answers: Counter = field(init=False)
    #: Shards asked for and shards answered, by workload.
    shards: Counter = field(init=False)
    #: Time from arrival to answer in seconds, by workload.
    latency: Histogram = field(init=False)
    #: Attempts beyond the first for each shard, by workload.
    extra_tries: Counter = field(init=False)
    #: Numbers of the host by name, such as targets owned, queries running,
    #: revision in force, store calls and alarms.
    state: Gauge = field(init=False)

    def __post_init__(self) -> None:
        """Registers all metrics."""
        registry = self.registry
        for name, metric in (
            (
                'answers',
                Counter(
                    'almonddock_answers_total',
                    'Answers by workload and outcome.',
                    registry=registry,
                ),
            ),
            (
                'shards',
                Counter(
                    'almonddock_shards_total',
                    'Shards by workload; state is total or answered.',
                    registry=registry,
                ),
            ),
            (
                'latency',
                Histogram(
                    'almonddock_answer_seconds',
                    'Seconds from arrival to answer by workload.',
                    buckets=list(LATENCY_BUCKETS_S),
                    registry=registry,
                ),
            ),
            (
                'extra_tries',
                Counter(
                    'almonddock_extra_tries_total',
                    'Tries beyond one for each shard by workload.',
                    registry=registry,
                ),
            ),
            (
                'state',
                Gauge(
                    'almonddock_state',
                    'Numbers of the host by name.',
                    registry=registry,
                ),
            ),
        ):
            object.__setattr__(self, name, metric)

    def render(self) -> bytes:
        """Returns all metrics as text."""
        text, _ = render(self.registry, ['text/plain'])
        encoded: bytes = text
        return encoded
