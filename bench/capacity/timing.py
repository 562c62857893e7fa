"""Processor time and memory of a call."""

import gc
import time
import tracemalloc
from collections.abc import Callable

MICROSECONDS = 1_000_000
MEGABYTE = 1_000_000
REPEATS = 5


def time_call(call: Callable[[], object], repeats: int = REPEATS) -> float:
    """Returns the least processor time of a call, in microseconds."""
    found = []
    for _ in range(repeats):
        started = time.process_time()
        call()
        found.append(time.process_time() - started)
    return min(found) * MICROSECONDS


def measure_allocation(build: Callable[[], object]) -> float:
    """Returns the megabytes that the result of a call keeps allocated."""
    gc.collect()
    tracemalloc.start()
    result = build()
    gc.collect()
    allocated, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del result
    return allocated / MEGABYTE
