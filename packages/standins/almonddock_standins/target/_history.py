"""Reports that lag behind what a stand-in target does."""

import asyncio
from collections import deque
from dataclasses import dataclass
from datetime import timedelta

HISTORY_LENGTH = 4096


@dataclass(frozen=True, slots=True)
class Report:
    """What health and load tell."""

    time: float = 0
    in_flight: int = 0
    state: str = 'ok'


class History:
    """Keeps reports and tells the one that was true some time ago."""

    def __init__(self, lag: timedelta) -> None:
        self._lag = lag.total_seconds()
        self._reports = deque((Report(),), HISTORY_LENGTH)

    def remember(self, in_flight: int, state: str) -> None:
        """Adds what is true now."""
        self._reports.append(Report(read_time(), in_flight, state))

    def look_back(self) -> Report:
        """Returns what was true before the lag."""
        moment = read_time() - self._lag
        for report in reversed(self._reports):
            if report.time <= moment:
                return report
        return self._reports[0]


def read_time() -> float:
    """Returns the time of the running loop in seconds."""
    return asyncio.get_running_loop().time()
