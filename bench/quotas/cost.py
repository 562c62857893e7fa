"""Memory and time that quotas cost one host with many organisations."""

import gc
import time
import tracemalloc
from collections.abc import Iterator
from datetime import timedelta

from almonddock_core.quotas import (
    HostPlace,
    Quotas,
    QuotaSettings,
    StartState,
)
from almonddock_core.routing import Organisation, Quota
from bench import experiment
from bench.measurement import Measurement, Subject, limit_value, note_value

ORGANISATIONS = 100_000
HOSTS = 300
REQUESTS = 20_000
#: Organisations with requests in the last window.
ACTIVE = 2000
WINDOW = timedelta(seconds=5)
PAUSE = timedelta(milliseconds=1)
BYTES_PER_MEGABYTE = 1_000_000
MS = 1000
MICROSECONDS = 1_000_000
#: The required limit of control on one host.
MEGABYTES = 32


@experiment('quotas.cost', seconds=120)
def measure_cost() -> Iterator[Measurement]:
    """100,000 organisations: memory, and time of a change and a request."""
    organisations = [
        Organisation(f'organisation-{number}', quota=Quota(2, 5))
        for number in range(ORGANISATIONS)
    ]
    places = [HostPlace(f'host-{number}', 'a') for number in range(HOSTS)]
    gc.collect()
    tracemalloc.start()
    quotas = Quotas(
        places[0],
        QuotaSettings(WINDOW, overshoot=0.1, slack=20),
        StartState(timedelta(), is_first=True),
        lambda name: True,
    )
    quotas.update_quotas(organisations)
    quotas.update_hosts(places, timedelta(), timedelta())
    now = 2 * WINDOW
    for number in range(ACTIVE):
        quotas.admit(f'organisation-{number}', now)
    megabytes = tracemalloc.get_traced_memory()[0] / BYTES_PER_MEGABYTE
    tracemalloc.stop()
    size = f'{ORGANISATIONS} organisations, {HOSTS} hosts'
    yield limit_value(
        Subject('quotas.cost.memory', size, 1), megabytes, 'MB', bound=MEGABYTES
    )
    started = time.perf_counter()
    quotas.update_quotas(organisations)
    changed = time.perf_counter() - started
    yield note_value(Subject('quotas.cost.change', size, 1), changed * MS, 'ms')
    started = time.perf_counter()
    for number in range(REQUESTS):
        now += PAUSE
        quotas.admit(f'organisation-{number % ACTIVE}', now)
    spent = (time.perf_counter() - started) / REQUESTS
    yield note_value(
        Subject('quotas.cost.request', size, 1), spent * MICROSECONDS, 'us'
    )
