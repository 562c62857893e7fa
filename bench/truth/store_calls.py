"""Store writes and latency that at-most-once execution adds to a request."""

from collections.abc import Iterator
from datetime import timedelta

from bench import Measurement, Subject, experiment, limit_value, note_value
from bench.truth._load import Load, LogSimulation, simulate_record_per_request

SEED = 1

#: The required limit of writes per request, and the rate it applies to.
MAX_WRITES = 0.1
MAX_WRITES_RATE = 1000

#: The required limit of the added p99 latency, in store round trips.
MAX_ROUND_TRIPS = 3

RATES = (10, 100, MAX_WRITES_RATE)
ROUND_TRIPS_MS = (2, 5, 10)
PARTITIONS = (1, 4)
SIGMAS = (0, 0.3)


@experiment('store_calls')
def measure_store_calls() -> Iterator[Measurement]:
    """Writes per request and added p99: log against record per request."""
    for rate in RATES:
        for millis in ROUND_TRIPS_MS:
            for partitions in PARTITIONS:
                for sigma in SIGMAS:
                    round_trip = timedelta(milliseconds=millis)
                    load = Load(rate, partitions, round_trip, sigma)
                    yield from measure_load(load)


def measure_load(load: Load) -> Iterator[Measurement]:
    """Measures one load of the log, against a record per request.

    The limits apply to a single partition, that of writes only at
    ``MAX_WRITES_RATE``.
    """
    log = LogSimulation(load, SEED).run()
    unbatched = simulate_record_per_request(load, SEED)
    size = (
        f'{load.rate}/s, {load.partitions} partitions, round trip '
        f'{load.round_trip / timedelta(milliseconds=1):g} ms, '
        f'sigma {load.sigma}'
    )
    writes = log.writes / log.requests
    subject = Subject('store_calls.writes_a_request', size, SEED)
    if load.rate == MAX_WRITES_RATE and load.partitions == 1:
        yield limit_value(subject, writes, 'writes', bound=MAX_WRITES)
    else:
        unbatched_writes = unbatched.writes / unbatched.requests
        yield note_value(subject, writes, 'writes', baseline=unbatched_writes)
    subject = Subject('store_calls.p99_added', size, SEED)
    added = log.p99 / load.round_trip
    if load.partitions == 1:
        yield limit_value(
            subject,
            added,
            'median round trips',
            bound=MAX_ROUND_TRIPS,
        )
    else:
        baseline = unbatched.p99 / load.round_trip
        yield note_value(
            subject,
            added,
            'median round trips',
            baseline=baseline,
        )
    megabytes = log.bytes_written / load.seconds / 1_000_000
    yield note_value(
        Subject('store_calls.megabytes_a_second', size, SEED),
        megabytes,
        'MB/s',
    )
