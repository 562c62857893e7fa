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
        began = time.process_time()
        call()
        found.append(time.process_time() - began)
    return min(found) * MICROSECONDS


def weigh_result(build: Callable[[], object]) -> float:
    """Returns the megabytes that the result of a call keeps allocated."""
    gc.collect()
    tracemalloc.start()
    kept = build()
    gc.collect()
    weight, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del kept
    return weight / MEGABYTE
