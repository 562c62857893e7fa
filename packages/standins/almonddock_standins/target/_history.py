"""Reports that lag behind the state of a stand-in target."""

import asyncio
from collections import deque
from dataclasses import dataclass
from datetime import timedelta

HISTORY_LENGTH = 4096


@dataclass(frozen=True, slots=True)
class Report:
    """The state that the health and load paths report."""

    time: float = 0
    in_flight: int = 0
    state: str = 'ok'


class History:
    """Recent reports, from which an older one is read."""

    def __init__(self, lag: timedelta) -> None:
        self._lag = lag.total_seconds()
        self._reports = deque((Report(),), HISTORY_LENGTH)

    def record(self, in_flight: int, state: str) -> None:
        """Adds the present state."""
        self._reports.append(Report(read_time(), in_flight, state))

    def find_lagged(self) -> Report:
        """Returns the report that was current one lag ago."""
        cutoff = read_time() - self._lag
        for report in reversed(self._reports):
            if report.time <= cutoff:
                return report
        return self._reports[0]


def read_time() -> float:
    """Returns the time of the running loop in seconds."""
    return asyncio.get_running_loop().time()
