"""The attempts that wait for a connection to one target."""

import heapq
import itertools

from almonddock_core.dispatch import Failure
from almonddock_gateway.targets._attempts import TargetAttempt


class WaitingAttempts:
    """A queue by priority and turn; attempts that have ended are skipped."""

    def __init__(self) -> None:
        self._ranked: list[tuple[int, float, int, TargetAttempt]] = []
        self._order = itertools.count()

    def __len__(self) -> int:
        """The number of attempts, with those that have ended."""
        return len(self._ranked)

    def push(self, attempt: TargetAttempt) -> None:
        """Adds an attempt behind those of its priority and turn."""
        number = next(self._order)
        ranked = (attempt.priority, attempt.turn, number, attempt)
        heapq.heappush(self._ranked, ranked)

    def pop(self) -> TargetAttempt | None:
        """Removes and returns the next attempt, None without one."""
        while self._ranked:
            attempt = heapq.heappop(self._ranked)[-1]
            if not attempt.ended:
                return attempt
        return None

    def fail_all(self, failure: Failure) -> None:
        """Removes all attempts and reports their failure."""
        ranked = self._ranked
        self._ranked = []
        for entry in ranked:
            fail_unsent(entry[-1], failure)


def fail_unsent(attempt: TargetAttempt, failure: Failure) -> None:
    """Reports the failure of an attempt, unless it has ended."""
    if not attempt.ended:
        attempt.ended = True
        attempt.fail(failure)
