"""Decides and logs whether a host may be sent callers."""

from collections.abc import Callable, Mapping
from datetime import timedelta

from almonddock_core.model import Clock
from almonddock_gateway.telemetry import Telemetry

#: How often a host that is not ready logs what it waits for.
REPEAT_INTERVAL_S = 5
REPEAT_INTERVAL = timedelta(seconds=REPEAT_INTERVAL_S)

#: The most characters of a reason in a log line.
MAX_REASON_LENGTH = 300


class Readiness:
    """Names the conditions that a host still waits for."""

    def __init__(
        self,
        conditions: Mapping[str, Callable[[], bool]],
        get_store_fault: Callable[[], str],
        clock: Clock,
        telemetry: Telemetry,
    ) -> None:
        """A host is ready while all ``conditions`` hold.

        ``get_store_fault`` returns why the store gives no answer, or ''.
        """
        #: When the process started, by the clock.
        self.started = clock.now()
        self._conditions = conditions
        self._get_store_fault = get_store_fault
        self._clock = clock
        self._telemetry = telemetry
        # What the last log line named; None before the first one.
        self._logged: tuple[str, ...] | None = None
        self._logged_at = timedelta()

    @property
    def is_ready(self) -> bool:
        """Whether all conditions hold."""
        return all(holds() for holds in self._conditions.values())

    def log_change(self) -> None:
        """Logs what has changed, and now and then what is still missing."""
        now = self._clock.now()
        missing = tuple(
            name for name, holds in self._conditions.items() if not holds()
        )
        is_repeated = missing and now - self._logged_at >= REPEAT_INTERVAL
        if missing == self._logged and not is_repeated:
            return
        self._logged = missing
        self._logged_at = now
        since_start = round((now - self.started).total_seconds(), 3)
        if missing:
            self._telemetry.log_event(
                'not_ready',
                since_start_s=since_start,
                waits_for=missing,
                store_fault=self._get_store_fault()[:MAX_REASON_LENGTH],
            )
        else:
            self._telemetry.log_event('ready', since_start_s=since_start)
